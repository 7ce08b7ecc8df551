"""The HTTP interface for callers, a WSGI application."""

from collections.abc import Iterable, Iterator
import contextlib
import hashlib
import itertools
import json
import logging
from typing import Any

from returns import result
import uuid6

from dotterelgrade import errors
from dotterelgrade import rules
from dotterelgrade_entry import http_answer
from dotterelgrade_entry import http_server
from dotterelgrade_entry import idempotency
from dotterelgrade_entry import model_requests
from dotterelgrade_entry import openai_shape
from dotterelgrade_entry import service_calls

_LOG = logging.getLogger(__name__)

_SERVICES = "/services/"
_BEARER = "bearer "
_MAX_KEY_BYTES = 4_096
_EVENT_STREAM = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


class HttpExchange:
    """One HTTP request and its answer."""

    def __init__(
        self,
        environ: dict[str, Any],
        start_response: http_answer.StartResponse,
    ) -> None:
        """Initializes the exchange with a new identifier.

        Args:
            environ: The WSGI environment.
            start_response: From the WSGI server.
        """
        self.environ = environ
        self.start_response = start_response
        self.request_id = str(uuid6.uuid7())

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def path(self) -> str:
        """Path without the query string."""
        return self.environ["PATH_INFO"]

    def respond(
        self, status: int, body: bytes, **options: Any
    ) -> Iterable[bytes]:
        """Writes a whole answer; see `http_answer.respond`."""
        return http_answer.respond(
            self.start_response,
            status,
            body,
            request_id=self.request_id,
            **options,
        )

    def respond_error(self, error: errors.Error) -> Iterable[bytes]:
        """Writes the answer that belongs to an error."""
        return http_answer.respond_error(
            self.start_response, error, request_id=self.request_id
        )


class HttpApi:
    """Routes callers' requests; every failure gets a final answer."""

    def __init__(
        self,
        models: model_requests.ModelRequests,
        calls: service_calls.ServiceCalls,
    ) -> None:
        """Initializes the application.

        Args:
            models: Serves model requests.
            calls: Sends service calls.
        """
        self._models = models
        self._calls = calls
        self._shapes = openai_shape.shapes()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_answer.StartResponse,
    ) -> Iterable[bytes]:
        """Answers one request."""
        exchange = HttpExchange(environ, start_response)
        try:
            return self._route(exchange)
        except errors.DotterelgradeError as error:
            self._models.note_refusal(exchange.request_id, error.error)
            return exchange.respond_error(error.error)
        except Exception:
            return exchange.respond_error(_fault_of(exchange))

    def _route(self, exchange: HttpExchange) -> Iterable[bytes]:
        if exchange.path in self._shapes:
            _expect_method(exchange, "POST")
            return self._complete(exchange)
        if exchange.path == "/v1/models":
            _expect_method(exchange, "GET")
            return self._list_models(exchange)
        if exchange.path.startswith(_SERVICES):
            return self._call_service(exchange)
        raise errors.new_exception(
            errors.ErrorKind.NOT_FOUND, f"no such path: {exchange.path}"
        )

    def _authenticate(self, exchange: HttpExchange) -> rules.WorkspaceRule:
        self._models.check_ready()
        header = exchange.environ.get("HTTP_AUTHORIZATION", "")
        key = header[len(_BEARER) :].strip()
        if not header.lower().startswith(_BEARER) or not key:
            raise errors.new_exception(
                errors.ErrorKind.UNAUTHORIZED, "expected a bearer key"
            )
        digest = hashlib.sha256(key[:_MAX_KEY_BYTES].encode("latin-1"))
        rule = self._models.contract.workspace_by_key(digest.hexdigest())
        if rule is None:
            raise errors.new_exception(
                errors.ErrorKind.UNAUTHORIZED, "the key is of no workspace"
            )
        return rule

    def _list_models(self, exchange: HttpExchange) -> Iterable[bytes]:
        self._authenticate(exchange)
        models = [
            {
                "id": model.name,
                "object": "model",
                "created": 0,
                "owned_by": "dotterelgrade",
            }
            for model in self._models.contract.models()
        ]
        body = json.dumps({"object": "list", "data": models}).encode()
        return exchange.respond(200, body)

    # Model requests.

    def _complete(self, exchange: HttpExchange) -> Iterable[bytes]:
        workspace = self._authenticate(exchange)
        body = http_answer.read_body(exchange.environ, self._models.settings)
        shape_class = self._shapes[exchange.path]
        call = shape_class.parse(body, self._models.settings)
        del body
        http_server.release_body(exchange.environ)
        shape = shape_class(call, request_id=exchange.request_id)
        answer = self._models.answer(
            call, workspace=workspace, request_id=exchange.request_id
        )
        if call.stream:
            return self._streamed(exchange, shape, answer)
        return self._whole(exchange, shape, answer)

    def _whole(
        self,
        exchange: HttpExchange,
        shape: openai_shape.Shape,
        answer: model_requests.Answer,
    ) -> Iterable[bytes]:
        with (
            contextlib.closing(answer),
            http_server.watching_caller(exchange.environ),
        ):
            text = "".join(
                token_text for batch in answer for token_text in batch
            )
            body = shape.whole(
                text,
                finish_reason=answer.finish_reason,
                usage=answer.usage,
            )
        answer.charge()
        return exchange.respond(200, body)

    def _streamed(
        self,
        exchange: HttpExchange,
        shape: openai_shape.Shape,
        answer: model_requests.Answer,
    ) -> Iterable[bytes]:
        # The first tokens come before the headers, so that an early failure
        # still gets its own status.
        batches = iter(answer)
        try:
            with http_server.watching_caller(exchange.environ):
                first = next(batches, ())
        except BaseException:
            answer.close()
            raise
        exchange.start_response(
            "200 OK",
            [*_EVENT_STREAM, ("X-Request-Id", exchange.request_id)],
        )
        return self._events(
            exchange, shape, answer, itertools.chain((first,), batches)
        )

    def _events(
        self,
        exchange: HttpExchange,
        shape: openai_shape.Shape,
        answer: model_requests.Answer,
        batches: Iterable[tuple[str, ...]],
    ) -> Iterator[bytes]:
        with contextlib.closing(answer):
            try:
                yield from self._token_events(exchange, shape, answer, batches)
            except errors.DotterelgradeError as error:
                yield self._last_event(exchange, error.error)
            except Exception:
                yield self._last_event(exchange, _fault_of(exchange))

    def _token_events(
        self,
        exchange: HttpExchange,
        shape: openai_shape.Shape,
        answer: model_requests.Answer,
        batches: Iterable[tuple[str, ...]],
    ) -> Iterator[bytes]:
        opening = shape.opening()
        try:
            with http_server.watching_caller(exchange.environ):
                for batch in batches:
                    events = b"".join(map(shape.event, batch))
                    yield opening + events
                    opening = b""
        finally:
            # A caller is charged for what was sent.
            answer.charge()
        yield shape.ending(
            finish_reason=answer.finish_reason, usage=answer.usage
        )

    def _last_event(self, exchange: HttpExchange, error: errors.Error) -> bytes:
        """Returns the event that ends a stream with an error."""
        self._models.note_refusal(exchange.request_id, error)
        http_server.close_after_answer(exchange.environ)
        body = error.as_body(request_id=exchange.request_id)
        return b"data: " + json.dumps(body).encode() + b"\n\n"

    # Service calls.

    def _call_service(self, exchange: HttpExchange) -> Iterable[bytes]:
        workspace = self._authenticate(exchange)
        order = self._to_order(exchange, workspace)
        with self._models.limits.holding(workspace):
            answer = self._calls.call(order)
        if isinstance(answer, result.Failure):
            raise errors.DotterelgradeError(answer.failure())
        reply = answer.unwrap()
        headers = http_answer.response_headers(reply.headers)
        if reply.repeated:
            headers.append(("Idempotent-Replayed", "true"))
        return exchange.respond(
            _checked_status(reply.status), reply.body, headers=headers
        )

    def _to_order(
        self, exchange: HttpExchange, workspace: rules.WorkspaceRule
    ) -> service_calls.CallOrder:
        name, _, rest = exchange.path.removeprefix(_SERVICES).partition("/")
        rule = self._models.contract.service(name)
        if rule is None:
            raise errors.new_exception(
                errors.ErrorKind.UNKNOWN_SERVICE, f"no service {name!r}"
            )
        query = exchange.environ.get("QUERY_STRING", "")
        return service_calls.CallOrder(
            request_id=exchange.request_id,
            workspace=workspace.name,
            rule=rule,
            method=exchange.method,
            path=f"/{rest}?{query}" if query else f"/{rest}",
            headers=http_answer.request_headers(exchange.environ),
            body=http_answer.read_body(exchange.environ, self._models.settings),
            key=self._checked_key(exchange),
        )

    def _checked_key(self, exchange: HttpExchange) -> str:
        text = exchange.environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if not text:
            return ""
        checked = idempotency.check_key(
            text, max_age_s=self._models.settings.key_max_age_s
        )
        if isinstance(checked, result.Failure):
            raise errors.DotterelgradeError(checked.failure())
        return checked.unwrap()


def _fault_of(exchange: HttpExchange) -> errors.Error:
    """Logs the current exception, and returns the error for the caller."""
    _LOG.exception("request failed", extra={"request_id": exchange.request_id})
    return errors.Error(
        kind=errors.ErrorKind.INTERNAL,
        message="the entry failed; the log has the details",
    )


def _expect_method(exchange: HttpExchange, method: str) -> None:
    if exchange.method != method:
        raise errors.new_exception(
            errors.ErrorKind.METHOD_NOT_ALLOWED,
            f"expected {method}, got {exchange.method}",
        )


def _checked_status(status: int) -> int:
    return status if 200 <= status <= 599 else 502
