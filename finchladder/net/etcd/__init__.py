"""A client of etcd (v3) that follows service entries through the JSON gateway."""
