"""The front: the process that callers of a platform reach."""
