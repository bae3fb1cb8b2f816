"""Follows the service entries that an etcd (v3) holds, by its JSON gateway."""
