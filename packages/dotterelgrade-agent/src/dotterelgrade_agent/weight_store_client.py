"""Client of the platform's rate-limited weight store."""

import json

import geventhttpclient
import geventhttpclient.response
from returns import result

from dotterelgrade import errors
from dotterelgrade import http_bodies
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import engine_client

_HTTP_OK = 200
_HTTP_TOO_MANY = 429
_MS_PER_S = 1000
_FAILURES = (
    OSError,
    ValueError,
    KeyError,
    TypeError,
    geventhttpclient.response.HTTPParseError,
)


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
            response = client.post("/loads", body=json.dumps(body))
            value = json.loads(http_bodies.read(response))
            return _to_wait(response.status_code, value)
        except _FAILURES as error:
            return _failure(
                errors.ErrorKind.PEER_UNREACHABLE, f"weight store: {error!r}"
            )
        finally:
            client.close()


def _to_wait(
    status: int, value: dict[str, float]
) -> result.Result[float, errors.Error]:
    if status == _HTTP_OK:
        return result.Success(float(value["wait_ms"]) / _MS_PER_S)
    if status == _HTTP_TOO_MANY:
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.NO_CAPACITY,
                message="the weight store's rate is used up",
                retry_after_s=float(value["retry_after_ms"]) / _MS_PER_S,
            )
        )
    return _failure(
        errors.ErrorKind.PEER_UNREACHABLE, f"weight store answered {status}"
    )


def _failure(
    kind: errors.ErrorKind, message: str
) -> result.Failure[errors.Error]:
    return result.Failure(errors.Error(kind=kind, message=message))
