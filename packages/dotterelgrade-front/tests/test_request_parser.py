import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import memory_budget
from dotterelgrade_front import request_parser
from dotterelgrade_routing import configuration

_HOST = b"host: a\r\n"
_OFFER = b"connection: upgrade, http2-settings\r\nupgrade: h2c\r\n"


# Target and two fields of a request with a body.
_HEAD_COST = len("/xhostacontent-length50") + 2 * request_parser.FIELD_BYTES
_LIMITS = configuration.ClientLimits(header_bytes=500, body_bytes=50)


@pytest.fixture
def memory():
    """Owns nothing for each account; all share two heads and 60 bytes."""
    shared = 2 * _HEAD_COST + 60
    return memory_budget.MemoryBudget(capacity_bytes=2 * shared, accounts=10**6)


@pytest.fixture
def parser():
    return request_parser.RequestParser(
        lambda: _LIMITS, account=memory_budget.unlimited()
    )


@pytest.fixture
def make_parser(memory):
    """Makes parsers that share the memory."""
    return lambda: request_parser.RequestParser(
        lambda: _LIMITS,
        account=memory_budget.Account(memory),
        most_requests=16,
    )


def _request(target=b"/x", rows=b"", body=b"", version=b"1.1"):
    if body:
        rows += b"content-length: %d\r\n" % len(body)
    line = b"POST %s HTTP/%s\r\n" % (target, version)
    return line + _HOST + rows + b"\r\n" + body


def _feed_in_pieces(parser, data, size):
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])


@pytest.mark.parametrize("size", [1, 7, 1_000])
def test_an_upgrade_offer_takes_nothing_from_its_request(parser, size):
    """The HTTP parser ends such a request after its head."""
    chunks = b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
    chunked = _request(rows=_OFFER + b"transfer-encoding: chunked\r\n")
    data = (
        _request(b"/1", _OFFER, b"first")
        + _request(b"/2", _OFFER)
        + chunked
        + chunks
        + _request(b"/4", body=b"fourth")
    )
    _feed_in_pieces(parser, data, size)
    requests = list(parser.requests)
    assert [r.target for r in requests] == [b"/1", b"/2", b"/x", b"/4"]
    bodies = [r.body for r in requests]
    assert bodies == [b"first", b"", b"abcde", b"fourth"]
    assert all(r.keep_alive for r in requests)
    assert not parser.started


def test_an_upgrade_offer_with_an_unread_body_has_started(parser):
    """A connection with a request in transit must not count as idle."""
    parser.feed(_request(rows=_OFFER, body=b"order")[:-1])
    assert parser.started
    assert not parser.requests


def test_many_offers_in_one_piece_are_parsed(parser):
    parser.feed(_request(rows=_OFFER) * 2_000)
    assert len(parser.requests) == 2_000


def test_an_upgrade_offer_keeps_the_version_of_its_request(parser):
    parser.feed(_request(rows=_OFFER, version=b"1.0"))
    assert not parser.requests[0].keep_alive


def test_an_upgrade_offer_does_not_evade_the_limits(parser):
    with pytest.raises(request_parser.BadRequestError):
        parser.feed(_request(rows=_OFFER, body=b"x" * 51))


def test_an_expectation_ends_with_its_request(parser):
    """The caller of the next request got a 100 that it had not asked for."""
    parser.feed(_request(rows=b"expect: 100-continue\r\n", body=b"order"))
    assert not parser.take_expect_continue()
    parser.feed(_request(body=b"order")[:-1])
    assert not parser.take_expect_continue()


def test_an_expectation_is_met_once_before_the_body(parser):
    parser.feed(_request(rows=b"expect: 100-continue\r\n", body=b"order")[:-5])
    assert parser.take_expect_continue()
    assert not parser.take_expect_continue()


def test_trailers_are_no_headers(parser):
    """A second host or key behind the body was forwarded as a header."""
    chunked = _request(rows=b"transfer-encoding: chunked\r\nkey: own\r\n")
    parser.feed(chunked + b"2\r\nab\r\n0\r\nkey: other\r\nhost: b\r\n\r\n")
    (request,) = parser.requests
    names = [name for name, _ in request.headers]
    assert names == [b"host", b"transfer-encoding", b"key"]
    assert (b"key", b"own") in request.headers


def test_trailers_count_as_bytes_of_the_head(parser):
    parser.feed(_request(rows=b"transfer-encoding: chunked\r\n"))
    with pytest.raises(request_parser.BadRequestError):
        parser.feed(b"0\r\nfiller: " + b"x" * 600 + b"\r\n\r\n")


def test_bodies_of_callers_share_the_memory(make_parser):
    """Each was held up to the limit, at any number of connections."""
    make_parser().feed(_request(body=b"x" * 50)[:-1])
    with pytest.raises(request_parser.BadRequestError) as refused:
        make_parser().feed(_request(body=b"x" * 50))
    assert refused.value.status == 503


def test_a_request_is_charged_until_it_has_ended(make_parser, memory):
    parser = make_parser()
    parser.feed(_request(body=b"x" * 20) + _request(body=b"x" * 30))
    both = pytest.approx(2 * _HEAD_COST + 50, abs=0.1)
    assert memory.used_bytes == both
    parser.requests.popleft()
    assert memory.used_bytes == both
    parser.release_taken()
    assert memory.used_bytes == pytest.approx(_HEAD_COST + 30, abs=0.1)


def test_fields_of_an_open_head_are_charged_as_objects(make_parser):
    """Heads of thousands of short fields took 20 times their bytes (LOST)."""
    with pytest.raises(request_parser.BadRequestError) as refused:
        make_parser().feed(b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 10)
    assert refused.value.status == 503


@pytest.mark.parametrize("tail", [b"", b"content-length: 9\r\n"])
def test_pipelined_requests_beyond_the_limit_stay_unparsed(tail):
    parser = request_parser.RequestParser(
        lambda: _LIMITS, account=memory_budget.unlimited(), most_requests=16
    )
    body = b"HTTP/1.1\n" if tail else b""
    rest = (b"GET /x HTTP/1.1\r\n" + _HOST + tail + b"\r\n" + body) * 100
    taken = 0
    while rest:
        rest = parser.feed(rest)
        assert 0 < len(parser.requests) <= 16
        taken += len(parser.requests)
        parser.requests.clear()
        parser.release_taken()
    assert taken == 100


def test_chunk_extensions_have_an_end(parser):
    """They count for no limit of the body, and kept the processor busy."""
    parser.feed(_request(rows=b"transfer-encoding: chunked\r\n"))
    with pytest.raises(request_parser.BadRequestError) as refused:
        for piece in (b"1;", *[b"x" * 100] * 10):
            parser.feed(piece)
    assert refused.value.status == 413


def test_chunks_of_one_byte_are_read_whole(parser):
    data = _request(rows=b"transfer-encoding: chunked\r\n")
    parser.feed(data)
    parser.feed(b"1\r\nx\r\n" * 30)
    assert parser.framing_heavy
    parser.feed(b"1\r\nx\r\n" * 20 + b"0\r\n\r\n")
    assert parser.requests[0].body == b"x" * 50


_fields = strategies.integers(0, 12).map(lambda n: b"a: b\r\n" * n)
_bodies = strategies.binary(max_size=50)


def _with_length(rows, body):
    return _request(rows=rows, body=body)


def _in_chunks(rows, body):
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    head = _request(rows=rows + b"transfer-encoding: chunked\r\n")
    return head + chunks + b"0\r\n\r\n"


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@hypothesis.given(
    requests=strategies.lists(
        strategies.builds(_with_length, _fields, _bodies)
        | strategies.builds(_in_chunks, _fields, _bodies),
        max_size=40,
    ),
    size=strategies.integers(1, 4_096),
    cut=strategies.integers(0, 20),
)
def test_slices_and_pipelining_change_no_request(requests, size, cut):
    """Also with the last one incomplete, nothing stays charged at the end."""
    data = b"".join(requests)
    data = data[: len(data) - cut]
    budget = memory_budget.MemoryBudget(capacity_bytes=10**9, accounts=10**9)
    whole = request_parser.RequestParser(
        lambda: _LIMITS, account=memory_budget.unlimited()
    )
    assert whole.feed(data) == b""
    account = memory_budget.Account(budget)
    sliced = request_parser.RequestParser(
        lambda: _LIMITS, account=account, most_requests=16
    )
    taken = []
    for start in range(0, len(data), size):
        rest = data[start : start + size]
        while rest:
            rest = sliced.feed(rest)
            assert len(sliced.requests) <= 16
            assert account.held_bytes >= sum(
                len(r.body) + request_parser.FIELD_BYTES * len(r.headers)
                for r in sliced.requests
            )
            if rest:
                taken += sliced.requests
                sliced.requests.clear()
                sliced.release_taken()
    taken += sliced.requests
    assert taken == list(whole.requests)
    assert sliced.started == whole.started
    sliced.requests.clear()
    sliced.release_taken()
    sliced.discard()
    assert account.held_bytes == 0


@hypothesis.settings(deadline=None, derandomize=True, database=None)
@hypothesis.given(
    pieces=strategies.lists(
        strategies.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                _HOST,
                b"a: b\r\n",
                b"\r\n",
                b"transfer-encoding: chunked\r\n\r\n",
                b"content-length: 9\r\n\r\n",
                b"1;" + b"x" * 300,
                b"1\r\nx\r\n",
                b"a: " + b"x" * 300,
                b"0\r\n",
            ]
        )
        | strategies.binary(max_size=20),
        max_size=60,
    )
)
def test_what_is_charged_stays_near_the_limits_whatever_arrives(pieces):
    account = memory_budget.unlimited()
    parser = request_parser.RequestParser(
        lambda: _LIMITS, account=account, most_requests=16
    )
    most_each = 500 * (request_parser.FIELD_BYTES + 1) + 500 + 64 + 50
    try:
        for piece in pieces:
            rest = parser.feed(piece)
            assert account.held_bytes <= 17 * most_each
            assert not rest or len(parser.requests) >= 15
            if rest:
                return
    except request_parser.BadRequestError:
        parser.requests.clear()
        parser.release_taken()
        parser.discard()
        assert account.held_bytes == 0
