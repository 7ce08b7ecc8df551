"""How the programs end."""

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
