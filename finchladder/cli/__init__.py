"""The command line: a file for each command, imported only when that command runs."""
