"""The HTTP API for callers, operators and peers, one blueprint per resource."""
