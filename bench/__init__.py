"""Measurements; each prints its command, seed and tables."""
