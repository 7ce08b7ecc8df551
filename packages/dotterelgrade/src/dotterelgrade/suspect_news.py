"""Numbers what changes about suspects, so that others are told it once."""

import collections
from collections.abc import Collection
import dataclasses

from dotterelgrade import suspect_state

# For so long others are told of an acquittal.
_ACQUITTAL_VALID_S = 60.0
_MAX_ACQUITTALS = 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class Acquittal:
    """A fingerprint against which nothing speaks any longer.

    Attributes:
        fingerprint: The fingerprint.
        served_at: Monotonic time at which it was served, s.
        version: Version of the change.
    """

    fingerprint: str
    served_at: float
    version: int

    def state(self, *, now: float) -> suspect_state.SuspectState:
        """Returns what to tell others.

        Args:
            now: Monotonic time, s.
        """
        return suspect_state.SuspectState(
            fingerprint=self.fingerprint,
            served_age_s=max(now - self.served_at, 0.0),
        )


class SuspectNewsLog:
    """The version in which each thing has changed last."""

    def __init__(self) -> None:
        """Initializes a log without changes."""
        self._version = 0
        self._suspects: dict[str, int] = {}
        self._crashes: dict[suspect_state.Crash, int] = {}
        self._acquittals: collections.OrderedDict[str, Acquittal] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        """Shows the version."""
        return f"<SuspectNewsLog {self._version}>"

    @property
    def version(self) -> int:
        """Number of changes so far."""
        return self._version

    def note_suspect(self, fingerprint: str) -> None:
        """Notes that what is known of a suspect has changed."""
        self._suspects[fingerprint] = self._next()
        self._acquittals.pop(fingerprint, None)

    def note_crash(self, crash: suspect_state.Crash) -> None:
        """Notes a crash that was not known before."""
        self._crashes[crash] = self._next()

    def note_acquittal(self, fingerprint: str, *, served_at: float) -> None:
        """Notes that nothing speaks against a fingerprint any longer.

        Args:
            fingerprint: The fingerprint.
            served_at: Monotonic time at which it was served, s.
        """
        self._acquittals[fingerprint] = Acquittal(
            fingerprint=fingerprint, served_at=served_at, version=self._next()
        )
        self._acquittals.move_to_end(fingerprint)
        if len(self._acquittals) > _MAX_ACQUITTALS:
            self._acquittals.popitem(last=False)

    def drop_suspect(self, fingerprint: str) -> None:
        """Drops a fingerprint that is a suspect no longer."""
        self._suspects.pop(fingerprint, None)

    def keep_crashes(self, known: Collection[suspect_state.Crash]) -> None:
        """Drops all crashes but those given."""
        for crash in self._crashes.keys() - set(known):
            del self._crashes[crash]

    def expire(self, *, now: float) -> None:
        """Drops acquittals that everyone has been told of.

        Args:
            now: Monotonic time, s.
        """
        for fingerprint, acquittal in list(self._acquittals.items()):
            if now - acquittal.served_at > _ACQUITTAL_VALID_S:
                del self._acquittals[fingerprint]

    def suspects_since(self, version: int) -> list[str]:
        """Returns the suspects that have changed after a version."""
        return [f for f, changed in self._suspects.items() if changed > version]

    def crashes_since(self, version: int) -> list[suspect_state.Crash]:
        """Returns the crashes that became known after a version."""
        return [c for c, changed in self._crashes.items() if changed > version]

    def acquittals_since(self, version: int) -> list[Acquittal]:
        """Returns the acquittals after a version."""
        return [a for a in self._acquittals.values() if a.version > version]

    def _next(self) -> int:
        self._version += 1
        return self._version
