import base64
import json

from gevent import server
import hypothesis
from hypothesis import strategies as st
import pytest
from returns import pipeline

from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import log_service
from dotterelgrade_standins import web

_HOST = "127.10.5.1"


def _settings(port, timeout_s=1.0):
    return settings_lib.PlatformSettings(
        log_url=f"http://{_HOST}:{port}",
        hosts_url=f"http://{_HOST}:{port}/hosts",
        timeout_s=timeout_s,
    )


@pytest.fixture
def service():
    service = log_service.LogService()
    with web.serving(service, host=_HOST, port=18_100):
        yield service


class _CannedServer:
    """Answers every request with the same bytes and closes the socket."""

    def __init__(self):
        self.data = b""

    def __call__(self, sock, _):
        sock.recv(65_536)
        sock.sendall(self.data)
        sock.close()


@pytest.fixture(scope="module")
def canned_server():
    log_result = _CannedServer()
    listener = server.StreamServer((_HOST, 18_101), log_result)
    listener.start()
    yield log_result
    listener.stop()


def _http(body, status="200 OK"):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_read_returns_records_as_appended(service):
    log = log_client.LogClient(_settings(18_100))
    bodies = [b"", b"\x00\xff", b"x" * 100_000]
    offsets = [log.append("s", body).unwrap() for body in bodies]
    assert offsets == [1, 2, 3]
    page = log.read("s", start=2).unwrap()
    assert [record.body for record in page.records] == bodies[1:]
    assert (page.first_kept, page.end) == (1, 4)


def test_read_of_expired_offset_reports_first_kept(service):
    log = log_client.LogClient(_settings(18_100))
    for body in (b"1", b"2", b"3"):
        log.append("s", body)
    service.set_faults(keep_records=1)
    failure = log.read("s", start=1).failure()
    assert isinstance(failure, log_client.ExpiredError)
    assert (failure.kind, failure.first_kept) == (
        errors.ErrorKind.RECORD_EXPIRED,
        3,
    )


def test_connection_refused_is_log_unavailable():
    log = log_client.LogClient(_settings(18_199))
    for log_result in (log.append("s", b""), log.read("s", start=1)):
        assert log_result.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE


def _page(**changes):
    record = {"offset": 1, "body": base64.b64encode(b"x").decode()}
    page = {"records": [record], "first_kept": 1, "end": 2, **changes}
    return json.dumps(page).encode()


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"not http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{",
        _http(b"{}", status="500 Oops"),
        _http(b""),
        _http(b"{"),
        _http(b"[]"),
        _http(b"\xff"),
        _http(b"[" * 100_000),
        _http(b"{}", status="410 Gone"),
        _http(b'{"offset": "x", "records": 1}'),
        _http(_page(records=[{"offset": 1}])),
        _http(_page(records=[{"offset": 1, "body": "%%%"}])),
        _http(_page(end=None)),
        _http(b'{"offset": 1e400, "records": [], "first_kept": 1e400}'),
        _http(b'{"offset": -1, "records": [], "first_kept": 1, "end": -1}'),
    ],
    ids=range(16),
)
def test_malformed_response_is_log_unavailable(canned_server, data):
    canned_server.data = data
    log = log_client.LogClient(_settings(18_101))
    for log_result in (log.append("s", b""), log.read("s", start=1)):
        assert log_result.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.binary(max_size=200), st.booleans())
def test_arbitrary_response_bytes_never_raise(canned_server, data, framed):
    canned_server.data = _http(data) if framed else data
    log = log_client.LogClient(_settings(18_101))
    for log_result in (log.append("s", b""), log.read("s", start=1)):
        if not pipeline.is_successful(log_result):
            kind = log_result.failure().kind
            assert kind is errors.ErrorKind.LOG_UNAVAILABLE
