"""HTTP client and server, and the internal protocol on top of them."""
