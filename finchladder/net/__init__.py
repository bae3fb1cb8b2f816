"""The dispatcher on sockets: one module for each peer, none of which decides anything."""
