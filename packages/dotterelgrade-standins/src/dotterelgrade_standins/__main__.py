"""Runs `python -m dotterelgrade_standins`."""

import sys


def main() -> int:
    """Makes the standard library cooperative, then runs the command line."""
    # Has to happen before anything else imports sockets or threads.
    from gevent import monkey

    monkey.patch_all()
    from dotterelgrade_standins import cli

    return cli.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
