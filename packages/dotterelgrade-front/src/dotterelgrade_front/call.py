"""One request of a caller with everything that is known of it."""

import dataclasses
import time

from dotterelgrade import errors
from dotterelgrade import http_message
from dotterelgrade_routing import attempt
from dotterelgrade_routing import configuration
from dotterelgrade_routing import request_facts

# Answers to a caller that comes back for another reason than memory.
DEFAULT_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(kw_only=True)
class Call:
    """A request on its way.

    Attributes:
        request: As the caller sent it.
        facts: What its headers say.
        route: Its route.
        service: The service that serves it.
        workspace: Name of the caller's workspace, or empty.
        priority: 0 is the most urgent.
        received_at: Monotonic time of its last byte, s.
        until: Monotonic time after which nobody waits, s.
        tries: What is known of each try so far.
        sent_to: Backend servers that it was sent to.
        unreachable: Backend servers that could not be reached for it.
        refused_by: Addresses of stages that did not take it.
    """

    request: http_message.Request
    facts: request_facts.RequestFacts
    route: configuration.Route
    service: configuration.Service
    workspace: str
    priority: int
    received_at: float
    until: float
    tries: list[attempt.Knowledge] = dataclasses.field(default_factory=list)
    sent_to: set[str] = dataclasses.field(default_factory=set)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    refused_by: set[str] = dataclasses.field(default_factory=set)

    @property
    def request_id(self) -> str:
        """Identifier of the caller's attempt."""
        return self.facts.request_id

    @property
    def left_s(self) -> float:
        """Time until nobody waits any more, s."""
        return self.until - time.monotonic()

    @property
    def age_s(self) -> float:
        """Time since the request arrived, s."""
        return time.monotonic() - self.received_at

    def may_go_to(self, server_id: str) -> bool:
        """Returns whether it may be sent to a backend server."""
        return (
            server_id in self.sent_to
            or len(self.sent_to) < self.route.max_attempts
        )

    def may_repeat(self) -> bool:
        """Returns whether a further try is allowed after those so far."""
        return attempt.may_repeat(
            attempt.overall(self.tries), repeatable=self.route.repeatable
        )

    def failure(
        self, message: str, *, retry_after_s: float = DEFAULT_RETRY_AFTER_S
    ) -> errors.Error:
        """Returns what the caller is told when no try succeeded.

        Args:
            message: What happened.
            retry_after_s: When to come back if the request has not run, s.
        """
        kind = attempt.failure_kind(
            attempt.overall(self.tries), out_of_time=self.left_s <= 0
        )
        not_run = kind is errors.ErrorKind.NO_CAPACITY
        return errors.Error(
            kind=kind,
            message=message,
            retry_after_s=retry_after_s if not_run else None,
        )
