"""Guards against bodies in chunks that are misread or cost much."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from dotterelgrade_entry import chunk_decoder


@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=20),
    st.integers(min_value=1, max_value=50),
)
def test_a_body_is_the_same_in_whatever_pieces_it_comes(chunks, size):
    sent = b"".join(b"%x;a=b\r\n%s\r\n" % (len(c), c) for c in chunks)
    sent += b"0\r\nt: v\r\n\r\nnext"
    decoder = chunk_decoder.ChunkDecoder()
    content, at = b"", 0
    while not decoder.is_complete:
        content += decoder.feed(sent[at : at + size])
        at += size
    assert content == b"".join(chunks)
    assert decoder.rest + sent[at:] == b"next"


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"-1\r\n",
        b"1\r\nab\r\n",
        b"f" * 17 + b"\r\n",
        b"1" * 300,
        b"0\r\n" + b"a: b\r\n" * 4_000,
    ],
)
def test_other_bytes_are_refused(data):
    with pytest.raises(ValueError, match="chunk|trailer"):
        chunk_decoder.ChunkDecoder().feed(data)
