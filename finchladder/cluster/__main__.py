"""Entry point of `python -m finchladder.cluster`."""

from finchladder.cluster.process.main import main

if __name__ == "__main__":
    main()
