"""Exit codes of the programs."""

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
