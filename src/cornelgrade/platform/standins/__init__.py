"""Test doubles for the platform's protocols: an engine, an object store and a complete system."""
