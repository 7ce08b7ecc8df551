"""Works out the load on the platform's services, from the measured slopes."""

import dataclasses

from dotterelgrade_standins import capacity_model

_KB_PER_MB = 1e3
_MB = 1e6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rate:
    """A load on a service of the platform.

    Attributes:
        what: What causes it.
        formula: How it is worked out.
        per_s: Calls a second.
        mb_per_s: Answers, MB/s.
    """

    what: str
    formula: str
    per_s: float
    mb_per_s: float = 0.0


def log_appends(model: capacity_model.Model) -> list[Rate]:
    """Returns the appends to the log service."""
    size = model.size
    return [
        Rate(
            what="contract",
            formula="changes a day / 86,400",
            per_s=size.changes_per_s,
        ),
        Rate(
            what="charges",
            formula="entries / interval",
            per_s=model.charge_appends_per_s,
        ),
        Rate(
            what="claims",
            formula="keyed calls/s x appends per lone call",
            per_s=model.claim_appends_per_s,
        ),
        Rate(
            what="placement",
            formula="workers / renewal interval",
            per_s=model.placements_per_s,
        ),
    ]


def log_reads(model: capacity_model.Model) -> list[Rate]:
    """Returns the reads of the log service, at most one record in each."""
    size = model.size
    record = model.last("contract", "bytes_per_record")
    contract = size.processes * (
        size.changes_per_s + 1 / capacity_model.LONG_POLL_S
    )
    placement = size.workers * model.placements_per_s
    claims = size.service_workers * model.claim_appends_per_s
    return [
        Rate(
            what="contract",
            formula="processes x (changes/s + 1 / long poll)",
            per_s=contract,
            mb_per_s=contract * model.record_kb(record) / _KB_PER_MB,
        ),
        Rate(
            what="placement",
            formula="workers x records/s",
            per_s=placement,
            mb_per_s=placement
            * model.record_kb(capacity_model.PLACEMENT_BYTES)
            / _KB_PER_MB,
        ),
        Rate(
            what="claims",
            formula="agents of services x appends/s",
            per_s=claims,
        ),
    ]


def host_list_reads(model: capacity_model.Model) -> Rate:
    """Returns the reads of the host list."""
    size = model.size
    per_s = (
        size.entries * model.entry_hosts_polls_per_s
        + size.workers * model.agent_hosts_polls_per_s
    )
    answer = size.processes * model.last("host_list", "bytes_per_host")
    return Rate(
        what="host list",
        formula="processes x polls/s",
        per_s=per_s,
        mb_per_s=per_s * answer / _MB,
    )
