"""The newest large record of each key, as a base for differences.

Load pattern: operators change single routes of a configuration of hundreds of
kilobytes, several times a second. A front that keeps the last version needs
only the difference to the next one.
"""

from collections.abc import Mapping

from dotterelgrade_routing import platform_port

# A smaller record is sent whole: a difference would save little.
MIN_RECORD_BYTES = 4_096
# Bounds the memory held; a feed has few large records.
MAX_KEYS = 8


class LatestRecords:
    """Values of the newest large records by key."""

    def __init__(self) -> None:
        """Initializes it without records."""
        self._records: dict[str, platform_port.Record] = {}

    def __repr__(self) -> str:
        """Shows the keys."""
        return f"<LatestRecords {sorted(self._records)}>"

    def values(self) -> Mapping[str, bytes]:
        """Returns a copy of the values by key."""
        return {key: r.value for key, r in self._records.items()}

    def get(self, key: str) -> platform_port.Record | None:
        """Returns the record of a key, or None if it is small or unknown."""
        return self._records.get(key)

    def note(self, record: platform_port.Record) -> None:
        """Keeps a record that is newer than the known one of its key."""
        known = record.key in self._records
        if len(record.value) < MIN_RECORD_BYTES:
            self._records.pop(record.key, None)
        elif known or len(self._records) < MAX_KEYS:
            self._records[record.key] = record

    def clear(self) -> None:
        """Forgets all records."""
        self._records.clear()
