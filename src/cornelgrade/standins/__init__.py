"""Simulated external systems for development and tests."""
