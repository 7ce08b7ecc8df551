"""Front process, which receives the callers' HTTP requests."""
