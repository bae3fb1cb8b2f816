"""Worker membership: endpoint lists, their sources and watches, and the subset that a dispatcher uses."""
