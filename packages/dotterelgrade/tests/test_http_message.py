import pytest

from dotterelgrade import http_message


def _request(*, method=b"GET", target=b"/a?b=c%20d", headers=()):
    return http_message.Request(
        method=method,
        target=target,
        headers=list(headers),
        body=b"",
        keep_alive=False,
    )


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"method": b"M-SEARCH"},
        {"target": b"/\xc3\xa9"},
        {"headers": [(b"x-a", b""), (b"X_b", b"1 \t2\xff")]},
    ],
)
def test_an_ordinary_request_can_be_sent(changes):
    assert http_message.is_sendable(_request(**changes))


@pytest.mark.parametrize(
    "changes",
    [
        {"method": b""},
        {"method": b"GE T"},
        {"target": b""},
        {"target": b"/a b"},
        {"target": b"/a\r\nx: y"},
        {"headers": [(b"x a", b"1")]},
        {"headers": [(b"x:", b"1")]},
        {"headers": [(b"", b"1")]},
        {"headers": [(b"x", b"1\r\ny: 2")]},
        {"headers": [(b"x", b"1\x00")]},
    ],
)
def test_a_request_that_holds_another_one_can_not_be_sent(changes):
    assert not http_message.is_sendable(_request(**changes))
