"""Routing decisions, free of input and output."""
