"""What an operator's file turns on. Each is a unit without clock or sockets; its glue is in net/."""
