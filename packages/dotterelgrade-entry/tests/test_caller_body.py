"""Guards against bodies that take memory or time without a bound."""

import io
import types

import pytest

from dotterelgrade import errors
from dotterelgrade import head_fields
from dotterelgrade import memory_budget
from dotterelgrade import work_share
from dotterelgrade_entry import caller_body

_LIMITS = caller_body.BodyLimits(
    min_rate=1_024, rate_window_s=5.0, framing=work_share.WorkShare(1.0)
)


def _open(data, *, length=None, fields=(), capacity=1e6):
    sent, phases = [], []
    handler = types.SimpleNamespace(
        rfile=io.BufferedReader(io.BytesIO(data)),
        content_length=length,
        headers=head_fields.HeadFields(list(fields)),
        socket=types.SimpleNamespace(sendall=sent.append),
        slot=types.SimpleNamespace(enter=phases.append),
        close_connection=False,
        sent=sent,
    )
    budget = memory_budget.MemoryBudget(capacity_bytes=capacity, accounts=10**6)
    account = memory_budget.Account(budget)
    body = caller_body.CallerBody(handler, limits=_LIMITS, account=account)
    return handler, body, budget


_CHUNKED = (("Transfer-Encoding", "chunked"),)


@pytest.mark.parametrize(
    ("data", "options"),
    [
        (b"a" * 9_000 + b"next", {"length": 9_000}),
        (
            b"1\r\na\r\n" * 9_000 + b"0\r\n\r\nnext",
            {"fields": _CHUNKED},
        ),
    ],
)
def test_a_body_is_read_and_what_follows_it_is_left(data, options):
    handler, body, _ = _open(data, **options)
    assert body.read_whole(most_bytes=9_000) == b"a" * 9_000
    body._discard()
    assert handler.rfile.read() == b"next"
    assert not handler.close_connection


@pytest.mark.parametrize(
    ("most_bytes", "capacity", "kind"),
    [
        (100, 1e6, errors.ErrorKind.BODY_TOO_LARGE),
        (9_000, 1_000, errors.ErrorKind.NO_MEMORY),
    ],
)
def test_a_body_beyond_a_limit_is_refused(most_bytes, capacity, kind):
    _, body, budget = _open(b"a" * 9_000, length=9_000, capacity=capacity)
    with pytest.raises(errors.DotterelgradeError) as caught:
        body.read_whole(most_bytes=most_bytes)
    assert caught.value.error.kind is kind
    assert budget.used_bytes <= 500


def test_a_caller_that_waits_is_told_to_go_on():
    expects = (("Expect", "100-continue"),)
    handler, body, _ = _open(b"ab", length=2, fields=expects)
    assert body.read_whole(most_bytes=10) == b"ab"
    assert handler.sent == [b"HTTP/1.1 100 Continue\r\n\r\n"]


def test_a_body_that_is_not_read_is_skipped_or_ends_the_connection():
    handler, body, _ = _open(b"abnext", length=2)
    body._discard()
    assert (handler.rfile.read(), handler.close_connection) == (b"next", False)
    handler, body, _ = _open(b"a", length=2)
    body._discard()
    assert handler.close_connection
