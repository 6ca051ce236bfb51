"""The schema of peer messages and its loader."""
