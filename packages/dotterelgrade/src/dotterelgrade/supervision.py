"""Restarts greenlets of a process after unexpected errors."""

from collections.abc import Callable
import logging

import gevent

from dotterelgrade import journal as journal_lib

_LOG = logging.getLogger(__name__)

RESTART_DELAY_S = 1.0


def keep_running(
    body: Callable[[], None], *, journal: journal_lib.Journal
) -> None:
    """Runs a greenlet's function, and again after each unexpected error.

    Args:
        body: Function that runs until its greenlet is killed.
        journal: Records each restart.
    """
    while True:
        try:
            body()
            return
        except Exception as error:
            _LOG.exception("a part failed and starts again")
            journal.record(
                "part_restarted", reason=repr(error), part=repr(body)
            )
            gevent.sleep(RESTART_DELAY_S)
