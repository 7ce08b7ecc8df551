"""A model engine: admission, queue and the continuous batching loop."""

import functools
import logging
import time
from typing import Any

import gevent
from gevent import event
import gevent.pool
from returns import result

from dotterelgrade import errors
from dotterelgrade import messages
from dotterelgrade import supervision
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import backend
from dotterelgrade_agent import batch as batch_lib
from dotterelgrade_agent import cancellations
from dotterelgrade_agent import engine_client
from dotterelgrade_agent import engine_watch
from dotterelgrade_agent import sequence as sequence_lib
from dotterelgrade_agent import step_times

_LOG = logging.getLogger(__name__)

_MS_PER_S = 1000
_FULL = "full"
_CLEAN_UP_INTERVAL_S = 10.0
_RETRY_AFTER_UNHEALTHY_S = 1.0
_MIN_RETRY_AFTER_S = 0.05
_RESIDENCE_SMOOTHING = 0.1
_FIRST_RESIDENCE_S = 1.0


@backend.kind(agent_settings.BackendKind.ENGINE)
class EngineBackend:
    """The only authority over one engine.

    One greenlet forms and runs batches, one looks at the engine's status and
    one cancels ended sequences, whose slots are free only after that.
    """

    def __init__(
        self,
        settings: agent_settings.BackendSettings,
        observers: backend.Observers,
    ) -> None:
        """Initializes the backend server without touching the engine.

        Args:
            settings: The backend server.
            observers: Who hears what happens.
        """
        self._settings = settings
        self._observers = observers
        self._client = engine_client.EngineClient(settings)
        self._watch = engine_watch.EngineWatch(
            settings, on_change=observers.listener.changed
        )
        self._cancellations = cancellations.Cancellations(
            self._client, on_freed=self._slot_freed
        )
        self._sequences: dict[str, sequence_lib.Sequence] = {}
        self._admitted_at: dict[str, float] = {}
        self._ready: dict[str, sequence_lib.Sequence] = {}
        self._running: batch_lib.Batch | None = None
        self._wakeup = event.Event()
        self._times = step_times.StepTimes()
        self._residence_s = _FIRST_RESIDENCE_S
        self._withheld = ""
        self._greenlets = gevent.pool.Group()

    def __repr__(self) -> str:
        """Shows the name and how full the backend server is."""
        return (
            f"<EngineBackend {self._settings.name} "
            f"{len(self._sequences)} of {self.slots} sequences>"
        )

    @property
    def settings(self) -> agent_settings.BackendSettings:
        """The settings of the backend server."""
        return self._settings

    @property
    def client(self) -> engine_client.EngineClient:
        """The client, for orders."""
        return self._client

    @property
    def watch(self) -> engine_watch.EngineWatch:
        """What is known of the engine."""
        return self._watch

    @property
    def slots(self) -> int:
        """How many sequences fit at once."""
        status = self._watch.status
        if status is None:
            return 0
        return min(self._settings.max_sequences, status.max_sequences)

    @property
    def slots_free(self) -> int:
        """How many more sequences fit now."""
        if self._withheld or not self._watch.is_usable:
            return 0
        used = len(self._sequences) + len(self._cancellations)
        return max(self.slots - used, 0)

    @property
    def in_flight(self) -> int:
        """Sequences that are not finished."""
        return len(self._sequences)

    @property
    def queued_tokens(self) -> int:
        """Positions that wait for a batch."""
        return sum(sequence.pending for sequence in self._ready.values())

    @property
    def report(self) -> messages.BackendReport:
        """The load at this moment."""
        status = self._watch.status
        common = {
            "backend": self._settings.name,
            "kind": self._settings.kind,
            "accelerator": self._settings.accelerator,
            "sequences": len(self._sequences),
            "queued_tokens": self.queued_tokens,
            "slots_free": self.slots_free,
            "step_ms": round(self._times.step_ms, 3),
            "token_ms": round(self._times.token_ms, 5),
            "sequence_ms": round(self._times.sequence_ms, 4),
            "healthy": self._watch.is_usable and not self._withheld,
        }
        if status is None:
            return messages.BackendReport(**common)
        common["accelerator"] = self._settings.accelerator or status.accelerator
        return messages.BackendReport(
            model=status.model,
            version=status.version,
            first_layer=status.first_layer,
            last_layer=status.last_layer,
            **common,
        )

    def withhold(self, reason: str) -> None:
        """Refuses new sequences, as before a load; an empty reason ends it.

        Args:
            reason: Why, in one clause.
        """
        self._withheld = reason
        self._observers.listener.changed()

    def start(self) -> None:
        """Begins to look at the engine and to run batches."""
        for body in (
            functools.partial(self._watch.run, on_recovered=self._clean_up),
            self._batch_loop,
            self._cancellations.run,
            self._clean_up_loop,
        ):
            self._greenlets.spawn(
                supervision.keep_running, body, journal=self._observers.journal
            )

    def stop(self) -> None:
        """Ends the greenlets and closes connections."""
        self._greenlets.kill()
        self._client.close()
        self._watch.close()

    def _clean_up_loop(self) -> None:
        # A batch given up on may still create sequences when a frozen engine
        # goes on, after they were cancelled.
        while True:
            gevent.sleep(_CLEAN_UP_INTERVAL_S)
            if self._watch.is_healthy:
                self._clean_up()

    def _clean_up(self) -> None:
        """Cancels what the engine holds for nobody, as after a restart."""
        held = self._client.held()
        if isinstance(held, result.Failure):
            return
        own = {sequence.engine_id for sequence in self._sequences.values()}
        orphans = [name for name in held.unwrap() if name not in own]
        for name in orphans:
            self._cancellations.add(name)
        if orphans:
            self._observers.journal.record(
                "engine_cleaned",
                reason="the engine held sequences of nobody",
                backend=self._settings.name,
                count=len(orphans),
            )

    def admit(
        self, admit: messages.Admit
    ) -> result.Result[sequence_lib.Sequence, errors.Error]:
        """Reserves a slot.

        Args:
            admit: What the entry asks for.

        Returns:
            The sequence, or why it was refused; then nothing ran.
        """
        refusal = self._check(admit)
        if refusal is not None:
            return refusal
        sequence = sequence_lib.Sequence(
            admit, buffer_values=self._settings.buffer_values
        )
        self._sequences[sequence.engine_id] = sequence
        self._admitted_at[sequence.engine_id] = time.monotonic()
        return result.Success(sequence)

    def _check(
        self, admit: messages.Admit
    ) -> result.Failure[errors.Error] | None:
        if not self._watch.is_usable:
            return backend.refuse(
                errors.ErrorKind.ENGINE_REFUSED,
                f"{self._settings.name} is not usable: {self._watch.reason}",
                retry_after_s=_RETRY_AFTER_UNHEALTHY_S,
            )
        if self._withheld:
            return backend.refuse(
                errors.ErrorKind.ENGINE_REFUSED,
                f"{self._settings.name}: {self._withheld}",
                retry_after_s=_RETRY_AFTER_UNHEALTHY_S,
            )
        status = self._watch.status
        held = (status.model, status.first_layer, status.last_layer)
        asked = (admit.model, admit.first_layer, admit.last_layer)
        if held != asked:
            return backend.refuse(
                errors.ErrorKind.ENGINE_REFUSED,
                f"{self._settings.name} holds {held}, not {asked}",
            )
        if not self.slots_free:
            return backend.refuse(
                errors.ErrorKind.NO_CAPACITY,
                f"{self._settings.name} has no free slot",
                retry_after_s=self._retry_after_s(),
            )
        return None

    def _retry_after_s(self) -> float:
        each_s = self._residence_s / max(self.slots, 1)
        return max(each_s, _MIN_RETRY_AFTER_S)

    def offer(
        self, sequence: sequence_lib.Sequence, step: messages.Step
    ) -> result.Result[sequence_lib.Offer, errors.Error]:
        """Queues a step of an admitted sequence; see `Sequence.offer`."""
        offer = sequence.offer(step)
        if sequence.pending and sequence.engine_id in self._sequences:
            self._ready[sequence.engine_id] = sequence
            self._wakeup.set()
        return offer

    def release(self, sequence: sequence_lib.Sequence) -> None:
        """Ends a sequence; what is at the engine ends with its batch."""
        sequence.release()
        name = sequence.engine_id
        if self._sequences.pop(name, None) is None:
            return
        self._ready.pop(name, None)
        stayed_s = time.monotonic() - self._admitted_at.pop(name)
        self._residence_s += _RESIDENCE_SMOOTHING * (
            stayed_s - self._residence_s
        )
        if sequence.is_at_engine:
            return
        if sequence.has_begun:
            self._cancellations.add(name)
        else:
            self._slot_freed()

    def _slot_freed(self) -> None:
        # Only the first free slot is news; the others show in time.
        if self.slots_free == 1:
            self._observers.listener.changed()

    def _batch_loop(self) -> None:
        while True:
            self._wakeup.wait()
            batch = self._form_batch()
            if not batch.entries:
                self._wakeup.clear()
                continue
            try:
                self._run_batch(batch)
            except Exception as error:
                # A fault here must not stop the batches of other sequences.
                _LOG.exception("batch failed")
                self._batch_failed(batch, batch_lib.failure(repr(error)))

    def _form_batch(self) -> batch_lib.Batch:
        settings = self._settings
        budget = settings.prefill_tokens
        if any(sequence.pending == 1 for sequence in self._ready.values()):
            budget = self._times.prefill_budget(
                stretch=settings.prefill_stretch, most=settings.prefill_tokens
            )
        batch = batch_lib.form(self._ready.values(), prefill_budget=budget)
        for entry in batch.entries:
            if not entry.sequence.pending:
                self._ready.pop(entry.sequence.engine_id, None)
        return batch

    def _run_batch(self, batch: batch_lib.Batch) -> None:
        started = time.monotonic()
        limit_s = self._times.time_limit_s(
            prefill_tokens=batch.prefill_tokens,
            most_s=self._settings.timeout_s,
        )
        items = [entry.as_item() for entry in batch.entries]
        answer = self._client.steps(items, limit_s=limit_s)
        duration_s = time.monotonic() - started
        failed = isinstance(answer, result.Failure)
        if not failed or duration_s >= limit_s:
            # A batch out of time counts, too, or the limit could never rise
            # with an engine that has become slow.
            self._times.record(
                duration_ms=duration_s * _MS_PER_S,
                sequences=len(batch.entries),
                prefill_tokens=batch.prefill_tokens,
            )
        if failed:
            self._batch_failed(batch, answer.failure())
            return
        self._count(batch, duration_s)
        self._deliver(batch, answer.unwrap())

    def _count(self, batch: batch_lib.Batch, duration_s: float) -> None:
        name = self._settings.name
        positions = sum(len(entry.work.inputs) for entry in batch.entries)
        self._observers.batch_latency.record(duration_s)
        self._observers.positions.labels(name).inc(positions)
        self._observers.batches.labels(name, "ran").inc()

    def _deliver(
        self, batch: batch_lib.Batch, answer: engine_client.BatchResult
    ) -> None:
        outputs = []
        for entry, item in zip(batch.entries, answer.results, strict=True):
            sequence = entry.sequence
            problem = entry.problem(item)
            if problem is not None:
                self._sequence_failed(sequence, problem)
                self._clean_up_if_full(item)
                continue
            outputs.append((sequence, sequence.complete(item.outputs)))
            if sequence.is_released:
                self._cancellations.add(sequence.engine_id)
        self._observers.listener.ran(outputs)

    def _clean_up_if_full(self, item: engine_client.StepResult) -> None:
        # The slots are counted here, so the engine holds strangers.
        if item.error == _FULL:
            self._greenlets.spawn(self._clean_up)

    def _batch_failed(
        self, batch: batch_lib.Batch, error: errors.Error
    ) -> None:
        self._observers.batches.labels(self._settings.name, "failed").inc()
        self._watch.suspect(error.message)
        for entry in batch.entries:
            self._sequence_failed(entry.sequence, error)

    def _sequence_failed(
        self, sequence: sequence_lib.Sequence, error: errors.Error
    ) -> None:
        was_released = sequence.is_released
        sequence.abandon()
        if was_released:
            self._cancellations.add(sequence.engine_id)
            return
        self._observers.listener.failed(sequence, error)

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON values."""
        return {
            "settings": self._settings.name,
            "engine": repr(self._watch),
            "slots": self.slots,
            "slots_free": self.slots_free,
            "cancelling": len(self._cancellations),
            "queued_tokens": self.queued_tokens,
            "times": repr(self._times),
            "residence_s": round(self._residence_s, 3),
            "sequences": [repr(s) for s in self._sequences.values()],
        }
