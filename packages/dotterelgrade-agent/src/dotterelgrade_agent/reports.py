"""Reports to the entries: soon after a change, else rarer while idle."""

from collections.abc import Callable
import time

import gevent
from gevent import event

from dotterelgrade import messages
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import entry_links

_STRETCH = 2.0
_MIN_INTERVAL_S = 0.1


class Reporter:
    """Sends one report to every entry at a stretched interval."""

    def __init__(
        self,
        settings: agent_settings.AgentSettings,
        *,
        links: entry_links.EntryLinks,
        make_report: Callable[[], messages.Report],
    ) -> None:
        """Initializes the reporter.

        Args:
            settings: The intervals.
            links: The entries.
            make_report: Returns the report of this moment.
        """
        self._settings = settings
        self._links = links
        self._make_report = make_report
        self._changed = event.Event()
        self._interval_s = settings.report_busy_s
        self._sent = 0

    def __repr__(self) -> str:
        """Shows the interval and how many reports were made."""
        return f"<Reporter every {self._interval_s:.2f} s, made {self._sent}>"

    def changed(self) -> None:
        """Asks for a report soon."""
        self._changed.set()

    def greet(self, link: entry_links.EntryLink) -> None:
        """Sends a report to one entry that has just connected."""
        link.send(self._make_report())

    def run(self) -> None:
        """Reports until killed."""
        while True:
            started = time.monotonic()
            self._report()
            if self._changed.wait(self._interval_s):
                self._pause_since(started)
                self._changed.clear()
                self._interval_s = self._settings.report_busy_s

    def _report(self) -> None:
        report = self._make_report()
        self._sent += 1
        size = self._links.broadcast(report)
        if any(item.sequences for item in report.backends):
            self._interval_s = self._busy_interval_s(size)
        else:
            self._interval_s = min(
                self._interval_s * _STRETCH, self._settings.report_idle_s
            )

    def _busy_interval_s(self, size: int) -> float:
        # Many entries share the bytes that control may cost a host.
        paced_s = len(self._links) * size / self._settings.report_bytes_per_s
        return min(
            max(self._settings.report_busy_s, paced_s),
            self._settings.report_idle_s,
        )

    def _pause_since(self, started: float) -> None:
        # Many changes within a moment make one report.
        spare_s = started + _MIN_INTERVAL_S - time.monotonic()
        if spare_s > 0:
            gevent.sleep(spare_s)
