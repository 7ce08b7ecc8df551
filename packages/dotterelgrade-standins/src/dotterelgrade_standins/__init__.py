"""Stand-ins for outside systems, the load tool, experiments and the oracle."""
