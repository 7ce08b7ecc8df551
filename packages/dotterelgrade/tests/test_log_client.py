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


class _Canned:
    """Answers every request with the same bytes and hangs up."""

    def __init__(self):
        self.data = b""

    def __call__(self, sock, _):
        sock.recv(65_536)
        sock.sendall(self.data)
        sock.close()


@pytest.fixture(scope="module")
def canned():
    answer = _Canned()
    listener = server.StreamServer((_HOST, 18_101), answer)
    listener.start()
    yield answer
    listener.stop()


def _http(body, status="200 OK"):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_records_come_back_as_they_were_appended(service):
    log = log_client.LogClient(_settings(18_100))
    bodies = [b"", b"\x00\xff", b"x" * 100_000]
    offsets = [log.append("s", body).unwrap() for body in bodies]
    assert offsets == [1, 2, 3]
    page = log.read("s", start=2).unwrap()
    assert [record.body for record in page.records] == bodies[1:]
    assert (page.first_kept, page.end) == (1, 4)


def test_a_read_past_retention_tells_what_is_kept(service):
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


def test_nobody_listening_is_an_outage():
    log = log_client.LogClient(_settings(18_199))
    for answer in (log.append("s", b""), log.read("s", start=1)):
        assert answer.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE


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
    ],
    ids=range(14),
)
def test_a_broken_answer_is_an_outage(canned, data):
    canned.data = data
    log = log_client.LogClient(_settings(18_101))
    for answer in (log.append("s", b""), log.read("s", start=1)):
        assert answer.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(st.binary(max_size=200), st.booleans())
def test_any_bytes_are_answered(canned, data, framed):
    canned.data = _http(data) if framed else data
    log = log_client.LogClient(_settings(18_101))
    for answer in (log.append("s", b""), log.read("s", start=1)):
        if not pipeline.is_successful(answer):
            kind = answer.failure().kind
            assert kind is errors.ErrorKind.LOG_UNAVAILABLE
