"""Keeps the parts of a process running."""

from collections.abc import Callable
import logging

import gevent

from dotterelgrade import journal as journal_lib

_LOG = logging.getLogger(__name__)

RESTART_S = 1.0


def keep_running(
    body: Callable[[], None], *, journal: journal_lib.Journal
) -> None:
    """Runs the body of a greenlet again after an unforeseen error.

    Args:
        body: What runs until it is killed.
        journal: Takes note of each restart.
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
            gevent.sleep(RESTART_S)
