"""The HTTP surface towards callers and operators, one blueprint for each concern."""
