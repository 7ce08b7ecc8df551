"""What does not fit at the size to design for, and what would carry it."""

import dataclasses

from dotterelgrade_standins import capacity_model

_KB = 1e3
_MB = 1e6
_KIB = 1024
_CANDIDATES = 4
_HEARTBEAT_BYTES = 60
_HEARTBEAT_S = 10.0
_READERS_PER_DOMAIN = 3
_HOSTS_POLL_S = 60.0
_SECONDS_PER_DAY = 86_400

_TEXT = """## What does not fit, and what would carry it

Figures of this section are computed from the same slopes for designs that are
not built.

- **Reports.** {links:,} links with whole reports {reports:.2g} times a second
  break the budget for bytes. An entry that dials only its region needs
  {candidates} candidates for each layer range in it ({ranges} ranges of all
  models): {future_links:,} links. With the load carried on `Admitted` and
  `Tokens`, and a heartbeat of {heartbeat} bytes only after {heartbeat_s:g} s of
  silence, that is {report_kb:.2g} KB/s, {report_cpu:.2g} % of a core and
  {report_mb:.3g} MB an entry. What it costs: a fault of an idle agent is seen
  by the connection's end or by the first refusal, not by a missed report.
- **Contract.** {processes:,} followers make {contract_reads:,.0f} reads of the
  log a second. With {readers} readers ({per_domain} entries of each failure
  domain, ranked by rendezvous hashing) that hand records on over connections
  that exist (`RecordsWanted` and `Records` do it today in a log outage), the
  log serves {future_reads:,.0f} reads a second and a process gets
  {relay_kb:.2g} KB/s.
- **Host list.** The whole list has {list_mb:.2g} MB, and everybody reads it all
  {poll_now_s:.0f} s. Read once in {poll_s:g} s by the same {readers} processes,
  and for their own failure domain only, it is {list_kb:.2g} KB/s for each; that
  needs a question by failure domain, or for the changes alone, from the
  platform. Changes are {changes:.2g} a second, and are handed on like contract
  records.
- **Replaced hosts.** {replaced_per_day:,.0f} hosts are replaced a day,
  {replaced:.2g} a second, in proportion entries and agents. A new entry dials
  {links:,} agents, a new agent is dialled by {agent_links:,.0f} entries:
  {handshakes:.2g} handshakes a second in the whole fleet.
- **Placement.** Every worker renews what it holds, so that the records outlive
  the log's retention, and every agent reads every record: {placement:,.1f}
  records a second to {workers:,} agents. Snapshots of the placement, as the
  contract has them, leave only the take-overs: {changes:.2g} a second, and
  they too are relayed.
- **Claims.** Every agent of a plain service reads all claims. A stream for each
  service divides that by the number of services.
- **Callers' work.** One interpreter is one core, and the measured cost of a
  token falls with the number of requests at once. Should it reach a core,
  several entries on a host share its callers behind the balancer, and several
  agents a host's backend servers; both only need ports of their own.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Future:
    """The figures of designs that are not built.

    Attributes:
        links: Links of an entry.
        report_kb_per_s: Heartbeats of an entry, KB/s.
        report_core_percent: The same in hundredths of a core.
        report_mb: Memory of its links, MB.
        log_reads_per_s: Reads of the log for the contract.
        host_list_kb_per_s: Bytes of a reader of the host list, KB/s.
    """

    links: int
    report_kb_per_s: float
    report_core_percent: float
    report_mb: float
    log_reads_per_s: float
    host_list_kb_per_s: float


def _readers(size: capacity_model.Size) -> int:
    return _READERS_PER_DOMAIN * size.failure_domains


def _handshakes_per_s(model: capacity_model.Model) -> float:
    """Returns connections that replaced hosts open anew, over the fleet."""
    size = model.size
    per_process_s = size.hosts_replaced_per_day / _SECONDS_PER_DAY
    entries = per_process_s * size.entries / size.processes
    agents = per_process_s * size.workers / size.processes
    return entries * model.links_per_entry + agents * model.links_per_agent


def compute(model: capacity_model.Model) -> Future:
    """Returns the figures for a model."""
    size = model.size
    ranges = size.models * size.stages
    links = ranges * _CANDIDATES
    # The measured slope is that of one link with idle reports.
    link_ms = model.slope("idle_by_agents", "entry_cpu_ms_per_s")
    heartbeats = 1 / _HEARTBEAT_S / capacity_model.IDLE_REPORTS_PER_S
    list_bytes = size.processes * model.last("host_list", "bytes_per_host")
    return Future(
        links=links,
        report_kb_per_s=links * _HEARTBEAT_BYTES / _HEARTBEAT_S / _KB,
        report_core_percent=links * link_ms * heartbeats / 10,
        report_mb=links
        * model.slope("idle_by_agents", "entry_memory_kib")
        * _KIB
        / _MB,
        log_reads_per_s=_readers(size)
        * (size.changes_per_s + 1 / capacity_model.LONG_POLL_S),
        host_list_kb_per_s=list_bytes
        / size.failure_domains
        / _HOSTS_POLL_S
        / _KB,
    )


def section(model: capacity_model.Model) -> str:
    """Returns the section of the page."""
    size = model.size
    future = compute(model)
    record = model.last("contract", "bytes_per_record")
    list_bytes = size.processes * model.last("host_list", "bytes_per_host")
    per_process = size.changes_per_s + 1 / capacity_model.LONG_POLL_S
    host_changes_per_s = (
        size.hosts_replaced_per_day + size.hosts_added_per_day
    ) / _SECONDS_PER_DAY
    return _TEXT.format(
        links=model.links_per_entry,
        reports=model.busy_reports_per_s,
        candidates=_CANDIDATES,
        ranges=size.models * size.stages,
        future_links=future.links,
        heartbeat=_HEARTBEAT_BYTES,
        heartbeat_s=_HEARTBEAT_S,
        report_kb=future.report_kb_per_s,
        report_cpu=future.report_core_percent,
        report_mb=future.report_mb,
        processes=size.processes,
        contract_reads=size.processes * per_process,
        readers=_readers(size),
        per_domain=_READERS_PER_DOMAIN,
        future_reads=future.log_reads_per_s,
        relay_kb=size.changes_per_s * record / _KB,
        list_mb=list_bytes / _MB,
        poll_now_s=1 / model.entry_hosts_polls_per_s,
        poll_s=_HOSTS_POLL_S,
        list_kb=future.host_list_kb_per_s,
        changes=host_changes_per_s,
        replaced_per_day=size.hosts_replaced_per_day,
        replaced=size.hosts_replaced_per_day / _SECONDS_PER_DAY,
        handshakes=_handshakes_per_s(model),
        agent_links=model.links_per_agent,
        placement=model.placements_per_s,
        workers=size.workers,
    )
