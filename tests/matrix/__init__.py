"""The fault matrix: each fault at each step, with real services on a virtual clock."""
