import base64
import json
import struct

from gevent import pywsgi
import pytest

from dotterelgrade_platform import store
from dotterelgrade_routing import platform_port


class StoreStub:
    """Answers calls from a table of status and body by path."""

    def __init__(self):
        self.answers = {}
        self.calls = []

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        self.calls.append((path, environ["QUERY_STRING"], body))
        answers = self.answers[path]
        status, answer = answers.pop(0) if len(answers) > 1 else answers[0]
        start_response(f"{status} X", [("Content-Length", str(len(answer)))])
        return [answer]


@pytest.fixture
def stub():
    return StoreStub()


@pytest.fixture
def client(stub):
    server = pywsgi.WSGIServer(("127.0.0.1", 0), stub, log=None)
    server.start()
    yield store.StoreClient(f"127.0.0.1:{server.server_port}")
    server.stop(timeout=0)


def _item(key, value, offset):
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "offset": offset,
    }


def _page(items, *, end, more=False):
    value = {"items": items, "has_more": more, "end": end}
    return json.dumps(value).encode()


def _read(end, first, *records):
    body = struct.pack(">QQ", end, first)
    for key, value in records:
        content = bytes([len(key)]) + key + value
        body += struct.pack(">I", len(content)) + content
    return body


def test_newest_follows_the_pages(stub, client):
    stub.answers["/log-newest"] = [
        (200, _page([_item("a", b"1", 4)], end=9, more=True)),
        (200, _page([_item("b", b"2", 8)], end=11)),
    ]
    page = store.KeyedFeed(client, topic="keyed.x").newest()
    assert [(r.key, r.value) for r in page.records] == [
        ("a", b"1"),
        ("b", b"2"),
    ]
    assert page.end == 9
    assert "after=a" in stub.calls[1][1]


def test_a_topic_that_does_not_exist_yet_is_empty(stub, client):
    stub.answers["/log-newest"] = [(404, b"")]
    page = store.KeyedFeed(client, topic="keyed.x").newest()
    assert page == platform_port.Page(records=(), end=0)


def test_records_have_their_offsets(stub, client):
    stub.answers["/log-read"] = [(200, _read(7, 0, (b"a", b"1"), (b"b", b"")))]
    page = store.KeyedFeed(client, topic="t").read(start=5, wait_s=0.1)
    assert [(r.key, r.value, r.offset) for r in page.records] == [
        ("a", b"1", 5),
        ("b", b"", 6),
    ]
    assert page.end == 7
    assert "from=5" in stub.calls[0][1]
    assert "wait_ms=100" in stub.calls[0][1]


def test_a_read_without_news_stays_where_it_is(stub, client):
    stub.answers["/log-read"] = [(200, _read(5, 0))]
    page = store.KeyedFeed(client, topic="t").read(start=5, wait_s=0.1)
    assert page == platform_port.Page(records=(), end=5)


def test_deleted_records_are_said_to_be_expired(stub, client):
    stub.answers["/log-read"] = [(410, b'{"first": 9}')]
    with pytest.raises(platform_port.RecordsExpiredError):
        store.KeyedFeed(client, topic="t").read(start=5, wait_s=0.1)


@pytest.mark.parametrize("status", [429, 500, 503])
def test_other_answers_are_errors(stub, client, status):
    stub.answers["/log-read"] = [(status, b"")]
    stub.answers["/log-newest"] = [(status, b"")]
    feed = store.KeyedFeed(client, topic="t")
    with pytest.raises(platform_port.StoreError):
        feed.read(start=5, wait_s=0.1)
    with pytest.raises(platform_port.StoreError):
        feed.newest()


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"items": 4}'])
def test_malformed_answers_are_errors(stub, client, body):
    stub.answers["/log-newest"] = [(200, body)]
    with pytest.raises(platform_port.StoreError):
        store.KeyedFeed(client, topic="t").newest()


def test_an_unreachable_store_is_an_error():
    feed = store.KeyedFeed(store.StoreClient("127.0.0.1:1"), topic="t")
    with pytest.raises(platform_port.StoreError):
        feed.newest()


@pytest.mark.parametrize(
    ("parts", "elected"),
    [([["plan", 0, 0], ["plan", 1, 0]], True), ([["plan", 3, 0]], False)],
)
def test_the_first_partition_elects(stub, client, parts, elected):
    answer = json.dumps({"generation": 3, "ttl_ms": 2000, "parts": parts})
    stub.answers["/log-join"] = [(200, answer.encode())]
    election = store.PartitionElection(
        client, group="g", topic="plan", lease_s=2.0
    )
    assert election.join("me") == elected
    election.join("me")
    assert json.loads(stub.calls[0][2])["generation"] == 0
    assert json.loads(stub.calls[1][2])["generation"] == 3


def test_the_elected_member_is_found(stub, client):
    rows = [["plan", 1, "other", 0], ["plan", 0, "leader", 0]]
    answer = json.dumps({"generation": 3, "parts": rows}).encode()
    stub.answers["/log-owners"] = [(200, answer)]
    election = store.PartitionElection(
        client, group="g", topic="plan", lease_s=2.0
    )
    assert election.elected() == "leader"
