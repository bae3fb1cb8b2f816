#!/bin/sh
# The stand-ins of review/ need nothing but Python's standard library: there is nothing to build.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
