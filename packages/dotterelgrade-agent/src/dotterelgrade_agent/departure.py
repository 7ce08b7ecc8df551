"""Leaving: who asks the agent to go, and when its work has ended."""

from collections.abc import Callable
import time

import gevent
from gevent import event

from dotterelgrade import contract_feed
from dotterelgrade import journal as journal_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import host_view

_POLL_S = 0.05


class Departure:
    """The reasons to leave and the wait for work in flight.

    An operator's `drain` rule and the host list can take their reason back;
    SIGTERM and the admin address ask for a stop, which is final.
    """

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        feed: contract_feed.ContractFeed,
        hosts: host_view.HostView,
        in_flight: Callable[[], int],
        on_change: Callable[[str], None],
        journal: journal_lib.Journal,
    ) -> None:
        """Initializes an agent that stays.

        Args:
            settings: Where the agent runs and how long it waits.
            feed: The contract, with its `drain` rules.
            hosts: The hosts as the platform lists them.
            in_flight: Returns how much work is not finished.
            on_change: Called with the reason to leave, or an empty one.
            journal: Takes decisions.
        """
        self._settings = settings
        self._feed = feed
        self._hosts = hosts
        self._in_flight = in_flight
        self._on_change = on_change
        self._journal = journal
        self._stop_reason = ""
        self._reason = ""
        self._stopping = event.Event()

    def __repr__(self) -> str:
        """Shows the reason to leave."""
        return f"<Departure {self._reason or 'stays'}>"

    @property
    def reason(self) -> str:
        """Why the agent takes no new work, or empty."""
        return self._reason

    @property
    def stopping(self) -> event.Event:
        """Is set when the process shall end after its work."""
        return self._stopping

    def stop(self, reason: str) -> None:
        """Refuses new work for good; the process ends after its work.

        Args:
            reason: Who asked, in one clause.
        """
        self._stop_reason = self._stop_reason or reason
        self.update()
        self._stopping.set()

    def update(self) -> None:
        """Works the reason out again, after any of its sources changed."""
        reason = self._find_reason()
        if reason == self._reason:
            return
        self._journal.record(
            "leaving" if reason else "staying",
            reason=reason or "no reason to leave is left",
            in_flight=self._in_flight(),
        )
        self._reason = reason
        self._on_change(reason)

    def _find_reason(self) -> str:
        if self._stop_reason:
            return self._stop_reason
        if self._feed.contract.is_draining(self._settings.process.host):
            return "the contract drains this host"
        if self._hosts.is_leaving(self._settings.process):
            return "the host list says that this host leaves"
        return ""

    def wait(self) -> bool:
        """Waits until the work in flight has ended.

        Returns:
            False when the time for it was used up.
        """
        give_up_at = time.monotonic() + self._settings.drain_timeout_s
        while self._in_flight():
            if time.monotonic() > give_up_at:
                self._journal.record(
                    "drain_timed_out",
                    reason="work did not end in time",
                    in_flight=self._in_flight(),
                )
                return False
            gevent.sleep(_POLL_S)
        return True
