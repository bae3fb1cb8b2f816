"""Which workers exist: endpoint lists, their sources and watches, the subset that is used."""
