"""`python -m finchladder.lab.drivers ROLE`: one process of a run; no other role is loaded."""

import importlib
import sys

from finchladder.lab.drivers.base import run

ROLES = {  # module: its class
    "fleet": "Fleet",
    "registry": "Registry",
    "load": "Load",
    "relay": "Relay",
    "etcd": "Etcd",
    "peers": "Peers",
}


def main() -> int:
    if len(sys.argv) != 2 or sys.argv[1] not in ROLES:
        print(f"usage: python -m finchladder.lab.drivers {'|'.join(ROLES)}", file=sys.stderr)
        return 2
    name = sys.argv[1]
    return run(getattr(importlib.import_module(f"finchladder.lab.drivers.{name}"), ROLES[name]))


if __name__ == "__main__":
    sys.exit(main())
