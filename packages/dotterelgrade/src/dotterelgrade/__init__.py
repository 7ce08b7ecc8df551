"""Code shared by all dotterelgrade processes."""
