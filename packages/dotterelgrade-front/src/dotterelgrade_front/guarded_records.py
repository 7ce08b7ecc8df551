"""Applies records one by one, so that a failing one stops no other."""

from collections.abc import Callable, Iterable
import logging

from dotterelgrade_routing import platform_port

_LOG = logging.getLogger(__name__)


def apply_each(
    records: Iterable[platform_port.Record],
    apply: Callable[[platform_port.Record], None],
) -> None:
    """Applies all records; logs and skips one that raises an exception.

    Without this, the part that follows the feed would end at the record, and
    again each time that it reads the newest records.

    Args:
        records: In order of their offsets.
        apply: Applies one record.
    """
    for record in records:
        try:
            apply(record)
        except Exception:
            _LOG.exception(
                "record_failed",
                extra={"key": record.key, "offset": record.offset},
            )
