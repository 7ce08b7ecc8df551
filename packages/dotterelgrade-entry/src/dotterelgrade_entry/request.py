"""The request aggregate: attempts, positions and emitted tokens."""

import dataclasses
import functools
import time

from dotterelgrade import messages
from dotterelgrade_entry import prefixes
from dotterelgrade_entry import tokenizer


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestOrder:
    """What a caller asked for.

    Attributes:
        request_id: Identifier, unique over the fleet.
        workspace: Workspace of the caller.
        model: Model name.
        prompt: Prompt tokens.
        max_tokens: The most tokens to generate.
        priority: Lower numbers run first.
        weight: Share of the workspace, relative to the others.
        first_token_s: Bound on the first token, s from the arrival.
        between_tokens_s: Bound on the time between two tokens, s.
    """

    request_id: str
    workspace: str
    model: str
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int = 5
    weight: float = 1.0
    first_token_s: float = 5.0
    between_tokens_s: float = 1.0

    @functools.cached_property
    def prefixes(self) -> tuple[int, ...]:
        """Digests of the prompt's prefixes, shortest first."""
        return prefixes.digests(self.prompt)


class Request:
    """Decides which tokens belong to the answer.

    A token is part of the answer only if it comes from the current attempt and
    stands at the next position. The attempt number only grows; a larger one
    fences everything that earlier attempts still send.
    """

    def __init__(self, order: RequestOrder) -> None:
        """Initializes a request that has not been attempted.

        Args:
            order: What the caller asked for.
        """
        self._order = order
        self._arrived_at = time.monotonic()
        self._attempt = 0
        self._emitted: list[int] = []
        self._chain_start = len(order.prompt)
        self._ended = False
        self._may_have_run = False

    def __repr__(self) -> str:
        """Shows the identifier, the attempt and the progress."""
        return (
            f"<Request {self.request_id} attempt {self._attempt}, "
            f"{len(self._emitted)} of {self._order.max_tokens} tokens>"
        )

    @property
    def order(self) -> RequestOrder:
        """What the caller asked for."""
        return self._order

    @property
    def request_id(self) -> str:
        """Identifier of the request."""
        return self._order.request_id

    @property
    def arrived_at(self) -> float:
        """Monotonic time of the arrival, s."""
        return self._arrived_at

    @property
    def attempt(self) -> int:
        """The current attempt; 0 before the first."""
        return self._attempt

    @property
    def emitted(self) -> tuple[int, ...]:
        """The tokens of the answer so far."""
        return tuple(self._emitted)

    @property
    def emitted_count(self) -> int:
        """How many tokens the answer has so far."""
        return len(self._emitted)

    @property
    def next_position(self) -> int:
        """The only position at which a token is accepted."""
        return len(self._order.prompt) + len(self._emitted)

    @property
    def tokens_left(self) -> int:
        """How many more tokens may be generated."""
        return self._order.max_tokens - len(self._emitted)

    @property
    def is_finished(self) -> bool:
        """Whether the answer is whole."""
        return self._ended or self.tokens_left <= 0

    @property
    def finish_reason(self) -> str:
        """Why the answer ended, in the words of the OpenAI interface."""
        return "stop" if self._ended else "length"

    @property
    def may_have_run(self) -> bool:
        """Whether some layer may have run for this request."""
        return self._may_have_run

    @property
    def time_to_bound_s(self) -> float:
        """Time left until the bound on the first token, s; may be negative."""
        elapsed = time.monotonic() - self._arrived_at
        return self._order.first_token_s - elapsed

    def begin_attempt(self) -> int:
        """Starts a new attempt, which fences all earlier ones.

        Returns:
            The number of the new attempt.
        """
        self._attempt += 1
        return self._attempt

    def note_sent(self) -> None:
        """Notes that a step went to a backend server."""
        self._may_have_run = True

    def accept(self, token: messages.Token) -> bool:
        """Takes a token into the answer if it belongs there.

        Args:
            token: A token that the last stage of some attempt sampled.

        Returns:
            Whether the token is the next one of the answer.
        """
        if self.is_finished or token.attempt != self._attempt:
            return False
        if token.position != self.next_position:
            return False
        self._emitted.append(token.token)
        self._ended = token.token == tokenizer.END_TOKEN
        return True

    def whole_step(self) -> messages.Step:
        """Returns the step that starts a new chain from nothing."""
        self._chain_start = self.next_position
        return self._step(0, self._order.prompt + self.emitted)

    def current_step(self) -> messages.Step:
        """Returns the step whose token is awaited.

        Until a chain has given its first token this is its whole step, as its
        stages may not have run anything yet.
        """
        if self.next_position == self._chain_start:
            return self._step(0, self._order.prompt + self.emitted)
        return self._step(self.next_position - 1, (self._emitted[-1],))

    def rebuild_steps(self) -> tuple[messages.Step, ...]:
        """Returns the steps before the current one, for a new first stage."""
        if self.next_position == self._chain_start:
            return ()
        inputs = self._order.prompt + tuple(self._emitted[:-1])
        return (self._step(0, inputs),)

    def _step(self, position: int, inputs: tuple[int, ...]) -> messages.Step:
        return messages.Step(
            request_id=self.request_id,
            attempt=self._attempt,
            stage=0,
            position=position,
            inputs=inputs,
        )
