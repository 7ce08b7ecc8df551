"""Serves the requests that arrive on callers' connections."""

import contextlib
import dataclasses
import http
import logging
import math
import time

from gevent import socket

from dotterelgrade import errors
from dotterelgrade import http_message
from dotterelgrade import work_share
from dotterelgrade_front import call as call_lib
from dotterelgrade_front import client_connection
from dotterelgrade_front import client_notices
from dotterelgrade_front import connection_guard
from dotterelgrade_front import front_state
from dotterelgrade_front import model_stream
from dotterelgrade_front import plain_call
from dotterelgrade_front import refusal_times
from dotterelgrade_front import request_parser
from dotterelgrade_front import request_quarantine
from dotterelgrade_front import responses
from dotterelgrade_front import stall_detector
from dotterelgrade_routing import configuration
from dotterelgrade_routing import request_metadata
from dotterelgrade_routing import return_forecast
from dotterelgrade_routing import service_choice

_LOG = logging.getLogger(__name__)

_STATUS_KINDS = {
    http.HTTPStatus.REQUEST_TIMEOUT: errors.ErrorKind.REQUEST_TIMEOUT,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.ErrorKind.BODY_TOO_LARGE,
    http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE: (
        errors.ErrorKind.HEAD_TOO_LARGE
    ),
    http.HTTPStatus.SERVICE_UNAVAILABLE: errors.ErrorKind.NO_MEMORY,
}
# Other fronts take the request at once.
_OTHER_FRONT_RETRY_S = 0.05
_FAULT_MESSAGE = "the front failed; its log has the details"


class _RejectedError(Exception):
    """The front rejects the request without forwarding it.

    Attributes:
        error: The error for the caller, without a retry time.
        refused_for: What the retry time depends on, or None without one.
        usual_s: Retry time without an outage or mass refusals, s.
    """

    def __init__(
        self,
        error: errors.Error,
        *,
        refused_for: return_forecast.Reason | None = None,
        usual_s: float = return_forecast.DEFAULT_RETRY_AFTER_S,
    ) -> None:
        super().__init__(error.message)
        self.error = error
        self.refused_for = refused_for
        self.usual_s = usual_s


class RequestHandler:
    """Reads requests from connections and dispatches them to services."""

    def __init__(self, state: front_state.FrontState) -> None:
        """Initializes the handler.

        Args:
            state: Shared by the front's greenlets.
        """
        self._state = state
        self._plain = plain_call.PlainCalls(state)
        self._detector = stall_detector.StallDetector(state)
        self._connections: set[client_connection.ClientConnection] = set()
        self._tiny_chunks = work_share.WorkShare(
            state.settings.clients.tiny_chunk_share
        )
        self._notices = client_notices.ClientNotices(
            decisions=state.decisions, metrics=state.metrics
        )
        self._in_flight = 0

    def __repr__(self) -> str:
        """Shows the number of requests in flight."""
        return f"<RequestHandler {self._in_flight} requests>"

    @property
    def requests_in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    @property
    def connections(self) -> int:
        """Number of open connections from callers."""
        return len(self._connections)

    def close_idle(self, *, for_s: float = 0.0) -> None:
        """Closes idle connections.

        Args:
            for_s: Minimum idle time, s.
        """
        for client in list(self._connections):
            client.close_if_idle(for_s=for_s)

    def answer_unfinished(self) -> bool:
        """Answers the requests in flight that have no byte of a response.

        Returns:
            Whether there are any; their answers follow later.
        """
        unanswered = [c for c in self._connections if c.is_unanswered]
        for client in unanswered:
            client.interrupt()
        return bool(unanswered)

    def serve_connection(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> None:
        """Serves a connection until it closes.

        Args:
            sock: The connected socket.
            address: The caller's address.
        """
        try:
            with self._state.memory.open() as account:
                client = client_connection.ClientConnection(
                    sock,
                    limits=self._current_limits,
                    account=account,
                    bounds=self._state.settings.clients,
                    tiny_chunks=self._tiny_chunks,
                    notices=self._notices,
                    address=address[0],
                )
                if self._make_room(client, descriptor=sock.fileno()):
                    self._serve_requests(client)
        finally:
            sock.close()

    def _make_room(
        self, newcomer: client_connection.ClientConnection, *, descriptor: int
    ) -> bool:
        """Closes another connection if descriptors run out.

        Args:
            newcomer: The new connection.
            descriptor: Its descriptor. The lowest free one is taken, so that
                at least as many are open.

        Returns:
            Whether the new connection may stay.
        """
        settings = self._state.settings
        reserved = settings.clients.reserved_descriptors
        if descriptor < settings.most_connections - reserved:
            return True
        victim = connection_guard.choose(
            [c for c in self._connections if not c.is_shut_down],
            newcomer=newcomer.address,
            address_share=settings.clients.address_share,
        )
        reason = client_notices.Reason.EVICTED
        if victim is None:
            reason = client_notices.Reason.REFUSED
        limited = victim or newcomer
        self._notices.record(
            reason,
            address=limited.address,
            phase=limited.phase.name.lower(),
            connections=len(self._connections),
        )
        if victim is not None:
            victim.shut_down()
            return True
        self._refuse_connection(newcomer)
        return False

    def _refuse_connection(
        self, client: client_connection.ClientConnection
    ) -> None:
        """Answers that nothing of this connection has run."""
        error = errors.Error(
            kind=errors.ErrorKind.NO_MEMORY,
            message="too many connections",
            retry_after_s=return_forecast.DEFAULT_RETRY_AFTER_S,
        )
        with contextlib.suppress(client_connection.CallerDisconnectedError):
            responses.send_error(client, error, request_id="", close=True)

    def _serve_requests(
        self, client: client_connection.ClientConnection
    ) -> None:
        self._connections.add(client)
        self._state.metrics.set_connections(len(self._connections))
        try:
            while self._serve_next(client):
                pass
        except (
            client_connection.CallerDisconnectedError,
            client_connection.ResponseAbortedError,
        ):
            # `request_ended` tells the two apart.
            pass
        except Exception:
            _LOG.exception("connection failed")
            self._answer_connection_fault(client)
        finally:
            self._connections.discard(client)
            self._state.metrics.set_connections(len(self._connections))

    def _current_limits(self) -> configuration.ClientLimits:
        current = self._state.configuration
        return (
            configuration.ClientLimits() if current is None else current.limits
        )

    def _serve_next(self, client: client_connection.ClientConnection) -> bool:
        """Serves one request; returns whether the connection stays open."""
        try:
            request = client.read_request()
        except request_parser.BadRequestError as error:
            self._reject_malformed(client, error)
            client.end_responses()
            return False
        if request is None:
            return False
        close = self._state.leaving or not request.keep_alive
        self._in_flight += 1
        try:
            self._state.metrics.set_in_flight(self._in_flight)
            with client.mark_busy():
                served = self._serve_request(client, request, close=close)
        finally:
            self._in_flight -= 1
            self._state.metrics.set_in_flight(self._in_flight)
        # A response that began before the shutdown has no `Connection: close`.
        if served and not close and not self._state.leaving:
            return True
        client.end_responses()
        return False

    def _serve_request(
        self,
        client: client_connection.ClientConnection,
        request: http_message.Request,
        *,
        close: bool,
    ) -> bool:
        """Answers a request; returns whether no fault occurred."""
        received_at = time.monotonic()
        known = self._state.known_configuration
        version = known.version
        outcome = "internal"
        request_id = ""
        call = None
        try:
            facts = self._state.platform.headers.read_request(request.headers)
            request_id = facts.request_id
            call = self._admit_call(request, facts, received_at)
            if not self._state.may_begin(deadline=call.deadline):
                raise _rejected(
                    errors.ErrorKind.LEAVING,
                    "the front stops before the request's deadline",
                    refused_for=return_forecast.Reason.ELSEWHERE,
                    usual_s=_OTHER_FRONT_RETRY_S,
                )
            with self._state.quarantine.admitted(call):
                outcome = self._dispatch(client, call, close=close)
        except client_connection.CallerDisconnectedError:
            outcome = "caller_gone"
            raise
        except client_connection.ResponseAbortedError:
            outcome = "stream_broken"
            raise
        except client_connection.StoppedError:
            outcome = _send_interrupted(
                client,
                call,
                refusals=self._state.refusals,
                request_id=request_id,
            )
        except request_quarantine.QuarantinedError as refused:
            outcome = refused.error.kind.value
            error = refused.error
            # The quarantine states a time of its own.
            if error.retry_after_s is None:
                error = self._state.refusals.refuse(
                    error, request_id=request_id, call=call
                )
            responses.send_error(
                client, error, request_id=request_id, close=close
            )
        except _RejectedError as rejected:
            outcome = rejected.error.kind.value
            error = self._reject(
                request, facts, rejected, received_at=received_at, call=call
            )
            responses.send_error(
                client, error, request_id=request_id, close=close
            )
        except Exception:
            _LOG.exception("request failed", extra={"request_id": request_id})
            _answer_fault(
                client,
                call,
                refusals=self._state.refusals,
                request_id=request_id,
            )
            return False
        finally:
            seconds = time.monotonic() - received_at
            self._state.metrics.count_answer(outcome, seconds=seconds)
            self._state.decisions.record(
                "request_ended",
                reason=outcome,
                request_id=request_id,
                seconds=round(seconds, 3),
                path=request.path,
                response_bytes=client.response_bytes,
                kept=client.requests_read > 1,
                servers=0 if call is None else len(call.sent_to),
                leaving=self._state.leaving,
                version=version,
                version_at_end=known.version,
            )
        return True

    def _answer_connection_fault(
        self, client: client_connection.ClientConnection
    ) -> None:
        """Answers if the caller got nothing; what was done is not known."""
        if client.response_bytes:
            return
        error = errors.Error(
            kind=errors.ErrorKind.INTERNAL, message=_FAULT_MESSAGE
        )
        with contextlib.suppress(client_connection.CallerDisconnectedError):
            responses.send_error(client, error, request_id="", close=True)

    def _reject(
        self,
        request: http_message.Request,
        facts: request_metadata.RequestMetadata,
        rejected: _RejectedError,
        *,
        received_at: float,
        call: call_lib.Call | None,
    ) -> errors.Error:
        """Records a rejection; returns the error for the caller."""
        error, told = rejected.error, None
        if rejected.refused_for is not None:
            left_s = math.inf
            if facts.caller_timeout_s is not None:
                elapsed_s = time.monotonic() - received_at
                left_s = facts.caller_timeout_s - elapsed_s
            told = self._state.refusals.after(
                rejected.refused_for,
                call=call,
                usual_s=rejected.usual_s,
                left_s=left_s,
            )
            error = told.applied(error)
        self._record_rejection(request, facts, error, told)
        return error

    def _record_rejection(
        self,
        request: http_message.Request,
        facts: request_metadata.RequestMetadata,
        error: errors.Error,
        told: refusal_times.ToldTime | None,
    ) -> None:
        """Records on what knowledge of the configuration a request fails."""
        known = self._state.known_configuration
        freshness = known.freshness
        age_s = freshness.age_s(now=time.monotonic())
        self._state.decisions.record(
            "request_rejected",
            reason=error.message,
            request_id=facts.request_id,
            kind=error.kind.value,
            host=request.host,
            path=request.path,
            version=known.version,
            end=freshness.end,
            era=freshness.era,
            age_s=None if age_s is None else round(age_s, 3),
            source=freshness.source.value,
            **({} if told is None else told.log_fields),
        )

    def _dispatch(
        self,
        client: client_connection.ClientConnection,
        call: call_lib.Call,
        *,
        close: bool,
    ) -> str:
        self._state.retry_budget_for(call.service.name).note_request()
        if call.service.engine is None:
            return self._plain.serve(client, call, close=close)
        return model_stream.ModelStream(
            self._state,
            client=client,
            call=call,
            detector=self._detector,
            close=close,
        ).serve()

    def _admit_call(
        self,
        request: http_message.Request,
        facts: request_metadata.RequestMetadata,
        received_at: float,
    ) -> call_lib.Call:
        """Resolves route, workspace and service of a request.

        Raises:
            _RejectedError: One of them is missing or not permitted.
        """
        current = self._state.configuration
        if current is None:
            raise _rejected(
                errors.ErrorKind.NOT_READY,
                "no configuration loaded yet",
                refused_for=return_forecast.Reason.NO_CONFIGURATION,
            )
        route = current.route_for(request.host, request.path)
        if route is None:
            raise self._absent(
                errors.ErrorKind.NOT_FOUND, "no route matches host and path"
            )
        workspace = self._workspace(current, route, facts)
        service = self._service(current, route)
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        rank = current.rank(service.name, route=route, workspace=workspace)
        if rank is not None and self._state.rank_admission.uses_ranks:
            priority = rank
        timeout_s = route.timeout_s
        if facts.caller_timeout_s is not None:
            timeout_s = min(timeout_s, facts.caller_timeout_s)
        return call_lib.Call(
            request=request,
            facts=facts,
            route=route,
            service=service,
            workspace="" if workspace is None else workspace.name,
            priority=priority,
            rank=rank,
            received_at=received_at,
            deadline=received_at + timeout_s,
        )

    def _workspace(
        self,
        current: configuration.Configuration,
        route: configuration.Route,
        facts: request_metadata.RequestMetadata,
    ) -> configuration.Workspace | None:
        workspace = current.workspace_for(facts.api_key)
        if workspace is None and current.workspaces and not route.public:
            raise self._absent(errors.ErrorKind.UNAUTHORIZED, "unknown API key")
        return workspace

    def _absent(self, kind: errors.ErrorKind, message: str) -> _RejectedError:
        """Returns the rejection of a request whose route or key is not known.

        It may have been added since the store was last heard; the caller can
        ask again, at another front or when this one has caught up.
        """
        freshness = self._state.known_configuration.freshness
        if freshness.proves_absence(now=time.monotonic()):
            return _rejected(kind, message)
        return _rejected(
            errors.ErrorKind.NOT_READY,
            f"{message}, but the configuration may be outdated",
            refused_for=return_forecast.Reason.NO_CONFIGURATION,
        )

    def _service(
        self, current: configuration.Configuration, route: configuration.Route
    ) -> configuration.Service:
        service = service_choice.draw_service(
            current, route, rng=self._state.rng
        )
        if service is None:
            raise _rejected(
                errors.ErrorKind.NO_CAPACITY,
                f"route {route.name!r} has no known service",
                refused_for=return_forecast.Reason.NO_CONFIGURATION,
            )
        return service

    def _reject_malformed(
        self,
        client: client_connection.ClientConnection,
        error: request_parser.BadRequestError,
    ) -> None:
        kind = _STATUS_KINDS.get(error.status, errors.ErrorKind.BAD_REQUEST)
        self._state.decisions.record("bytes_rejected", reason=str(error))
        answer = errors.Error(kind=kind, message=str(error))
        if kind is errors.ErrorKind.NO_MEMORY:
            answer = self._state.refusals.refuse(answer, request_id="")
        responses.send_error(client, answer, request_id="", close=True)


def _answer_fault(
    client: client_connection.ClientConnection,
    call: call_lib.Call | None,
    *,
    refusals: refusal_times.RefusalTimes,
    request_id: str,
) -> None:
    """Answers a request that an unexpected exception ended.

    After the first byte of a response only closing the connection keeps the
    caller from taking it for a complete one.
    """
    if client.response_bytes:
        return
    if call is None:
        error = call_lib.fault_before_sending(_FAULT_MESSAGE)
    else:
        error = call.fault(_FAULT_MESSAGE)
    if error.kind is errors.ErrorKind.INTERNAL_NOT_RUN:
        error = refusals.refuse(error, request_id=request_id, call=call)
    responses.send_error(client, error, request_id=request_id, close=True)


def _send_interrupted(
    client: client_connection.ClientConnection,
    call: call_lib.Call | None,
    *,
    refusals: refusal_times.RefusalTimes,
    request_id: str,
) -> str:
    """Answers a request that the end of the process cuts.

    Returns:
        The outcome, for metrics and logs.

    Raises:
        client_connection.ResponseAbortedError: A response has begun meanwhile.
    """
    if client.response_bytes:
        raise client_connection.ResponseAbortedError("process exits")
    error = errors.Error(
        kind=errors.ErrorKind.INTERRUPTED, message="the front stops"
    )
    if call is None or not call.sent_to:
        error = refusals.refuse(
            dataclasses.replace(error, kind=errors.ErrorKind.LEAVING),
            request_id=request_id,
            reason=return_forecast.Reason.ELSEWHERE,
            call=call,
        )
    responses.send_error(client, error, request_id=request_id, close=True)
    return error.kind.value


def _rejected(
    kind: errors.ErrorKind,
    message: str,
    *,
    refused_for: return_forecast.Reason | None = None,
    usual_s: float = return_forecast.DEFAULT_RETRY_AFTER_S,
) -> _RejectedError:
    return _RejectedError(
        errors.Error(kind=kind, message=message),
        refused_for=refused_for,
        usual_s=usual_s,
    )
