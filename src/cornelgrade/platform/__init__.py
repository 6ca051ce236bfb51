"""The users' platform: its names, formats and calls, turned into the project's own types.

Nothing here decides anything, and nothing outside knows the platform's words.
"""
