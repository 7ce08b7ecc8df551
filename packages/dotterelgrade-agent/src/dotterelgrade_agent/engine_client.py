"""HTTP client of one model engine; every answer is checked."""

import dataclasses
from typing import Any, TypeVar
import urllib.parse

import gevent
import geventhttpclient
import msgspec
from returns import result

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade_agent import agent_settings

_T = TypeVar("_T")

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_POOL_SIZE = 4
_FAILURES = (OSError, ValueError, geventhttpclient.response.HTTPParseError)


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says about itself; `running` and `waiting` lag.

    Attributes:
        engine: Name of the engine.
        accelerator: Accelerator kind.
        model: Model whose layers it holds; empty when it holds none.
        version: Version of the model.
        first_layer: First layer held.
        last_layer: Last layer held, inclusive.
        running: Sequences that run.
        waiting: Sequences that wait.
        max_sequences: The most sequences it holds.
        cached_prefixes: Digests of prompt prefixes in its cache.
        fence: Highest fencing number it has seen.
        checks_fence: Whether it refuses lower fencing numbers.
        vocabulary: Number of tokens of the model.
        loading: Whether a load goes on.
    """

    engine: str
    accelerator: str
    model: str
    version: str
    first_layer: bounded.Layer
    last_layer: bounded.LastLayer
    running: bounded.Count
    waiting: bounded.Count
    max_sequences: bounded.Count
    cached_prefixes: tuple[bounded.Int64, ...] = ()
    fence: bounded.Count = 0
    checks_fence: bool = False
    vocabulary: bounded.Count = 0
    loading: bool = False

    def holds(
        self, *, model: str, version: str, first_layer: int, last_layer: int
    ) -> bool:
        """Whether exactly this range is held; an empty version is any."""
        held = (self.model, self.first_layer, self.last_layer)
        return held == (model, first_layer, last_layer) and (
            version in ("", self.version)
        )


class StepResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one item of a batch led to.

    Attributes:
        sequence: Identifier of the sequence.
        position: Position of the first input.
        outputs: One value per input, or the one sampled token.
        error: Why nothing of the item ran, or None.
    """

    sequence: str
    position: bounded.Count
    outputs: tuple[bounded.Int64, ...]
    error: str | None = None


class BatchResult(msgspec.Struct, frozen=True, kw_only=True):
    """What a batch led to, in its order.

    Attributes:
        results: One result per item.
        step_ms: How long the engine says that the batch took, ms.
    """

    results: tuple[StepResult, ...]
    step_ms: bounded.DurationMs


class _Held(msgspec.Struct, frozen=True, kw_only=True):
    sequences: tuple[str, ...]


class _Fence(msgspec.Struct, frozen=True, kw_only=True):
    fence: bounded.Count


_fence_decoder = msgspec.json.Decoder(_Fence)


class BatchItem(msgspec.Struct, frozen=True, kw_only=True):
    """One sequence's part of a batch."""

    sequence: str
    position: int
    inputs: tuple[int, ...]
    priority: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """An order to load, unload or change role.

    Attributes:
        order: "load", "unload" or "role".
        model: Name of the model.
        version: Version of the model.
        first_layer: First layer.
        last_layer: Last layer, inclusive.
        fence: Fencing number; an engine may refuse a lower one than it saw.
    """

    order: str
    model: str
    version: str
    first_layer: int
    last_layer: int
    fence: int


class EngineClient:
    """Talks HTTP and JSON to an engine."""

    def __init__(self, settings: agent_settings.BackendSettings) -> None:
        """Initializes the client.

        Args:
            settings: The backend server.
        """
        self._settings = settings
        self._prefix = urllib.parse.urlsplit(settings.url).path.rstrip("/")
        self._http = self._make_http()

    def __repr__(self) -> str:
        """Shows the engine's address."""
        return f"<EngineClient {self._settings.url}>"

    def _make_http(self) -> geventhttpclient.HTTPClient:
        return geventhttpclient.HTTPClient.from_url(
            self._settings.url,
            concurrency=_POOL_SIZE,
            connection_timeout=self._settings.timeout_s,
            network_timeout=self._settings.timeout_s,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._http.close()

    def status(self) -> result.Result[EngineStatus, errors.Error]:
        """Returns the engine's status, or ENGINE_FAILED."""
        return self._ask("GET", "/status", None, EngineStatus)

    def steps(
        self, batch: list[BatchItem], *, limit_s: float
    ) -> result.Result[BatchResult, errors.Error]:
        """Runs one batch.

        Args:
            batch: At most one item per sequence.
            limit_s: Time limit, s.

        Returns:
            One result per item in the same order, or ENGINE_FAILED, in which
            case any item may have run.
        """
        answer = None
        with gevent.Timeout(limit_s, False):
            answer = self._ask("POST", "/steps", {"batch": batch}, BatchResult)
        if answer is None:
            # The abandoned exchange still owns its connection in the pool.
            self._http.close()
            self._http = self._make_http()
            return _failed(f"no answer to a batch within {limit_s:.1f} s")
        return answer.bind(lambda value: _match(batch, value))

    def held(self) -> result.Result[tuple[str, ...], errors.Error]:
        """Returns the identifiers of the sequences that the engine holds."""
        answer = self._ask("GET", "/sequences", None, _Held)
        return answer.map(lambda value: value.sequences)

    def cancel(self, sequence: str) -> result.Result[Any, errors.Error]:
        """Ends a sequence; unknown ones are no error."""
        name = urllib.parse.quote(sequence, safe="")
        return self._ask("DELETE", f"/sequences/{name}", None, dict)

    def order(self, order: Order) -> result.Result[Any, errors.Error]:
        """Gives an order.

        Returns:
            Success, ENGINE_REFUSED for a fencing number that is too low, or
            ENGINE_FAILED.
        """
        return self._ask("POST", "/orders", dataclasses.asdict(order), dict)

    def _ask(
        self, method: str, path: str, value: Any, expected: type[_T]
    ) -> result.Result[_T, errors.Error]:
        body = b"" if value is None else msgspec.json.encode(value)
        headers = {"Content-Type": "application/json"} if body else {}
        try:
            response = self._http.request(
                method, self._prefix + path, body=body, headers=headers
            )
            data = http_bodies.read(response)
        except _FAILURES as error:
            return _failed(f"{method} {path}: {error!r}")
        if response.status_code == _HTTP_CONFLICT:
            return _refused(data)
        if response.status_code != _HTTP_OK:
            return _failed(f"{method} {path} answered {response.status_code}")
        return _decode(data, expected)


def _decode(data: bytes, expected: type[_T]) -> result.Result[_T, errors.Error]:
    if expected is dict and not data:
        return result.Success({})
    return decoding.attempt(
        lambda encoded: msgspec.json.decode(encoded, type=expected),
        data,
        what="invalid answer",
        kind=errors.ErrorKind.ENGINE_FAILED,
    )


def _match(
    batch: list[BatchItem], answer: BatchResult
) -> result.Result[BatchResult, errors.Error]:
    asked = [(item.sequence, item.position) for item in batch]
    got = [(item.sequence, item.position) for item in answer.results]
    if asked != got:
        return _failed("the results are not those of the batch")
    return result.Success(answer)


def _failed(message: str) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.ENGINE_FAILED, message=message)
    )


def _refused(data: bytes) -> result.Failure[errors.Error]:
    seen = decoding.attempt(_fence_decoder.decode, data, what="refusal")
    message = seen.map(
        lambda wire: f"the engine has seen fencing number {wire.fence}"
    ).value_or("the engine refused the order")
    return result.Failure(
        errors.Error(kind=errors.ErrorKind.ENGINE_REFUSED, message=message)
    )
