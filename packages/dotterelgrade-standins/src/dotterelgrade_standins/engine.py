"""Stand-in for a model engine that holds a range of layers."""

import collections
import dataclasses
import json
import time
from typing import Any

import gevent
from gevent import event
from gevent import lock

from dotterelgrade_standins import accelerators
from dotterelgrade_standins import layers
from dotterelgrade_standins import prefix_cache
from dotterelgrade_standins import web

serving = web.serving

_MAX_LOAD_SAMPLES = 2_000
_MAX_RUNS = 50_000


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
        slow_factor: Factor on the duration of each batch.
        fail_steps: How many further batches fail without having run.
    """

    dead: bool = False
    paused: bool = False
    slow_factor: float = 1.0
    fail_steps: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class StepRun:
    """Inputs that ran through the held layers.

    Attributes:
        sequence: Identifier of the sequence.
        position: Position of the first input.
        count: Number of inputs.
        first_layer: First layer that ran.
        last_layer: Last layer that ran, inclusive.
        at_s: Monotonic time, s.
    """

    sequence: str
    position: int
    count: int
    first_layer: int
    last_layer: int
    at_s: float


class _Sequence:
    """The states of one sequence in the layers that the engine holds."""

    def __init__(self, first_layer: int, last_layer: int) -> None:
        self.layers = layers.LayerRange(first_layer, last_layer)
        self.next_position = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Held:
    """Which layers of which model the engine holds."""

    model: str = ""
    version: str = ""
    first_layer: int = 0
    last_layer: int = -1


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
        self._held = _Held(
            model=settings.model,
            version=settings.version if settings.model else "",
            first_layer=settings.first_layer,
            last_layer=settings.last_layer,
        )
        self._sequences: dict[str, _Sequence] = {}
        self._prefixes = prefix_cache.PrefixCache(
            capacity=settings.cached_prefixes,
            event_lag_s=settings.event_lag_s,
            event_gap=settings.event_gap,
        )
        self._batch_lock = lock.BoundedSemaphore(1)
        self._resumed = event.Event()
        self._resumed.set()
        self._loading_until = 0.0
        self._fence = 0
        self._role = ""
        self._waiting = 0
        self._busy_s = 0.0
        self._tokens_run = 0
        self._runs_noted = 0
        self._runs: collections.deque[StepRun] = collections.deque(
            maxlen=_MAX_RUNS
        )
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
        return tuple(self._sequences)

    @property
    def tokens_run(self) -> int:
        """Inputs that ran through all held layers."""
        return self._tokens_run

    @property
    def runs(self) -> list[StepRun]:
        """The latest steps that ran, oldest first."""
        return list(self._runs)

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
        if self._faults.paused and not self._faults.dead:
            self._resumed.clear()
        else:
            self._resumed.set()

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
        self._play()
        self._busy_s += step_ms / 1000
        return {"results": results, "step_ms": step_ms}

    def _duration_ms(self, sequences: int, prompt_tokens: int) -> float:
        held = self._held
        nominal_ms = self._accelerator.step_ms(
            layers=held.last_layer - held.first_layer + 1,
            sequences=sequences,
            prompt_tokens=prompt_tokens,
        )
        return nominal_ms * self._settings.time_scale * self._faults.slow_factor

    def _run_item(self, item: dict[str, Any]) -> tuple[dict[str, Any], int]:
        name, position = item["sequence"], item["position"]
        inputs = item["inputs"]
        sequence, error = self._find(name, position)
        answer = {
            "sequence": name,
            "position": position,
            "outputs": [],
            "error": error,
        }
        if sequence is None:
            return answer, 0
        cached = self._prefixes.use(inputs) if position == 0 else 0
        outputs = [
            sequence.layers.run(value, position + index)
            for index, value in enumerate(inputs)
        ]
        sequence.next_position += len(inputs)
        self._note_run(name, position, len(inputs))
        if self._is_last:
            outputs = [outputs[-1] % self._settings.vocabulary]
        answer["outputs"] = outputs
        return answer, max(0, len(inputs) - 1 - cached)

    def _note_run(self, name: str, position: int, count: int) -> None:
        self._tokens_run += count
        self._runs_noted += 1
        self._runs.append(
            StepRun(
                sequence=name,
                position=position,
                count=count,
                first_layer=self._held.first_layer,
                last_layer=self._held.last_layer,
                at_s=time.monotonic(),
            )
        )

    @property
    def _is_last(self) -> bool:
        held = self._held
        return held.last_layer == self._settings.models[held.model] - 1

    def _find(
        self, name: str, position: int
    ) -> tuple[_Sequence | None, str | None]:
        sequence = self._sequences.get(name)
        if sequence is None:
            if position != 0:
                return None, "unknown_sequence"
            if len(self._sequences) >= self.max_sequences:
                return None, "full"
            held = self._held
            sequence = _Sequence(held.first_layer, held.last_layer)
            self._sequences[name] = sequence
        if sequence.next_position != position:
            return None, "out_of_order"
        return sequence, None

    def _handle_runs(self, call: web.Call) -> Any:
        first_kept = self._runs_noted - len(self._runs)
        skip = max(0, call.number("from", 0) - first_kept)
        runs = list(self._runs)[skip:]
        return {
            "runs": [dataclasses.asdict(run) for run in runs],
            "next": self._runs_noted,
        }

    def _list_sequences(self) -> Any:
        self._play()
        return {"sequences": list(self._sequences)}

    def _handle_cancel(self, call: web.Call) -> Any:
        self._play()
        self._sequences.pop(call.groups[0], None)
        self._note_load()
        return {}

    def _handle_export(self, call: web.Call) -> bytes:
        self._play()
        sequence = self._sequences.get(call.groups[0])
        if sequence is None:
            raise web.HttpError(404, {"error": "unknown sequence"})
        exported = {
            **dataclasses.asdict(self._held),
            "next_position": sequence.next_position,
            "states": sequence.layers.states,
        }
        return json.dumps(exported).encode()

    def _handle_import(self, call: web.Call) -> Any:
        self._play()
        held = dataclasses.asdict(self._held)
        if len(self._sequences) >= self.max_sequences:
            raise web.HttpError(409, {"error": "full"})
        try:
            exported = json.loads(call.body)
            if {name: exported[name] for name in held} != held:
                raise web.HttpError(409, {"error": "other layers are held"})
            sequence = _Sequence(held["first_layer"], held["last_layer"])
            sequence.layers.restore(exported["states"])
            sequence.next_position = int(exported["next_position"])
        except (ValueError, KeyError, TypeError) as error:
            raise web.HttpError(400, {"error": repr(error)}) from error
        self._sequences[call.groups[0]] = sequence
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
            self._hold(_Held())
        elif kind == "role":
            self._role = str(order.get("role", ""))
        else:
            raise web.HttpError(400, {"error": f"unknown order: {kind!r}"})
        return {}

    def _load(self, order: dict[str, Any]) -> None:
        try:
            held = _Held(
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

    def _hold(self, held: _Held) -> None:
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
