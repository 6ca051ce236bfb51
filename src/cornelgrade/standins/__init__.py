"""Small stand-ins for outside systems, for development and tests."""
