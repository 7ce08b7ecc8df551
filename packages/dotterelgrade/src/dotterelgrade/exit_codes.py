"""Exit codes of the programs."""

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
