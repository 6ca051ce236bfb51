"""Clients of the external systems: the platform, the upstreams and the peers."""
