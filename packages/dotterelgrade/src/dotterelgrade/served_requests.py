"""Remembers for a while with which fingerprints requests were served."""

import collections
from collections.abc import Iterable

# Crashes so soon after a request was served may have any cause.
SERVED_VALID_S = 30.0
_MAX_FINGERPRINTS = 2048


class ServedRequests:
    """Fingerprints of requests that were served lately."""

    def __init__(self) -> None:
        """Initializes it without fingerprints."""
        self._served_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __repr__(self) -> str:
        """Shows the number of fingerprints."""
        return f"<ServedRequests {len(self._served_at)} fingerprints>"

    def __len__(self) -> int:
        """Returns the number of fingerprints."""
        return len(self._served_at)

    def served_at(self, fingerprint: str) -> float:
        """Returns when a fingerprint was last served, monotonic time, s."""
        return self._served_at.get(fingerprint, float("-inf"))

    def shielded_until(self, fingerprint: str) -> float:
        """Returns up to when crashes speak less against a fingerprint.

        Args:
            fingerprint: The fingerprint.

        Returns:
            Monotonic time, s.
        """
        return self.served_at(fingerprint) + SERVED_VALID_S

    def note(self, fingerprints: Iterable[str], *, at: float) -> list[str]:
        """Records that a request was served.

        Args:
            fingerprints: Its fingerprints.
            at: Monotonic time, s; a later one that is known stays.

        Returns:
            The fingerprints that were not known to be served since then.
        """
        newer = [f for f in fingerprints if at > self.served_at(f)]
        for fingerprint in newer:
            self._served_at[fingerprint] = at
            self._served_at.move_to_end(fingerprint)
        self._drop_oldest(at)
        return newer

    def _drop_oldest(self, now: float) -> None:
        while self._served_at:
            fingerprint = next(iter(self._served_at))
            expired = now > self.shielded_until(fingerprint)
            if not expired and len(self._served_at) <= _MAX_FINGERPRINTS:
                return
            del self._served_at[fingerprint]
