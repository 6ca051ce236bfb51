"""Adapters to the users' platform: convert its names, formats and calls to the project's types.

This package makes no policy decisions, and the platform's terms are not used outside it.
"""
