#!/bin/sh
# Installs the packages of requirements-system.txt into target/deps, from the repository's root.
#
# The packages are installed beside target/deps and moved there as the last step: pip moves packages into its
# target one by one, so a build that was interrupted would leave some of them. installed.txt says for which
# interpreter and which list the folder was made; anything else is built anew. Only wheels are taken, since the
# machines have no compiler.
set -eu

requirements=requirements-system.txt
installed=target/deps
staging=target/deps.partial
marker=installed.txt

expected() {
    python3 -c 'import platform; print(platform.python_implementation(), platform.python_version(), platform.machine())'
    cat "$requirements"
}

if [ -f "$installed/$marker" ] && [ "$(expected)" = "$(cat "$installed/$marker")" ]; then
    exit 0
fi
rm -rf "$staging"
mkdir -p target
python3 -m pip install --quiet --only-binary :all: --target "$staging" -r "$requirements"
expected > "$staging/$marker"
rm -rf "$installed"
mv "$staging" "$installed"
