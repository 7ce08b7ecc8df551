"""Finds out which backend server holds up a stream."""

import dataclasses
import time

from dotterelgrade_front import front_state
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import platform_port

# One report serves all streams that wait for the same first stage.
_REPORT_VALID_S = 0.1
_MOST_REPORTS = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Seen:
    report: backend_server.EngineReport | None
    at: float


class StallWatch:
    """Asks first stages what blocks their requests."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the watch.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._seen: dict[str, _Seen] = {}

    def __repr__(self) -> str:
        """Shows how many reports are kept."""
        return f"<StallWatch {len(self._seen)} reports>"

    def culprit(self, *, request_id: str, first: chain_choice.Stage) -> str:
        """Returns the address of the backend server that holds a request up.

        Args:
            request_id: The request.
            first: The stage that it was sent to.

        Returns:
            The address, or empty when nobody is known to be at fault.
        """
        server = self._state.fleet.get(first.server_id)
        if server is not None and self._state.held_off(server):
            return ""
        report = self.report(first.address)
        if report is None:
            return first.address
        return report.stalled.get(request_id, "")

    def report(self, address: str) -> backend_server.EngineReport | None:
        """Returns the state of an engine, or None if it does not answer."""
        now = time.monotonic()
        seen = self._seen.get(address)
        if seen is not None and now - seen.at < _REPORT_VALID_S:
            return seen.report
        if len(self._seen) >= _MOST_REPORTS:
            self._seen.clear()
        # Others that ask meanwhile use the previous answer.
        previous = None if seen is None else seen.report
        if seen is not None:
            self._seen[address] = _Seen(report=previous, at=now)
        try:
            report = self._state.platform.engines.report(address)
        except platform_port.EngineUnreachableError:
            report = None
        except platform_port.EngineFullError as error:
            self._note_full(address, error)
            report = previous
        self._seen[address] = _Seen(report=report, at=time.monotonic())
        return report

    def _note_full(
        self, address: str, error: platform_port.EngineFullError
    ) -> None:
        server = self._state.fleet.by_address(address)
        if server is not None:
            self._state.note_holdoff(server, error.retry_after)
