"""`python -m finchladder`."""

from finchladder.cli.front import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
