"""What the system speaks to: the platform, upstreams and peers."""
