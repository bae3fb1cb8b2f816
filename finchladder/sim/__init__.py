"""The program as it stands, on virtual clocks and a virtual network, with faults from a seed."""
