"""An etcd stand-in, written from etcd's published v3 API: it shares no code with the program's client."""
