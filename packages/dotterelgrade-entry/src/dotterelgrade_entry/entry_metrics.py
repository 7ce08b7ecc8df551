"""The metrics of an entry: latencies by workspace, refusals by kind."""

import re
import time

from dotterelgrade import errors
from dotterelgrade import metrics as metrics_lib
from dotterelgrade_entry import admission as admission_lib
from dotterelgrade_entry import request as request_lib

_NOT_NAME = re.compile(r"[^a-zA-Z0-9_]")
_MAX_WORKSPACES = 1_000


class TokenWatch:
    """Measures the latencies of one request's tokens at the entry."""

    def __init__(
        self,
        request: request_lib.Request,
        *,
        first: metrics_lib.Latency,
        between: metrics_lib.Latency,
        admission: admission_lib.Admission,
    ) -> None:
        """Initializes a watch before the first token.

        Args:
            request: The request.
            first: Takes the time from the arrival to the first token.
            between: Takes the times between tokens.
            admission: Learns how good its predictions were.
        """
        self._request = request
        self._first = first
        self._between = between
        self._admission = admission
        self._latest: float | None = None
        self._begun_at = 0.0
        self._expected_first_s: float | None = None
        self._expected_gap_s: float | None = None

    def expect_first(self, predicted_s: float | None) -> None:
        """Sets what was predicted for the first token, from now on.

        Args:
            predicted_s: The prediction, s; None after a stage was lost.
        """
        self._begun_at = time.monotonic()
        self._expected_first_s = predicted_s
        self._expected_gap_s = None

    def expect_gap(self, predicted_s: float) -> None:
        """Sets what is predicted for the next token, s."""
        self._expected_gap_s = predicted_s

    def note_token(self) -> None:
        """Notes that a token was accepted just now."""
        now = time.monotonic()
        if self._latest is None:
            self._first.record(now - self._request.arrived_at)
            self._learn_first(now - self._begun_at)
        else:
            gap_s = now - self._latest
            self._between.record(gap_s)
            if self._expected_gap_s is not None:
                self._learn_gap(gap_s, self._expected_gap_s)
        self._latest = now

    def _learn_first(self, measured_s: float) -> None:
        if self._expected_first_s is not None:
            self._admission.first.note(
                measured_s=measured_s, predicted_s=self._expected_first_s
            )

    def _learn_gap(self, measured_s: float, predicted_s: float) -> None:
        self._expected_gap_s = None
        self._admission.between.note(
            measured_s=measured_s, predicted_s=predicted_s
        )


class EntryMetrics:
    """Keeps the metrics of an entry."""

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Registers the metrics.

        Args:
            metrics: The metrics of the process.
        """
        self._metrics = metrics
        self._workspaces: set[str] = set()
        self._refusals = metrics.counter(
            "dotterelgrade_refusals",
            "Requests answered with an error",
            ("kind",),
        )
        self._requests = metrics.counter(
            "dotterelgrade_requests", "Model requests that ended", ("outcome",)
        )
        self._tokens = metrics.counter(
            "dotterelgrade_tokens", "Tokens of answers"
        )
        self._duration = metrics.latency(
            "dotterelgrade_request_seconds", "Duration of model requests, s"
        )

    def note_refusal(self, kind: errors.ErrorKind) -> None:
        """Counts a request that got an error as its answer."""
        self._refusals.labels(kind.value).inc()

    def note_end(
        self, request: request_lib.Request, *, duration_s: float
    ) -> None:
        """Counts a model request that ended.

        Args:
            request: The request.
            duration_s: Its duration, s.
        """
        outcome = "whole" if request.is_finished else "not_whole"
        self._requests.labels(outcome).inc()
        self._tokens.inc(len(request.emitted))
        self._duration.record(duration_s)

    def watch(
        self,
        request: request_lib.Request,
        admission: admission_lib.Admission,
    ) -> TokenWatch:
        """Returns the watch for a new request.

        Args:
            request: The request.
            admission: Learns how good its predictions were.
        """
        name = _NOT_NAME.sub("_", request.order.workspace)
        if len(self._workspaces) >= _MAX_WORKSPACES:
            name = "other" if name not in self._workspaces else name
        self._workspaces.add(name)
        return TokenWatch(
            request,
            admission=admission,
            first=self._metrics.latency(
                f"dotterelgrade_first_token_seconds_{name}",
                "Time from arrival to the first token, s",
            ),
            between=self._metrics.latency(
                f"dotterelgrade_between_tokens_seconds_{name}",
                "Time between two tokens, s",
            ),
        )
