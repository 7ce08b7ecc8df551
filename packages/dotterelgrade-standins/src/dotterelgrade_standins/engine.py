"""Stand-in for a model engine that holds a range of layers."""

import collections
import dataclasses
import time
from typing import Any

import gevent
from gevent import event
from gevent import lock

from dotterelgrade_standins import accelerators
from dotterelgrade_standins import layers
from dotterelgrade_standins import prefix_cache
from dotterelgrade_standins import run_record
from dotterelgrade_standins import sequence_store
from dotterelgrade_standins import web

serving = web.serving

_MAX_LOAD_SAMPLES = 2_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """What an engine is and holds at its start.

    Attributes:
        name: Name of the engine.
        accelerator: Accelerator kind.
        model: Model loaded at the start; empty for none.
        version: Version of the model.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
        models: Number of layers of each model that it can load.
        max_sequences: Sequences that fit; 0 for the accelerator's own number.
        checks_fence: Whether orders with an old fencing number are refused.
        vocabulary: Size of the vocabulary.
        time_scale: Factor on every duration of the accelerator.
        load_s: Time that a load takes, s.
        status_lag_s: Age of the load that `GET /status` reports, s.
        cached_prefixes: Blocks of prompt prefixes that the cache holds.
        event_lag_s: Age at which cache events show, s.
        event_gap: Every so many cache events one is lost; 0 for none.
    """

    name: str
    accelerator: str = "a100"
    model: str = ""
    version: str = "1"
    first_layer: int = 0
    last_layer: int = -1
    models: dict[str, int] = dataclasses.field(default_factory=dict)
    max_sequences: int = 0
    checks_fence: bool = True
    vocabulary: int = layers.VOCABULARY
    time_scale: float = 1.0
    load_s: float = 0.5
    status_lag_s: float = 0.2
    cached_prefixes: int = 256
    event_lag_s: float = 0.5
    event_gap: int = 7

    def __post_init__(self) -> None:
        """Checks what the types can't express."""
        if self.accelerator not in accelerators.ACCELERATORS:
            known = ", ".join(accelerators.ACCELERATORS)
            raise ValueError(f"accelerator: expected one of {known}")
        if self.model and self.model not in self.models:
            raise ValueError(f"models: the layers of {self.model} are missing")


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineFaults:
    """What the engine plays.

    Attributes:
        dead: Every call is dropped, and sequences are lost.
        paused: No batch goes on, and no call is answered.
        stalled: No batch goes on; other calls are answered.
        slow_factor: Factor on the duration of each batch.
        fail_steps: How many further batches fail without having run.
    """

    dead: bool = False
    paused: bool = False
    stalled: bool = False
    slow_factor: float = 1.0
    fail_steps: int = 0


class Engine(web.JsonApp):
    """Runs batches of steps, one at a time, with the speed of its accelerator.

    The protocol and the arithmetic are in docs/PROTOCOLS.md.
    """

    def __init__(
        self, settings: EngineSettings, *, faults: EngineFaults | None = None
    ) -> None:
        """Initializes an engine that holds the layers of its settings.

        Args:
            settings: What it is and holds.
            faults: What it plays from the beginning.
        """
        super().__init__()
        self._settings = settings
        self._faults = faults or EngineFaults()
        self._accelerator = accelerators.ACCELERATORS[settings.accelerator]
        self._held = sequence_store.Held(
            model=settings.model,
            version=settings.version if settings.model else "",
            first_layer=settings.first_layer,
            last_layer=settings.last_layer,
        )
        self._sequences = sequence_store.SequenceStore(
            capacity=self.max_sequences
        )
        self._prefixes = prefix_cache.PrefixCache(
            capacity=settings.cached_prefixes,
            event_lag_s=settings.event_lag_s,
            event_gap=settings.event_gap,
        )
        self._batch_lock = lock.BoundedSemaphore(1)
        self._resumed = event.Event()
        self._resumed.set()
        self._batches_resumed = event.Event()
        self._batches_resumed.set()
        self._loading_until = 0.0
        self._fence = 0
        self._role = ""
        self._waiting = 0
        self._busy_s = 0.0
        self._tokens_run = 0
        self._runs = run_record.RunRecord()
        self._loads: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)], maxlen=_MAX_LOAD_SAMPLES)
        )
        self._add_routes()
        self.set_faults(**dataclasses.asdict(self._faults))

    def __repr__(self) -> str:
        """Shows the layers held and the sequences."""
        held = self._held
        return (
            f"<Engine {self._settings.name} {held.model}"
            f"[{held.first_layer}-{held.last_layer}] "
            f"{len(self._sequences)} sequences>"
        )

    def _add_routes(self) -> None:
        self.route("GET", "/status", lambda _: self.status())
        self.route("POST", "/steps", self._handle_steps)
        self.route("POST", "/orders", self._handle_order)
        self.route("GET", "/sequences", lambda _: self._list_sequences())
        self.route("DELETE", "/sequences/([^/]+)", self._handle_cancel)
        self.route("GET", "/sequences/([^/]+)/kv", self._handle_export)
        self.route("PUT", "/sequences/([^/]+)/kv", self._handle_import)
        self.route("GET", "/events", self._handle_events)
        self.route("GET", "/runs", self._handle_runs)
        self.route("POST", "/faults", self._handle_faults)

    @property
    def settings(self) -> EngineSettings:
        """What it was at its start."""
        return self._settings

    @property
    def faults(self) -> EngineFaults:
        """What it plays now."""
        return self._faults

    @property
    def sequences(self) -> tuple[str, ...]:
        """Identifiers of the sequences held."""
        return self._sequences.names

    @property
    def tokens_run(self) -> int:
        """Inputs that ran through all held layers."""
        return self._tokens_run

    @property
    def runs(self) -> list[run_record.StepRun]:
        """The latest steps that ran, oldest first."""
        return self._runs.since(0)

    @property
    def busy_s(self) -> float:
        """Sum of the durations of the batches, s."""
        return self._busy_s

    @property
    def max_sequences(self) -> int:
        """Sequences that fit."""
        return self._settings.max_sequences or self._accelerator.max_sequences

    def set_faults(self, **changes: Any) -> None:
        """Changes fields of `EngineFaults`; the others stay."""
        self._faults = web.apply_changes(self._faults, changes)
        if self._faults.dead:
            self._sequences.clear()
            self._prefixes.clear()
        faults = self._faults
        _set_unless(self._resumed, faults.paused and not faults.dead)
        _set_unless(self._batches_resumed, faults.stalled and not faults.dead)

    def status(self) -> dict[str, Any]:
        """Returns the answer of `GET /status`, with a lagging load."""
        self._play()
        running, waiting = self._lagging_load()
        held = self._held
        return {
            "engine": self._settings.name,
            "accelerator": self._settings.accelerator,
            "model": held.model,
            "version": held.version,
            "first_layer": held.first_layer,
            "last_layer": held.last_layer,
            "running": running,
            "waiting": waiting,
            "max_sequences": self.max_sequences,
            "cached_prefixes": self._prefixes.digests(),
            "fence": self._fence,
            "checks_fence": self._settings.checks_fence,
            "vocabulary": self._settings.vocabulary,
            "loading": self._is_loading,
        }

    @property
    def _is_loading(self) -> bool:
        return time.monotonic() < self._loading_until

    def _play(self) -> None:
        self._resumed.wait()
        if self._faults.dead:
            raise web.DropConnectionError

    def _note_load(self) -> None:
        self._loads.append(
            (time.monotonic(), len(self._sequences), self._waiting)
        )

    def _lagging_load(self) -> tuple[int, int]:
        seen_at = time.monotonic() - self._settings.status_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= seen_at:
            self._loads.popleft()
        _, running, waiting = self._loads[0]
        return running, waiting

    def _handle_steps(self, call: web.Call) -> Any:
        batch = _checked_batch(call.json())
        self._waiting += len(batch)
        self._note_load()
        try:
            with self._batch_lock:
                return self._run_batch(batch)
        finally:
            self._waiting -= len(batch)
            self._note_load()

    def _run_batch(self, batch: list[dict[str, Any]]) -> Any:
        self._batches_resumed.wait()
        self._play()
        if self._faults.fail_steps > 0:
            left = self._faults.fail_steps - 1
            self._faults = dataclasses.replace(self._faults, fail_steps=left)
            raise web.HttpError(500, {"error": "batch failed, nothing ran"})
        started = time.monotonic()
        if not self._held.model or self._is_loading:
            raise web.HttpError(503, {"error": "no model is loaded"})
        sequences, prompt_tokens, results = 0, 0, []
        for item in batch:
            answer, uncached = self._run_item(item)
            results.append(answer)
            if answer["error"] is None:
                sequences += 1
                prompt_tokens += uncached
        step_ms = self._duration_ms(sequences, prompt_tokens)
        spent_s = time.monotonic() - started
        gevent.sleep(max(0.0, step_ms / 1000 - spent_s))
        self._batches_resumed.wait()
        self._play()
        self._busy_s += step_ms / 1000
        return {"results": results, "step_ms": step_ms}

    def _duration_ms(self, sequences: int, prompt_tokens: int) -> float:
        nominal_ms = self._accelerator.step_ms(
            layers=self._held.layers,
            sequences=sequences,
            prompt_tokens=prompt_tokens,
        )
        return nominal_ms * self._settings.time_scale * self._faults.slow_factor

    def _run_item(self, item: dict[str, Any]) -> tuple[dict[str, Any], int]:
        name, position = item["sequence"], item["position"]
        inputs = item["inputs"]
        answer = {"sequence": name, "position": position, "outputs": []}
        try:
            sequence = self._sequences.find(name, position, self._held)
        except sequence_store.StoreError as error:
            return {**answer, "error": str(error)}, 0
        cached = self._prefixes.use(inputs) if position == 0 else 0
        outputs = sequence.run(inputs)
        self._note_run(name, position, len(inputs))
        if self._is_last:
            outputs = [outputs[-1] % self._settings.vocabulary]
        uncached = max(0, len(inputs) - 1 - cached)
        return {**answer, "outputs": outputs, "error": None}, uncached

    def _note_run(self, name: str, position: int, count: int) -> None:
        self._tokens_run += count
        self._runs.note(
            sequence=name,
            position=position,
            count=count,
            first_layer=self._held.first_layer,
            last_layer=self._held.last_layer,
        )

    @property
    def _is_last(self) -> bool:
        held = self._held
        return held.last_layer == self._settings.models[held.model] - 1

    def _handle_runs(self, call: web.Call) -> Any:
        runs = self._runs.since(call.number("from", 0))
        return {
            "runs": [dataclasses.asdict(run) for run in runs],
            "next": self._runs.count,
        }

    def _list_sequences(self) -> Any:
        self._play()
        return {"sequences": list(self._sequences.names)}

    def _handle_cancel(self, call: web.Call) -> Any:
        self._play()
        self._sequences.cancel(call.groups[0])
        self._note_load()
        return {}

    def _handle_export(self, call: web.Call) -> bytes:
        self._play()
        try:
            return self._sequences.export(call.groups[0], self._held)
        except sequence_store.StoreError as error:
            raise web.HttpError(404, {"error": str(error)}) from error

    def _handle_import(self, call: web.Call) -> Any:
        self._play()
        try:
            self._sequences.restore(call.groups[0], call.body, self._held)
        except sequence_store.StoreError as error:
            raise web.HttpError(409, {"error": str(error)}) from error
        self._note_load()
        return {}

    def _handle_order(self, call: web.Call) -> Any:
        self._play()
        order = call.json()
        fence = order.get("fence", 0) if isinstance(order, dict) else None
        if not isinstance(fence, int):
            raise web.HttpError(400, {"error": "invalid order"})
        if self._settings.checks_fence and fence < self._fence:
            raise web.HttpError(409, {"fence": self._fence})
        self._fence = max(fence, self._fence)
        kind = order.get("order")
        if kind == "load":
            self._load(order)
        elif kind == "unload":
            self._hold(sequence_store.Held())
        elif kind == "role":
            self._role = str(order.get("role", ""))
        else:
            raise web.HttpError(400, {"error": f"unknown order: {kind!r}"})
        return {}

    def _load(self, order: dict[str, Any]) -> None:
        try:
            held = sequence_store.Held(
                model=str(order["model"]),
                version=str(order["version"]),
                first_layer=int(order["first_layer"]),
                last_layer=int(order["last_layer"]),
            )
            count = self._settings.models[held.model]
        except (KeyError, TypeError, ValueError) as error:
            raise web.HttpError(400, {"error": repr(error)}) from error
        if not 0 <= held.first_layer <= held.last_layer < count:
            raise web.HttpError(400, {"error": "no such layers"})
        self._hold(held)
        self._loading_until = time.monotonic() + self._settings.load_s

    def _hold(self, held: sequence_store.Held) -> None:
        self._sequences.clear()
        self._prefixes.clear()
        self._held = held
        self._note_load()

    def _handle_events(self, call: web.Call) -> Any:
        self._play()
        events = self._prefixes.events(call.number("from", 1))
        return {"events": [dataclasses.asdict(item) for item in events]}

    def _handle_faults(self, call: web.Call) -> Any:
        self.set_faults(**call.json())
        return dataclasses.asdict(self._faults)


def _set_unless(resumed: event.Event, held: bool) -> None:
    if held:
        resumed.clear()
    else:
        resumed.set()


def _checked_batch(value: Any) -> list[dict[str, Any]]:
    try:
        return [
            {
                "sequence": str(item["sequence"]),
                "position": int(item["position"]),
                "inputs": [int(entry) for entry in item["inputs"]] or [0],
            }
            for item in value["batch"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise web.HttpError(400, {"error": repr(error)}) from error
