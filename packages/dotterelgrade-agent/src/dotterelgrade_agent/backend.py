"""The kinds of backend servers behind an agent, in a registry."""

from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import metrics as metrics_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import sequence as sequence_lib

_T = TypeVar("_T", bound=type)


class Listener(Protocol):
    """Who hears what happens at a backend server."""

    def ran(
        self,
        outputs: Sequence[
            tuple[sequence_lib.Sequence, tuple[sequence_lib.Output, ...]]
        ],
    ) -> None:
        """Takes the outputs of one batch."""

    def failed(
        self, sequence: sequence_lib.Sequence, error: errors.Error
    ) -> None:
        """Takes a sequence that the backend server can't go on with."""

    def changed(self) -> None:
        """Takes note that the report differs from the last one."""


class Observers:
    """What a backend server reports to: the agent's listener and records."""

    def __init__(
        self,
        *,
        listener: Listener,
        journal: journal_lib.Journal,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the observers.

        Args:
            listener: Takes outputs, failures and changes.
            journal: Takes decisions.
            metrics: Takes counts and durations.
        """
        self.listener = listener
        self.journal = journal
        self.metrics = metrics
        self.batch_latency = metrics.latency(
            "agent_batch_seconds", "Duration of engine batches."
        )
        self.positions = metrics.counter(
            "agent_positions", "Positions run by engines.", ("backend",)
        )
        self.batches = metrics.counter(
            "agent_batches", "Batches run by engines.", ("backend", "outcome")
        )


class BackendServer(Protocol):
    """One backend server of the host."""

    @property
    def settings(self) -> agent_settings.BackendSettings:
        """The settings of the backend server."""

    @property
    def report(self) -> messages.BackendReport:
        """The load at this moment."""

    @property
    def in_flight(self) -> int:
        """Sequences and calls that are not finished."""

    def start(self) -> None:
        """Begins to work in greenlets of its own."""

    def stop(self) -> None:
        """Ends the greenlets and closes connections."""

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""


Factory = Callable[[agent_settings.BackendSettings, Observers], BackendServer]

_KINDS: dict[agent_settings.BackendKind, Factory] = {}


def kind(name: agent_settings.BackendKind) -> Callable[[_T], _T]:
    """Registers the class for a kind of backend server."""

    def register(cls: _T) -> _T:
        _KINDS[name] = cls
        return cls

    return register


def make(
    settings: agent_settings.BackendSettings, observers: Observers
) -> BackendServer:
    """Returns a backend server of the kind that its settings name."""
    return _KINDS[agent_settings.BackendKind(settings.kind)](
        settings, observers
    )


def refuse(
    kind_: errors.ErrorKind, message: str, *, retry_after_s: float | None = None
) -> result.Failure[errors.Error]:
    """Returns a refusal of which nothing ran."""
    return result.Failure(
        errors.Error(
            kind=kind_,
            message=message,
            retry_after_s=retry_after_s,
            run=errors.RunState.NOT_RUN,
        )
    )
