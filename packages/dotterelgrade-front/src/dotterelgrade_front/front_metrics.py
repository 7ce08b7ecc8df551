"""Counters and latency distributions of a front."""

from dotterelgrade import metrics as metrics_lib


class FrontMetrics:
    """Metrics of a front's requests, attempts and store reads."""

    def __init__(self) -> None:
        """Initializes all metrics at zero."""
        self._metrics = metrics_lib.Metrics()
        self._answers = self._metrics.counter(
            "front_answers", "Answers by outcome.", ("outcome",)
        )
        self._attempts = self._metrics.counter(
            "front_tries", "Tries at backend servers by result.", ("result",)
        )
        self._store_reads = self._metrics.counter(
            "front_store_reads", "Reads of the store by result.", ("result",)
        )
        self._notices = self._metrics.counter(
            "front_server_notices",
            "What backend servers said of themselves in answers.",
            ("notice",),
        )
        self._delayed_snapshots = self._metrics.counter(
            "front_delayed_snapshots",
            "Snapshots left out since the connection had not taken the last.",
        )
        self._refused_suspects = self._metrics.counter(
            "front_quarantine_refusals",
            "Requests refused for crashes under others like them, by level.",
            ("level",),
        )
        self._quarantined = self._metrics.gauge(
            "front_quarantined_fingerprints",
            "Fingerprints of which requests are refused.",
        )
        self._admissions = self._metrics.counter(
            "front_admissions",
            "First decisions on requests of ranked services.",
            ("rank", "outcome"),
        )
        self._rank_limits = self._metrics.gauge(
            "front_rank_limit",
            "Utilization up to which a rank was last admitted.",
            ("rank",),
        )
        self._oversized = self._metrics.counter(
            "front_oversized_responses",
            "Responses of backend servers above the size limit.",
        )
        self._left_domain = self._metrics.counter(
            "front_left_domain",
            "Attempts sent to another failure domain.",
            ("service",),
        )
        self._spillover_fraction = self._metrics.gauge(
            "front_spillover_fraction",
            "Share of the requests that is offered to other failure domains.",
            ("service",),
        )
        self._limited_clients = self._metrics.counter(
            "front_limited_clients",
            "Clients that reached a limit on what they take up, by limit.",
            ("limit",),
        )
        self._connections = self._metrics.gauge(
            "front_client_connections", "Open connections of clients."
        )
        self._in_flight = self._metrics.gauge(
            "front_requests_in_flight", "Requests that are worked on."
        )
        self._answer_duration = self._metrics.latency(
            "front_answer_seconds", "Time from request to the end of answer."
        )
        self._first_event_delay = self._metrics.latency(
            "front_first_event_seconds", "Time from request to first event."
        )
        self._retry_after = self._metrics.latency(
            "front_retry_after_seconds", "Retry times told with refusals."
        )

        self._loop_delay = self._metrics.latency(
            "front_loop_delay_seconds", "How late the event loop ran a timer."
        )

    def __repr__(self) -> str:
        """Shows the class."""
        return "<FrontMetrics>"

    @property
    def shared(self) -> metrics_lib.Metrics:
        """The metrics, for parts that add their own."""
        return self._metrics

    @property
    def first_event(self) -> metrics_lib.Latency:
        """Time from request to first event, s."""
        return self._first_event_delay

    @property
    def retry_after(self) -> metrics_lib.Latency:
        """Retry times told with refusals, s."""
        return self._retry_after

    @property
    def loop_delay(self) -> metrics_lib.Latency:
        """How late the event loop ran a timer, s."""
        return self._loop_delay

    def count_answer(self, outcome: str, *, seconds: float) -> None:
        """Counts an answer and records its duration."""
        self._answers.labels(outcome).inc()
        self._answer_duration.record(seconds)

    def count_attempt(self, result: str) -> None:
        """Counts an attempt at a backend server."""
        self._attempts.labels(result).inc()

    def count_store_read(self, result: str) -> None:
        """Counts a read of the store."""
        self._store_reads.labels(result).inc()

    def count_delayed_snapshot(self) -> None:
        """Counts a snapshot that was left out for a front."""
        self._delayed_snapshots.inc()

    def count_server_notice(self, notice: str) -> None:
        """Counts a notice of a backend server that it is draining or full."""
        self._notices.labels(notice).inc()

    def count_quarantined(self, level: str) -> None:
        """Counts a request refused for crashes under others like it."""
        self._refused_suspects.labels(level).inc()

    def count_admission(self, rank: int, outcome: str) -> None:
        """Counts the first decision on a request of a ranked service."""
        self._admissions.labels(rank, outcome).inc()

    def set_rank_limit(self, rank: int, limit: float) -> None:
        """Sets the utilization up to which a rank was last admitted."""
        self._rank_limits.labels(rank).set(limit)

    def count_oversized(self) -> None:
        """Counts a response above the size limit."""
        self._oversized.inc()

    def count_left_domain(self, service: str) -> None:
        """Counts an attempt in another failure domain."""
        self._left_domain.labels(service).inc()

    def set_spillover(self, service: str, fraction: float) -> None:
        """Sets the share of a service's requests that leaves the domain."""
        self._spillover_fraction.labels(service).set(fraction)

    def count_limited_client(self, limit: str) -> None:
        """Counts a client that reached a limit on what it takes up."""
        self._limited_clients.labels(limit).inc()

    def set_quarantined(self, fingerprints: int) -> None:
        """Sets the number of fingerprints in quarantine."""
        self._quarantined.set(fingerprints)

    def set_connections(self, connections: int) -> None:
        """Sets the number of open connections of clients."""
        self._connections.set(connections)

    def set_in_flight(self, requests: int) -> None:
        """Sets the number of requests in flight."""
        self._in_flight.set(requests)

    def as_text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return self._metrics.as_text()
