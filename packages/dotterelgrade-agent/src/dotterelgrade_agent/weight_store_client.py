"""Client of the platform's rate-limited weight store."""

import geventhttpclient
import geventhttpclient.response
import msgspec
from returns import result

from dotterelgrade import bounded
from dotterelgrade import decoding
from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import engine_client

_HTTP_OK = 200
_HTTP_TOO_MANY = 429
_MS_PER_S = 1000
_FAILURES = (OSError, ValueError, geventhttpclient.response.HTTPParseError)


class _Wait(msgspec.Struct, frozen=True, kw_only=True):
    wait_ms: bounded.DurationMs


class _Pause(msgspec.Struct, frozen=True, kw_only=True):
    retry_after_ms: bounded.DurationMs


_wait_decoder = msgspec.json.Decoder(_Wait)
_pause_decoder = msgspec.json.Decoder(_Pause)


class WeightStoreClient:
    """Asks when a load may begin."""

    def __init__(self, settings: settings_lib.PlatformSettings) -> None:
        """Initializes the client.

        Args:
            settings: Addresses of the platform's services.
        """
        self._url = settings.weights_url
        self._timeout_s = settings.timeout_s

    def reserve(
        self, order: engine_client.Order, *, host: str
    ) -> result.Result[float, errors.Error]:
        """Asks for a load.

        Args:
            order: What is to be loaded.
            host: IP number of the host that loads.

        Returns:
            The wait before the load may begin, s; NO_CAPACITY with the time
            to ask again; or PEER_UNREACHABLE.
        """
        if not self._url:
            return result.Success(0.0)
        body = {
            "model": order.model,
            "version": order.version,
            "first_layer": order.first_layer,
            "last_layer": order.last_layer,
            "host": host,
        }
        client = geventhttpclient.HTTPClient.from_url(
            self._url,
            connection_timeout=self._timeout_s,
            network_timeout=self._timeout_s,
        )
        try:
            response = client.post("/loads", body=msgspec.json.encode(body))
            data = http_bodies.read(response)
        except _FAILURES as error:
            return _failure(
                errors.ErrorKind.PEER_UNREACHABLE, f"weight store: {error!r}"
            )
        finally:
            client.close()
        return _to_wait(response.status_code, data)


def _to_wait(status: int, data: bytes) -> result.Result[float, errors.Error]:
    if status == _HTTP_OK:
        return _decode(_wait_decoder, data).map(
            lambda wire: wire.wait_ms / _MS_PER_S
        )
    if status == _HTTP_TOO_MANY:
        return _decode(_pause_decoder, data).bind(_used_up)
    return _failure(
        errors.ErrorKind.PEER_UNREACHABLE, f"weight store answered {status}"
    )


def _decode(
    decoder: msgspec.json.Decoder, data: bytes
) -> result.Result[msgspec.Struct, errors.Error]:
    return decoding.attempt(
        decoder.decode,
        data,
        what="weight store",
        kind=errors.ErrorKind.PEER_UNREACHABLE,
    )


def _used_up(wire: _Pause) -> result.Failure[errors.Error]:
    return result.Failure(
        errors.Error(
            kind=errors.ErrorKind.NO_CAPACITY,
            message="the weight store's rate is used up",
            retry_after_s=wire.retry_after_ms / _MS_PER_S,
        )
    )


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))
