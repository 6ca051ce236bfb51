"""Randomized soaks of the real programs as processes on loopback."""
