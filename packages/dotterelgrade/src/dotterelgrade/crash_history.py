"""The latest crashes of backend servers, whatever ran there."""

from collections.abc import Collection
import dataclasses

from dotterelgrade import suspect
from dotterelgrade import suspect_state

_MAX_CRASHES = 512


class CrashHistory:
    """Crashes that this process or others have seen lately."""

    def __init__(self) -> None:
        """Initializes it without crashes."""
        self._seen_at: dict[suspect_state.Crash, float] = {}
        self._latest: dict[
            suspect_state.ServerProcess, suspect_state.Crash
        ] = {}

    def __repr__(self) -> str:
        """Shows the number of crashes."""
        return f"<CrashHistory {len(self._seen_at)} crashes>"

    @property
    def crashes(self) -> Collection[suspect_state.Crash]:
        """The crashes."""
        return self._seen_at.keys()

    def seen_at(self, crash: suspect_state.Crash) -> float:
        """Returns when a crash was seen, monotonic time, s."""
        return self._seen_at[crash]

    def identify(
        self, process: suspect_state.ServerProcess, *, sent_at: float
    ) -> suspect_state.Crash:
        """Returns the crash that broke off a request.

        Args:
            process: The backend server, as it is listed.
            sent_at: Monotonic time at which the request was sent, s. If it was
                taken after the last crash, the server has crashed again.
        """
        latest = self._latest.get(process)
        if latest is None:
            return suspect_state.Crash(process=process)
        if sent_at <= self._seen_at[latest]:
            return latest
        return dataclasses.replace(latest, number=latest.number + 1)

    def found_dead(
        self, process: suspect_state.ServerProcess, *, sent_at: float
    ) -> suspect_state.Crash | None:
        """Returns the crash of a process that is not there, if it is new.

        Args:
            process: The backend server, as it is listed.
            sent_at: Monotonic time at which a request that needs it was sent,
                s. One that was sent after the crash was known has not caused
                it.
        """
        latest = self._latest.get(process)
        if latest is None:
            return suspect_state.Crash(process=process)
        return latest if sent_at <= self._seen_at[latest] else None

    def add(self, crash: suspect_state.Crash, *, at: float) -> bool:
        """Adds a crash.

        Args:
            crash: The crash.
            at: Monotonic time, s.

        Returns:
            Whether it was not known before.
        """
        if crash in self._seen_at:
            return False
        if len(self._seen_at) >= _MAX_CRASHES:
            self._drop(next(iter(self._seen_at)))
        self._seen_at[crash] = at
        latest = self._latest.get(crash.process)
        if latest is None or latest.number < crash.number:
            self._latest[crash.process] = crash
        return True

    def since(self, at: float) -> list[suspect_state.Crash]:
        """Returns the crashes from a monotonic time on, s."""
        return [c for c, seen_at in self._seen_at.items() if seen_at >= at]

    def expire(self, *, now: float) -> None:
        """Drops the crashes that are too old to count.

        Args:
            now: Monotonic time, s.
        """
        for crash, seen_at in list(self._seen_at.items()):
            if now - seen_at > suspect.CRASH_VALID_S:
                self._drop(crash)

    def _drop(self, crash: suspect_state.Crash) -> None:
        del self._seen_at[crash]
        if self._latest.get(crash.process) == crash:
            del self._latest[crash.process]
