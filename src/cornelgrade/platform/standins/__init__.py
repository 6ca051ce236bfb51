"""Stand-ins that speak the platform's manner: an engine, and a whole system with its callers."""
