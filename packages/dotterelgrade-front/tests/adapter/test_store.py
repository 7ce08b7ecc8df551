import base64
import json
import struct

from gevent import pywsgi
import pytest

from dotterelgrade_platform import store
from dotterelgrade_routing import platform_port


class StoreStub:
    """Answers calls with scripted responses, by path."""

    def __init__(self):
        self.answers = {}
        self.calls = []

    def __call__(self, environ, start_response):
        body = environ["wsgi.input"].read()
        path = environ["PATH_INFO"]
        self.calls.append((path, environ["QUERY_STRING"], body))
        answers = self.answers[path]
        status, answer, *era = (
            answers.pop(0) if len(answers) > 1 else answers[0]
        )
        headers = [("Content-Length", str(len(answer)))]
        headers += [("Store-Era", value) for value in era]
        start_response(f"{status} X", headers)
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


def _read_from_5(feed):
    return feed.read(start=5, wait_s=0.1, answer_timeout_s=1.0)


def test_newest_reads_all_pages(stub, client):
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
    page = store.KeyedFeed(client, topic="t").read(
        start=5, wait_s=0.1, answer_timeout_s=1.0
    )
    assert [(r.key, r.value, r.offset) for r in page.records] == [
        ("a", b"1", 5),
        ("b", b"", 6),
    ]
    assert page.end == 7
    assert "from=5" in stub.calls[0][1]
    assert "wait_ms=100" in stub.calls[0][1]


def test_a_read_without_new_records_keeps_the_offset(stub, client):
    stub.answers["/log-read"] = [(200, _read(5, 0))]
    page = store.KeyedFeed(client, topic="t").read(
        start=5, wait_s=0.1, answer_timeout_s=1.0
    )
    assert page == platform_port.Page(records=(), end=5)


def test_a_page_that_leaves_records_out_is_not_complete(stub, client):
    """The store limits the size of an answer; more versions are behind it."""
    feed = store.KeyedFeed(client, topic="t")
    stub.answers["/log-read"] = [(200, _read(9, 0, (b"k", b"v")))]
    assert not _read_from_5(feed).complete
    stub.answers["/log-read"] = [(200, _read(6, 0, (b"k", b"v")))]
    assert _read_from_5(feed).complete


def test_reading_deleted_records_raises_records_expired(stub, client):
    stub.answers["/log-read"] = [(410, b'{"first": 9}')]
    with pytest.raises(platform_port.RecordsExpiredError):
        store.KeyedFeed(client, topic="t").read(
            start=5, wait_s=0.1, answer_timeout_s=1.0
        )


@pytest.mark.parametrize("status", [429, 500, 503])
def test_unexpected_statuses_are_errors(stub, client, status):
    stub.answers["/log-read"] = [(status, b"")]
    stub.answers["/log-newest"] = [(status, b"")]
    feed = store.KeyedFeed(client, topic="t")
    with pytest.raises(platform_port.StoreError):
        _read_from_5(feed)
    with pytest.raises(platform_port.StoreError):
        feed.newest()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"items": 4}',
        b'{"items": [], "end": 1, "note": ' + b"[" * 100_000,
    ],
    ids=["empty", "cut", "list", "odd", "nested"],
)
def test_malformed_responses_are_errors(stub, client, body):
    stub.answers["/log-newest"] = [(200, body)]
    with pytest.raises(platform_port.StoreError):
        store.KeyedFeed(client, topic="t").newest()


@pytest.mark.parametrize(
    "body",
    [
        json.dumps({"items": [], "end": 2**70}).encode(),
        json.dumps({"items": [_item("a", b"x", -1)], "end": 1}).encode(),
        b'{"items": [{"key": "a", "offset": 0, "value": "?"}], "end": 1}',
    ],
    ids=["large end", "negative offset", "no base64"],
)
def test_a_page_with_odd_values_is_an_error(stub, client, body):
    stub.answers["/log-newest"] = [(200, body)]
    with pytest.raises(platform_port.StoreError):
        store.KeyedFeed(client, topic="t").newest()


def test_offsets_that_no_frame_can_carry_are_an_error(stub, client):
    """Offsets beyond 64 bits could not be relayed, and ended the planner."""
    stub.answers["/log-read"] = [(200, _read(2**64 - 1, 2**64 - 1))]
    with pytest.raises(platform_port.StoreError):
        _read_from_5(store.KeyedFeed(client, topic="t"))


def test_a_record_shorter_than_its_key_names_no_entry():
    """Its beginning was taken for the key of an entry to remove."""
    body = struct.pack(">I", 4) + b"\x20abc"
    (record,) = store.split_records(body, offset=7)
    assert (record.key, record.value, record.offset) == ("", b"", 7)


def test_an_unreachable_store_is_an_error():
    feed = store.KeyedFeed(store.StoreClient("127.0.0.1:1"), topic="t")
    with pytest.raises(platform_port.StoreError):
        feed.newest()


def test_the_newest_record_names_the_planner(stub, client):
    stub.answers["/log-newest"] = [(200, _page([_item("p", b"me", 6)], end=7))]
    election = store.AppendElection(client, topic="keyed.t")
    assert election.current() == platform_port.Term(number=7, planner="me")


def test_without_a_record_there_is_no_planner(stub, client):
    stub.answers["/log-newest"] = [(404, b"")]
    election = store.AppendElection(client, topic="keyed.t")
    assert election.current() == platform_port.Term(number=0, planner="")


def test_a_claim_appends_at_the_end_of_the_last_term(stub, client):
    stub.answers["/log-append"] = [(200, b'{"offset": 7, "end": 8}')]
    election = store.AppendElection(client, topic="keyed.t")
    before = platform_port.Term(number=7, planner="other")
    claimed = election.claim("me", after=before)
    assert claimed == platform_port.Term(number=8, planner="me")
    _, query, body = stub.calls[0]
    assert "at=7" in query
    (record,) = store.split_records(body, offset=7)
    assert (record.value, record.offset) == (b"me", 7)


def test_a_claim_that_loses_the_race_returns_none(stub, client):
    stub.answers["/log-append"] = [(412, b'{"end": 9}')]
    election = store.AppendElection(client, topic="keyed.t")
    before = platform_port.Term(number=7, planner="other")
    assert election.claim("me", after=before) is None


@pytest.mark.parametrize("status", [429, 503, 507])
def test_a_failed_claim_is_an_error(stub, client, status):
    stub.answers["/log-append"] = [(status, b"")]
    election = store.AppendElection(client, topic="keyed.t")
    with pytest.raises(platform_port.StoreError):
        election.claim("me", after=platform_port.Term(number=0, planner=""))


def test_every_response_updates_the_era(stub, client):
    """After a restore, the first response may be an append or an error."""
    feed = store.KeyedFeed(client, topic="t")
    election = store.AppendElection(client, topic="keyed.t")
    stub.answers["/log-read"] = [(200, _read(5, 0), "3")]
    assert _read_from_5(feed).era == 3
    stub.answers["/log-append"] = [(412, b'{"end": 9}', "4")]
    election.claim("me", after=platform_port.Term(number=0, planner=""))
    assert feed.era == 4
    stub.answers["/log-newest"] = [(503, b"", "5")]
    with pytest.raises(platform_port.StoreError):
        feed.newest()
    assert feed.era == 5
    stub.answers["/log-read"] = [(410, b"{}", "6")]
    with pytest.raises(platform_port.RecordsExpiredError):
        _read_from_5(feed)
    assert feed.era == 6


def test_a_response_of_an_outdated_era_is_an_error(stub, client):
    feed = store.KeyedFeed(client, topic="t")
    stub.answers["/log-read"] = [
        (200, _read(5, 0), "4"),
        (200, _read(9, 0), "3"),
    ]
    _read_from_5(feed)
    with pytest.raises(platform_port.StoreError):
        _read_from_5(feed)
    assert feed.era == 4


def test_pages_of_two_eras_are_not_combined(stub, client):
    stub.answers["/log-newest"] = [
        (200, _page([_item("a", b"1", 4)], end=9, more=True), "1"),
        (200, _page([_item("b", b"2", 3)], end=4), "2"),
    ]
    feed = store.KeyedFeed(client, topic="keyed.x")
    with pytest.raises(platform_port.StoreError):
        feed.newest()
    assert feed.newest().era == 2


@pytest.mark.parametrize("era", ["", "-1", "1.5", "x", "9" * 30])
def test_a_malformed_era_is_ignored(stub, client, era):
    feed = store.KeyedFeed(client, topic="t")
    stub.answers["/log-read"] = [
        (200, _read(5, 0), "2"),
        (200, _read(5, 0), era),
    ]
    _read_from_5(feed)
    assert _read_from_5(feed).era == 2


def test_a_term_has_the_era_in_which_it_was_claimed(stub, client):
    election = store.AppendElection(client, topic="keyed.t")
    stub.answers["/log-append"] = [(200, b'{"offset": 7, "end": 8}', "2")]
    before = platform_port.Term(number=7, planner="other", era=1)
    claimed = election.claim("me", after=before)
    assert claimed == platform_port.Term(number=8, planner="me", era=2)
