"""Routing decisions without I/O."""
