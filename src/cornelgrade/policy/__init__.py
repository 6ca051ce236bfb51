"""Pure decision rules: take immutable state and the current time, return typed decisions."""
