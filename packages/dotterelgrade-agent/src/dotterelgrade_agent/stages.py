"""The stages of requests that run on this agent."""

import collections
from collections.abc import Iterable, Sequence
import dataclasses
import time

import gevent
from returns import result

from dotterelgrade import errors
from dotterelgrade import journal as journal_lib
from dotterelgrade import messages
from dotterelgrade import metrics as metrics_lib
from dotterelgrade_agent import engine_backend
from dotterelgrade_agent import entry_links
from dotterelgrade_agent import hops as hops_lib
from dotterelgrade_agent import sequence as sequence_lib

_MS_PER_S = 1000
_MAX_ENDED = 20_000
SWEEP_INTERVAL_S = 5.0
IDLE_LIMIT_S = 60.0


@dataclasses.dataclass(kw_only=True)
class _Stage:
    """A sequence with the entry that admitted it."""

    sequence: sequence_lib.Sequence
    backend: engine_backend.EngineBackend
    link: entry_links.EntryLink
    used_at: float


class Stages:
    """Takes the frames of model requests and passes their outputs on."""

    def __init__(
        self,
        *,
        engines: dict[str, engine_backend.EngineBackend],
        journal: journal_lib.Journal,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes an agent without requests.

        Args:
            engines: The engines by the name of the backend server.
            journal: Takes decisions.
            metrics: Takes counts.
        """
        self._engines = engines
        self._journal = journal
        self._hops: hops_lib.Hops | None = None
        self._requests: dict[str, dict[int, _Stage]] = {}
        self._ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._leaving = ""
        self._admissions = metrics.counter(
            "agent_admissions", "Admissions by outcome.", ("outcome",)
        )
        self._ignored = metrics.counter(
            "agent_ignored_steps", "Steps that nothing came of."
        )
        self._failures = metrics.counter(
            "agent_stage_failures", "Stages that failed.", ("kind",)
        )

    def __repr__(self) -> str:
        """Shows how many requests have stages here."""
        return f"<Stages {len(self._requests)} requests>"

    @property
    def in_flight(self) -> int:
        """How many stages are not finished."""
        return sum(len(stages) for stages in self._requests.values())

    def connect(self, hops: hops_lib.Hops) -> None:
        """Sets the links to next agents, which report failures back."""
        self._hops = hops

    def leave(self, reason: str) -> None:
        """Refuses new requests from now on; an empty reason takes it back."""
        self._leaving = reason

    def admit(self, link: entry_links.EntryLink, admit: messages.Admit) -> None:
        """Reserves a slot for a stage and answers the entry."""
        answer = self._reserve(link, admit)
        if isinstance(answer, result.Failure):
            self._refuse(link, admit, answer.failure())
            return
        stage = answer.unwrap()
        self._admissions.labels("admitted").inc()
        link.send(
            messages.Admitted(
                request_id=admit.request_id,
                attempt=admit.attempt,
                stage=admit.stage,
                report=stage.backend.report,
            )
        )

    def _reserve(
        self, link: entry_links.EntryLink, admit: messages.Admit
    ) -> result.Result[_Stage, errors.Error]:
        if admit.attempt <= self._ended.get(admit.request_id, -1):
            return _stale("the attempt has ended here")
        stages = self._requests.get(admit.request_id, {})
        current = stages.get(admit.stage)
        if current is not None:
            if admit.attempt < current.sequence.attempt:
                return _stale("a newer attempt runs here")
            if admit.attempt == current.sequence.attempt:
                return result.Success(current)
        # The earlier attempt runs until here; its slot is the first to go.
        if current is not None:
            self._end(current)
        return self._reserve_new(link, admit)

    def _reserve_new(
        self, link: entry_links.EntryLink, admit: messages.Admit
    ) -> result.Result[_Stage, errors.Error]:
        if self._leaving:
            return _refusal(errors.ErrorKind.LEAVING, self._leaving)
        backend = self._engines.get(admit.backend)
        if backend is None:
            return _refusal(
                errors.ErrorKind.ENGINE_REFUSED, f"no engine {admit.backend!r}"
            )
        admitted = backend.admit(admit)
        if isinstance(admitted, result.Failure):
            return admitted
        stage = _Stage(
            sequence=admitted.unwrap(),
            backend=backend,
            link=link,
            used_at=time.monotonic(),
        )
        self._requests.setdefault(admit.request_id, {})[admit.stage] = stage
        return result.Success(stage)

    def _refuse(
        self,
        link: entry_links.EntryLink,
        admit: messages.Admit,
        error: errors.Error,
    ) -> None:
        backend = self._engines.get(admit.backend)
        self._admissions.labels(error.kind.value).inc()
        self._journal.record(
            "admission_refused",
            reason=error.message,
            request_id=admit.request_id,
            attempt=admit.attempt,
            stage=admit.stage,
        )
        link.send(
            messages.Refused(
                request_id=admit.request_id,
                attempt=admit.attempt,
                stage=admit.stage,
                kind=error.kind,
                message=error.message,
                retry_after_ms=(error.retry_after_s or 0.0) * _MS_PER_S,
                report=None if backend is None else backend.report,
            )
        )

    def steps(self, steps: Iterable[messages.Step]) -> None:
        """Queues steps from an entry or from the agents of earlier stages."""
        now = time.monotonic()
        for step in steps:
            stage = self._requests.get(step.request_id, {}).get(step.stage)
            if stage is None:
                self._ignored.inc()
                continue
            stage.used_at = now
            self._offer(stage, step)

    def _offer(self, stage: _Stage, step: messages.Step) -> None:
        answer = stage.backend.offer(stage.sequence, step)
        if isinstance(answer, result.Failure):
            self.failed(stage.sequence, answer.failure())
            return
        offer = answer.unwrap()
        if offer.ignored:
            self._ignored.inc()
        if offer.resend:
            self.ran([(stage.sequence, offer.resend)])

    def ran(
        self,
        outputs: Sequence[
            tuple[sequence_lib.Sequence, tuple[sequence_lib.Output, ...]]
        ],
    ) -> None:
        """Sends outputs on: steps to next hops, tokens to entries."""
        tokens: dict[entry_links.EntryLink, list[messages.Token]] = {}
        for sequence, items in outputs:
            if not items:
                continue
            if sequence.next_hop is not None:
                for item in items:
                    self._hops.send(sequence.next_hop, item)
                continue
            stage = self._stage_of(sequence)
            if stage is not None:
                tokens.setdefault(stage.link, []).extend(items)
        for link, batch in tokens.items():
            link.send(messages.Tokens(tokens=tuple(batch)))

    def _stage_of(self, sequence: sequence_lib.Sequence) -> _Stage | None:
        stage = self._requests.get(sequence.request_id, {}).get(sequence.stage)
        if stage is None or stage.sequence is not sequence:
            return None
        return stage

    def failed(
        self, sequence: sequence_lib.Sequence, error: errors.Error
    ) -> None:
        """Ends a sequence that can't go on and tells its entry."""
        stage = self._stage_of(sequence)
        if stage is None:
            return
        self._tell_failure(stage, stage=sequence.stage, error=error)
        self._end(stage)

    def hop_failed(self, address: hops_lib.Address, reason: str) -> None:
        """Tells the entries of all sequences whose next hop failed."""
        for stage in list(self._all()):
            hop = stage.sequence.next_hop
            if hop is None or (hop.host, hop.port) != address:
                continue
            self._tell_failure(
                stage,
                stage=stage.sequence.stage + 1,
                error=errors.Error(
                    kind=errors.ErrorKind.PEER_UNREACHABLE, message=reason
                ),
            )

    def _all(self) -> Iterable[_Stage]:
        for stages in self._requests.values():
            yield from stages.values()

    def _tell_failure(
        self, holder: _Stage, *, stage: int, error: errors.Error
    ) -> None:
        sequence = holder.sequence
        self._failures.labels(error.kind.value).inc()
        self._journal.record(
            "stage_failed",
            reason=error.message,
            request_id=sequence.request_id,
            attempt=sequence.attempt,
            stage=stage,
        )
        holder.link.send(
            messages.StageFailed(
                request_id=sequence.request_id,
                attempt=sequence.attempt,
                stage=stage,
                kind=error.kind,
                message=error.message,
            )
        )

    def rewire(
        self, link: entry_links.EntryLink, rewire: messages.Rewire
    ) -> None:
        """Moves a surviving stage to a higher attempt and answers."""
        stage = self._requests.get(rewire.request_id, {}).get(rewire.stage)
        if stage is None:
            answer = _stale("the sequence is not held here")
        else:
            answer = stage.sequence.rewire(rewire)
        if isinstance(answer, result.Failure):
            error = answer.failure()
            link.send(
                messages.Refused(
                    request_id=rewire.request_id,
                    attempt=rewire.attempt,
                    stage=rewire.stage,
                    kind=error.kind,
                    message=error.message,
                )
            )
            return
        stage.used_at = time.monotonic()
        link.send(answer.unwrap())

    def replay(self, replay: messages.Replay) -> None:
        """Sends the buffered outputs of a request to its next hop."""
        for stage in list(self._requests.get(replay.request_id, {}).values()):
            sequence = stage.sequence
            if sequence.next_hop is None:
                continue
            answer = sequence.replay(replay.attempt)
            if isinstance(answer, result.Failure):
                self.failed(sequence, answer.failure())
                continue
            self._journal.record(
                "replayed",
                reason="the next stage was replaced",
                request_id=replay.request_id,
                positions=sequence.next_position,
            )
            self.ran([(sequence, answer.unwrap())])

    def release(self, release: messages.Release) -> None:
        """Ends every stage of a request up to the given attempt."""
        self._note_ended(release)
        stages = self._requests.get(release.request_id, {})
        for stage in list(stages.values()):
            if stage.sequence.attempt <= release.attempt:
                self._end(stage)

    def _note_ended(self, release: messages.Release) -> None:
        # A late admission must not take a slot that nobody gives back.
        last = self._ended.pop(release.request_id, -1)
        self._ended[release.request_id] = max(last, release.attempt)
        if len(self._ended) > _MAX_ENDED:
            self._ended.popitem(last=False)

    def _end(self, stage: _Stage) -> None:
        sequence = stage.sequence
        stages = self._requests.get(sequence.request_id, {})
        if stages.get(sequence.stage) is stage:
            del stages[sequence.stage]
            if not stages:
                del self._requests[sequence.request_id]
        stage.backend.release(sequence)

    def orphaned(self, link: entry_links.EntryLink) -> None:
        """Cancels what a lost entry has left behind."""
        stages = [stage for stage in self._all() if stage.link is link]
        for stage in stages:
            self._end(stage)
        if stages:
            self._journal.record(
                "orphans_cancelled",
                reason="the entry did not come back",
                entry=link.process,
                count=len(stages),
            )

    def sweep(self) -> None:
        """Ends stages whose entry has forgotten them, until killed."""
        while True:
            gevent.sleep(SWEEP_INTERVAL_S)
            oldest = time.monotonic() - IDLE_LIMIT_S
            for stage in [s for s in self._all() if s.used_at < oldest]:
                error = errors.Error(
                    kind=errors.ErrorKind.INTERRUPTED,
                    message=f"no step for {IDLE_LIMIT_S:.0f} s",
                )
                self.failed(stage.sequence, error)


def _stale(message: str) -> result.Failure[errors.Error]:
    return _refusal(errors.ErrorKind.INTERRUPTED, message)


def _refusal(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=kind, message=message, run=errors.RunState.NOT_RUN)
    )
