"""Works out what each role costs at a size, from the measured slopes."""

from collections.abc import Callable, Iterator, Mapping
import dataclasses

from dotterelgrade import charges
from dotterelgrade import host_list
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry_settings
from dotterelgrade_standins import slope_fit

_MS_PER_S = 1e3
_US_PER_S = 1e6
_KB = 1e3
_MB = 1e6
_KIB = 1024
_SECONDS_PER_DAY = 86_400
LONG_POLL_S = 5.0
IDLE_REPORTS_PER_S = 0.5
_HTTP_HEAD_BYTES = 250
_BASE64 = 4 / 3
_JOURNAL_DECISIONS = 20_000
_RELAY_BYTES = 2e6
PLACEMENT_BYTES = 300


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """The size to design for, and what the letter leaves open.

    Attributes:
        entries: Entries ("nodes").
        workers: Backend servers, each with an agent.
        requests_per_s: Model requests at the peak.
        tokens_per_s: Generated tokens at the peak.
        failure_domains: Failure domains.
        workspaces: Workspaces.
        models: Models in steady use.
        changes_per_day: Changes of configuration.
        hosts_replaced_per_day: Hosts that end and come back at another address.
        hosts_added_per_day: Hosts that join for good.
        first_token_s: Bound on the first token, s.
        between_tokens_s: Bound between two tokens, s.
        stages: Stages of a chain; assumed.
        places_per_model: Place rules of a model; assumed.
        keyed_calls_per_s: Calls that may not be repeated; assumed.
        service_workers: Agents in front of plain services; assumed.
    """

    entries: int = 1_100
    workers: int = 12_000
    requests_per_s: float = 13_000.0
    tokens_per_s: float = 4_200_000.0
    failure_domains: int = 12
    workspaces: int = 350
    models: int = 26
    changes_per_day: float = 67_000.0
    hosts_replaced_per_day: float = 2_600.0
    hosts_added_per_day: float = 71.0
    first_token_s: float = 0.34
    between_tokens_s: float = 0.025
    stages: int = 3
    places_per_model: int = 12
    keyed_calls_per_s: float = 130.0
    service_workers: int = 48

    @property
    def processes(self) -> int:
        """Processes of the system."""
        return self.entries + self.workers

    @property
    def changes_per_s(self) -> float:
        """Contract records a second, over the day."""
        return self.changes_per_day / _SECONDS_PER_DAY

    @property
    def lines(self) -> int:
        """Lines of the contract: two a workspace, one a model, its places."""
        return 2 * self.workspaces + self.models * (1 + self.places_per_model)

    @property
    def in_flight(self) -> float:
        """Requests in flight: arrivals times duration at the bound."""
        tokens = self.tokens_per_s / self.requests_per_s
        duration_s = self.first_token_s + tokens * self.between_tokens_s
        return self.requests_per_s * duration_s


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """One cost of one role.

    Attributes:
        what: What costs it.
        formula: How it is worked out, with the names of the slopes.
        mechanism: What keeps it at that.
        core_percent: Processor time, in hundredths of a core.
        kb_per_s: Bytes sent and received, KB/s.
        memory_mb: Memory, MB.
    """

    what: str
    formula: str
    mechanism: str
    core_percent: float = 0.0
    kb_per_s: float = 0.0
    memory_mb: float = 0.0


Measured = Mapping[str, slope_fit.Measured]
Role = Callable[["Model"], Iterator[Figure]]

_ROLES: dict[str, Role] = {}


def role(name: str) -> Callable[[Role], Role]:
    """Registers the control costs of a role under its name."""

    def register(function: Role) -> Role:
        _ROLES[name] = function
        return function

    return register


def roles() -> Mapping[str, Role]:
    """Returns the registered roles."""
    return dict(_ROLES)


class Model:
    """The slopes together with a size and the settings' defaults."""

    def __init__(self, measured: Measured, size: Size) -> None:
        """Initializes the model.

        Args:
            measured: Results of the probes.
            size: The size.
        """
        self._measured = measured
        self._size = size
        self._agents_per_domain = _default(
            entry_settings.EntrySettings, "agents_per_domain"
        )
        self._entry_hosts_poll_s = _default(
            entry_settings.EntrySettings, "hosts_poll_s"
        )
        self._agent_hosts_poll_s = _default(
            agent_settings.AgentSettings, "hosts_poll_s"
        )
        self._report_busy_s = _default(
            agent_settings.AgentSettings, "report_busy_s"
        )
        self._report_idle_s = _default(
            agent_settings.AgentSettings, "report_idle_s"
        )
        self._report_bytes_per_s = _default(
            agent_settings.AgentSettings, "report_bytes_per_s"
        )
        self._placement_renew_s = 0.9 * _default(
            agent_settings.AgentSettings, "placement_renew_s"
        )

    @property
    def size(self) -> Size:
        """The size."""
        return self._size

    def slope(self, probe: str, name: str) -> float:
        """Returns the cost of one more."""
        return self._measured[probe].line(name).slope

    def base(self, probe: str, name: str) -> float:
        """Returns the cost of none."""
        return self._measured[probe].line(name).intercept

    def first(self, probe: str, name: str) -> float:
        """Returns the cost at the smallest size."""
        return self._measured[probe].samples[0].values[name]

    def last(self, probe: str, name: str) -> float:
        """Returns the cost at the largest size."""
        return self._measured[probe].last(name)

    @property
    def links_per_entry(self) -> int:
        """Agents that an entry dials."""
        wanted = self._agents_per_domain * self._size.failure_domains
        return min(wanted, self._size.workers)

    @property
    def links_per_agent(self) -> float:
        """Entries that dial an agent."""
        links = self._size.entries * self.links_per_entry
        return links / self._size.workers

    @property
    def busy_reports_per_s(self) -> float:
        """Reports on a link whose agent has work, as `Reporter` paces them."""
        size = self.first("report_frames", "bytes_per_report")
        paced_s = self.links_per_agent * size / self._report_bytes_per_s
        busy_s = max(self._report_busy_s, paced_s)
        return 1 / min(busy_s, self._report_idle_s)

    @property
    def entry_hosts_polls_per_s(self) -> float:
        """Reads of the host list by an entry."""
        return 1 / host_list.poll_interval_s(
            self._size.processes, min_interval_s=self._entry_hosts_poll_s
        )

    @property
    def agent_hosts_polls_per_s(self) -> float:
        """Reads of the host list by an agent."""
        return 1 / host_list.poll_interval_s(
            self._size.processes, min_interval_s=self._agent_hosts_poll_s
        )

    @property
    def placements_per_s(self) -> float:
        """Records on who holds what."""
        return self._size.workers / self._placement_renew_s

    @property
    def charge_appends_per_s(self) -> float:
        """Appends of charges by all entries."""
        return self._size.entries / charges.append_interval_s(
            self._size.entries
        )

    @property
    def claim_appends_per_s(self) -> float:
        """Appends for keyed calls at the rate assumed."""
        per_call = self.first("claims_by_concurrency", "appends_per_call")
        return self._size.keyed_calls_per_s * per_call

    def record_kb(self, body_bytes: float) -> float:
        """Returns what one record costs a reader on the wire, KB."""
        return (body_bytes * _BASE64 + _HTTP_HEAD_BYTES) / _KB

    @property
    def log_read_core_percent(self) -> float:
        """Processor time of one read a second, in hundredths of a core."""
        return self.first("log_http", "read_cpu_us") / _US_PER_S * 100

    def host_list(self, polls_per_s: float) -> Figure:
        """Returns the cost of reading the host list."""
        hosts = self._size.processes
        cpu_us = hosts * self.last("host_list", "read_cpu_us_per_host")
        size = hosts * self.last("host_list", "bytes_per_host")
        memory = hosts * self.last("host_list", "memory_bytes_per_host")
        return Figure(
            what="host list",
            formula=(
                "polls/s x hosts x (host_list.read_cpu, .bytes); "
                "hosts x .memory"
            ),
            mechanism="the longer the list, the rarer the polls",
            core_percent=polls_per_s * cpu_us / _US_PER_S * 100,
            kb_per_s=polls_per_s * size / _KB,
            memory_mb=memory / _MB,
        )

    def contract(self) -> Figure:
        """Returns the cost of following the contract."""
        record = self.last("contract", "bytes_per_record")
        fold_us = self.last("contract", "fold_cpu_us_per_record")
        per_s = self._size.changes_per_s
        lines = self._size.lines
        line_bytes = self.slope("contract", "memory_bytes_of_fold")
        return Figure(
            what="contract",
            formula=(
                "changes/s x (contract.fold_cpu + log_http.read_cpu, "
                "record x 4/3 + HTTP head); lines x contract.memory + relay"
            ),
            mechanism="long poll; every process follows the log",
            core_percent=per_s
            * (fold_us / _US_PER_S * 100 + self.log_read_core_percent)
            + self.log_read_core_percent / LONG_POLL_S,
            kb_per_s=per_s * self.record_kb(record)
            + _HTTP_HEAD_BYTES / _KB / LONG_POLL_S,
            memory_mb=(lines * line_bytes + _RELAY_BYTES) / _MB,
        )

    def journal(self) -> Figure:
        """Returns the memory of a full journal."""
        each = self.last("journal", "memory_bytes_per_decision")
        return Figure(
            what="journal",
            formula="20,000 x journal.memory",
            mechanism="bounded ring",
            memory_mb=_JOURNAL_DECISIONS * each / _MB,
        )


def _default(cls: type, name: str) -> float:
    fields = {field.name: field for field in dataclasses.fields(cls)}
    return fields[name].default


@role("entry")
def _entry(model: Model) -> Iterator[Figure]:
    size = model.size
    yield Figure(
        what="process",
        formula="idle_by_agents at none; memory_by_sequences.entry_base",
        mechanism="one interpreter",
        core_percent=model.base("idle_by_agents", "entry_cpu_ms_per_s") / 10,
        memory_mb=model.first("memory_by_sequences", "entry_base_kib")
        * _KIB
        / _MB,
    )
    links = model.links_per_entry
    report_us = (
        model.slope("idle_by_agents", "entry_cpu_ms_per_s")
        / IDLE_REPORTS_PER_S
        * _MS_PER_S
    )
    report = model.first("report_frames", "bytes_per_report")
    yield Figure(
        what="reports of agents",
        formula=(
            "links x reports/s x (idle_by_agents.entry_cpu per link / idle "
            "reports/s, report_frames.bytes); links x .entry_memory"
        ),
        mechanism="subset per failure domain; many entries make rarer reports",
        core_percent=links
        * model.busy_reports_per_s
        * report_us
        / _US_PER_S
        * 100,
        kb_per_s=links * model.busy_reports_per_s * report / _KB,
        memory_mb=links
        * model.slope("idle_by_agents", "entry_memory_kib")
        * _KIB
        / _MB,
    )
    yield model.contract()
    yield model.host_list(model.entry_hosts_polls_per_s)
    charges_per_s = size.requests_per_s / size.entries
    yield Figure(
        what="charges",
        formula="requests/s x charge_batches.(send_cpu, bytes)",
        mechanism="one append for many charges; interval grows with entries",
        core_percent=charges_per_s
        * model.last("charge_batches", "send_cpu_us_per_charge")
        / _US_PER_S
        * 100,
        kb_per_s=charges_per_s
        * model.last("charge_batches", "bytes_per_charge")
        / _KB,
    )
    yield model.journal()


@role("agent")
def _agent(model: Model) -> Iterator[Figure]:
    yield Figure(
        what="process",
        formula="idle_by_entries at none; memory_by_sequences.agent_base",
        mechanism="one interpreter; looks at its engine twice a second",
        core_percent=model.base("idle_by_entries", "agent_cpu_ms_per_s") / 10,
        memory_mb=model.first("memory_by_sequences", "agent_base_kib")
        * _KIB
        / _MB,
    )
    links = model.links_per_agent
    report_us = (
        model.slope("idle_by_entries", "agent_cpu_ms_per_s")
        / IDLE_REPORTS_PER_S
        * _MS_PER_S
    )
    report = model.first("report_frames", "bytes_per_report")
    yield Figure(
        what="reports to entries",
        formula=(
            "links x reports/s x (idle_by_entries.agent_cpu per link / idle "
            "reports/s, report_frames.bytes)"
        ),
        mechanism="paced by bytes; the report is encoded once",
        core_percent=links
        * model.busy_reports_per_s
        * report_us
        / _US_PER_S
        * 100,
        kb_per_s=links * model.busy_reports_per_s * report / _KB,
    )
    yield model.contract()
    yield model.host_list(model.agent_hosts_polls_per_s)
    per_s = model.placements_per_s
    yield Figure(
        what="placement records",
        formula="workers / renewal x (log_http.read_cpu, 300 B x 4/3 + head)",
        mechanism="every agent follows the placement stream",
        core_percent=per_s * model.log_read_core_percent,
        kb_per_s=per_s * model.record_kb(PLACEMENT_BYTES),
    )
    yield model.journal()
