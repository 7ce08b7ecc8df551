"""State of one request while the front serves it."""

import collections
from collections.abc import Collection
import dataclasses
import functools
import time

from dotterelgrade import errors
from dotterelgrade import fingerprint
from dotterelgrade import http_message
from dotterelgrade_routing import attempt
from dotterelgrade_routing import configuration
from dotterelgrade_routing import request_metadata


@dataclasses.dataclass(kw_only=True)
class Call:
    """A caller's request, its route and the attempts made so far.

    Attributes:
        request: The request as the caller sent it.
        facts: Values parsed from its headers.
        route: The matching route.
        service: The service chosen from the route.
        workspace: Name of the caller's workspace, or empty.
        priority: For the engine; 0 is the most urgent.
        rank: Rank among the requests to the service, 0 is the most urgent, or
            None if the service has no ranks.
        received_at: Monotonic time at which it was received completely, s.
        deadline: Deadline as monotonic time, s.
        attempts: What is known of each failed attempt, in order.
        sent_to: IDs of backend servers that it was sent to.
        unreachable: IDs of backend servers that could not be connected to.
        refused_by: Addresses of stages that refused it.
        refused_at: Monotonic time of the last refusal, s.
        open_at: Attempts that are open, by the ID of their backend server.
    """

    request: http_message.Request
    facts: request_metadata.RequestMetadata
    route: configuration.Route
    service: configuration.Service
    workspace: str
    priority: int
    rank: int | None = None
    received_at: float
    deadline: float
    attempts: list[attempt.ExecutionStatus] = dataclasses.field(
        default_factory=list
    )
    sent_to: set[str] = dataclasses.field(default_factory=set)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)
    refused_at: float = float("-inf")
    open_at: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def request_id(self) -> str:
        """ID of the request, as given by the caller."""
        return self.facts.request_id

    @functools.cached_property
    def fingerprints(self) -> tuple[str, ...]:
        """What it may have in common with others.

        These are the segments of its prompt but for the last one, which mostly
        belongs to one request, or the whole request if there are no others.
        """
        shared = self.facts.prompt_segments[:-1]
        if shared:
            return fingerprint.of_segments(self.service.name, shared)
        return (self.request_fingerprint,)

    @functools.cached_property
    def request_fingerprint(self) -> str:
        """What only its repetitions have in common with it."""
        segments = self.facts.prompt_segments
        if segments:
            return fingerprint.of_all(
                fingerprint.of_segments(self.service.name, segments)
            )
        return fingerprint.of_request(
            self.service.name,
            method=self.request.method,
            target=self.request.target,
            body=self.request.body,
        )

    @property
    def remaining_s(self) -> float:
        """Time until the deadline, s."""
        return self.deadline - time.monotonic()

    @property
    def refusals(self) -> int:
        """Number of attempts that were refused."""
        return self.attempts.count(attempt.ExecutionStatus.REFUSED)

    @property
    def age_s(self) -> float:
        """Time since the request was received, s."""
        return time.monotonic() - self.received_at

    def may_send_to(
        self, server_id: str, *, pending: Collection[str] = ()
    ) -> bool:
        """Returns whether `max_attempts` permits sending to a server.

        Args:
            server_id: The backend server.
            pending: IDs of backend servers that it may be sent to meanwhile.
        """
        used = self.sent_to.union(pending)
        return server_id in used or len(used) < self.route.max_attempts

    @property
    def may_have_run(self) -> bool:
        """Whether a failed attempt may have run."""
        execution = attempt.combined(self.attempts)
        return execution > attempt.ExecutionStatus.REFUSED

    def may_retry(self) -> bool:
        """Returns whether another attempt is safe after the failed ones."""
        return attempt.may_retry(
            attempt.combined(self.attempts), repeatable=self.route.repeatable
        )

    def fault(self, message: str) -> errors.Error:
        """Returns the error for the caller after a fault of the front itself.

        Args:
            message: The fault.
        """
        execution = attempt.combined(self.attempts)
        if self.sent_to:
            execution = max(execution, attempt.ExecutionStatus.UNKNOWN)
        if execution <= attempt.ExecutionStatus.REFUSED:
            return fault_before_sending(message)
        kind = attempt.failure_kind(
            execution, deadline_passed=self.remaining_s <= 0
        )
        return errors.Error(kind=kind, message=message)

    def failure(self, message: str) -> errors.Error:
        """Returns the error for the caller when no attempt succeeded.

        Args:
            message: Why the last attempt failed.
        """
        kind = attempt.failure_kind(
            attempt.combined(self.attempts),
            deadline_passed=self.remaining_s <= 0,
        )
        return errors.Error(kind=kind, message=message)


def fault_before_sending(message: str) -> errors.Error:
    """Returns the error for a fault of the front before a server was reached.

    Args:
        message: The fault.
    """
    return errors.Error(kind=errors.ErrorKind.INTERNAL_NOT_RUN, message=message)
