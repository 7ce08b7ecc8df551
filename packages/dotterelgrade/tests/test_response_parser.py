import pytest

from dotterelgrade import response_parser


def _parser(*parts, without_body=False):
    parser = response_parser.ResponseParser(without_body=without_body)
    for part in parts:
        parser.feed(part)
    return parser


def test_an_unframed_response_ends_with_its_connection():
    parser = _parser(b"HTTP/1.1 200 OK\r\n\r\nok")
    assert not parser.complete
    parser.end()
    assert parser.complete
    assert b"".join(parser.pieces) == b"ok"


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    ],
)
def test_the_end_of_the_connection_completes_no_other_response(data):
    parser = _parser(data)
    parser.end()
    assert not parser.complete


def test_a_head_alone_is_complete_whatever_length_it_states():
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
    assert _parser(head, without_body=True).complete


def test_bytes_that_are_no_response_are_an_error():
    with pytest.raises(response_parser.InvalidResponseError):
        _parser(b"SSH-2.0-x\r\n")


def test_bytes_behind_a_response_belong_to_no_request():
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
    assert _parser(head, b"HTTP/1.1 500 Extra\r\n").extra_bytes
