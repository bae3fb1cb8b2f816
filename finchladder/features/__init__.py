"""Optional features, enabled by the operator's file. They use no clock or sockets; net/ calls them."""
