"""Processes that play the parties of a run on real sockets; `python -m finchladder.lab.drivers ROLE`."""
