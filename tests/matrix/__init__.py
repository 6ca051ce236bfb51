"""The fault matrix: every fault at every step, on real services and a virtual clock."""
