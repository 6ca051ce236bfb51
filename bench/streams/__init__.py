"""Trials of streams and items under faults that overlap, with every program as a process."""
