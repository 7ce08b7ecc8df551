"""A caller of the system: model requests, whole and streamed, and deposits."""

from collections.abc import Iterator
import dataclasses
import http.client
import json
import time
from typing import Any

import geventhttpclient

_DATA = b"data: "
_DONE = b"[DONE]"
_HTTP_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a caller got for one call.

    Attributes:
        status: HTTP status; 0 when there was no whole answer.
        text: Generated text of a model request.
        body: Decoded JSON of a whole answer.
        is_complete: Whether the answer was presented as whole.
        kind: Kind of the error, or empty.
        run: What an error said about the call, or empty.
        request_id: Identifier of the request.
        retry_after_s: When an error told the caller to come back, s.
        first_token_s: From the intended start to the first token, s.
        arrivals_s: Monotonic time of each streamed token, s.
        total_s: From the intended start to the end, s.
        is_unsent: Whether no connection was made, so that nothing was sent.
    """

    status: int = 0
    text: str = ""
    body: Any = None
    is_complete: bool = False
    kind: str = ""
    run: str = ""
    request_id: str = ""
    retry_after_s: float | None = None
    first_token_s: float | None = None
    arrivals_s: tuple[float, ...] = ()
    total_s: float = 0.0
    is_unsent: bool = False

    @property
    def is_broken(self) -> bool:
        """Whether the call ended without a final answer."""
        return not self.is_complete and not self.kind

    @property
    def token_gaps_s(self) -> tuple[float, ...]:
        """Times between successive streamed tokens, s."""
        pairs = zip(self.arrivals_s, self.arrivals_s[1:], strict=False)
        return tuple(later - earlier for earlier, later in pairs)

    @property
    def tokens(self) -> int:
        """How many tokens were generated."""
        return len(self.text.split())


class _Stream:
    """Tokens of one streamed answer with the times of their arrival."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.arrivals_s: list[float] = []
        self.request_id = ""
        self.error: dict[str, Any] | None = None
        self.is_done = False

    def read(self, response: Any) -> None:
        for data in _events(response):
            if data == _DONE:
                self.is_done = True
                continue
            value = json.loads(data)
            if "error" in value:
                self.error = value["error"]
                continue
            self.request_id = value.get("id", self.request_id)
            self._take(value["choices"][0])

    def _take(self, choice: dict[str, Any]) -> None:
        text = choice.get("text") or choice.get("delta", {}).get("content")
        if text:
            self.texts.append(text)
            self.arrivals_s.append(time.monotonic())


def _events(response: Any) -> Iterator[bytes]:
    while True:
        line = response.readline(b"\n")
        if not line:
            return
        if line.startswith(_DATA):
            yield bytes(line[len(_DATA) :].strip())


class Caller:
    """Calls one entry with the key of one workspace."""

    def __init__(
        self,
        host: str,
        *,
        key: str,
        port: int = 8080,
        concurrency: int = 256,
        timeout_s: float = 60.0,
    ) -> None:
        """Initializes a caller without a connection.

        Args:
            host: IP number of the entry.
            key: Bearer key of the workspace.
            port: TCP port for callers.
            concurrency: The most calls at once.
            timeout_s: Longest silence of the entry, s.
        """
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }
        self._http = geventhttpclient.HTTPClient(
            host,
            port,
            concurrency=concurrency,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def close(self) -> None:
        """Closes every connection."""
        self._http.close()

    def complete(
        self,
        prompt: str,
        *,
        model: str,
        max_tokens: int,
        stream: bool = True,
        intended_s: float | None = None,
    ) -> Answer:
        """Sends a model request.

        Args:
            prompt: Text of the prompt.
            model: Name of the model.
            max_tokens: The most tokens to generate.
            stream: Whether tokens are streamed.
            intended_s: Monotonic time at which the call was due, s.

        Returns:
            What came back; never raises for what the entry does.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        started_s = time.monotonic() if intended_s is None else intended_s
        seen = _Stream()
        try:
            response = self._http.post(
                "/v1/chat/completions", json.dumps(body).encode(), self._headers
            )
            if response.status_code == _HTTP_OK and stream:
                seen.read(response)
                return _streamed(seen, started_s)
            data = response.read()
            return _whole(response.status_code, data, started_s)
        except (OSError, http.client.HTTPException, ValueError, KeyError) as e:
            return Answer(
                is_unsent=isinstance(e, ConnectionRefusedError),
                text="".join(seen.texts),
                arrivals_s=tuple(seen.arrivals_s),
                total_s=time.monotonic() - started_s,
            )

    def call_service(
        self, service: str, path: str, body: Any, *, key: str = ""
    ) -> Answer:
        """Calls a plain service.

        Args:
            service: Name of the service.
            path: Path below the service.
            body: JSON value to post.
            key: Idempotency key, or empty.

        Returns:
            What came back; never raises for what the entry does.
        """
        headers = {**self._headers, **({"Idempotency-Key": key} if key else {})}
        started_s = time.monotonic()
        try:
            response = self._http.post(
                f"/services/{service}/{path}",
                json.dumps(body).encode(),
                headers,
            )
            return _whole(response.status_code, response.read(), started_s)
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            return Answer(total_s=time.monotonic() - started_s)


def _streamed(seen: _Stream, started_s: float) -> Answer:
    first = seen.arrivals_s[0] - started_s if seen.arrivals_s else None
    error = seen.error or {}
    return Answer(
        status=_HTTP_OK,
        text="".join(seen.texts),
        is_complete=seen.is_done and seen.error is None,
        kind=error.get("kind", ""),
        run=error.get("run", ""),
        request_id=error.get("request_id", seen.request_id),
        first_token_s=first,
        arrivals_s=tuple(seen.arrivals_s),
        total_s=time.monotonic() - started_s,
    )


def _whole(status: int, data: bytes, started_s: float) -> Answer:
    total_s = time.monotonic() - started_s
    value = json.loads(bytes(data))
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        error = value["error"]
        return Answer(
            status=status,
            body=value,
            kind=error["kind"],
            run=error["run"],
            request_id=error["request_id"],
            retry_after_s=error["retry_after_s"],
            total_s=total_s,
        )
    text = ""
    if isinstance(value, dict) and "choices" in value:
        text = value["choices"][0]["message"]["content"]
    return Answer(
        status=status,
        text=text,
        body=value,
        is_complete=status == _HTTP_OK,
        first_token_s=total_s,
        total_s=total_s,
    )


def get_json(host: str, port: int, path: str, *, timeout_s: float = 5.0) -> Any:
    """Returns the JSON answer of a GET, or None when there is none."""
    return _call_json("GET", host, port, path, b"", timeout_s)


def post_json(
    host: str, port: int, path: str, value: Any, *, timeout_s: float = 5.0
) -> Any:
    """Returns the JSON answer of a POST, or None when there is none."""
    body = json.dumps(value).encode()
    return _call_json("POST", host, port, path, body, timeout_s)


def delete(host: str, port: int, path: str, *, timeout_s: float = 5.0) -> Any:
    """Returns the JSON answer of a DELETE, or None when there is none."""
    return _call_json("DELETE", host, port, path, b"", timeout_s)


def _call_json(
    method: str, host: str, port: int, path: str, body: bytes, timeout_s: float
) -> Any:
    client = geventhttpclient.HTTPClient(
        host, port, connection_timeout=timeout_s, network_timeout=timeout_s
    )
    try:
        response = client.request(method, path, body=body)
        return json.loads(bytes(response.read()) or b"null")
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        client.close()
