"""The schema of peer messages and their codec."""
