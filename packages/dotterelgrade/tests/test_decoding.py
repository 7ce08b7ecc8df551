import json

import pytest
from returns import pipeline

from dotterelgrade import decoding
from dotterelgrade import errors


def _divide(data):
    return 1 / data


def _raise(error):
    raise error


@pytest.mark.parametrize(
    ("decode", "data"),
    [
        (json.loads, b"[" * 100_000),
        (json.loads, b"\xff"),
        (json.loads, b"9" * 6000),
        (int, float("inf")),
        (_divide, 0),
        (_raise, AttributeError("x")),
        (_raise, MemoryError()),
    ],
    ids=["deep", "text", "digits", "infinite", "zero", "attribute", "memory"],
)
def test_whatever_a_decoder_raises_is_one_kind_of_error(decode, data):
    """An unlisted exception of a decoder ended the part that called it."""
    decoded = decoding.attempt(decode, data, what="entry i-1")
    error = decoded.failure()
    assert error.kind is errors.ErrorKind.RECORD_INVALID
    assert error.message.startswith("entry i-1: ")
    with pytest.raises(errors.DotterelgradeError):
        decoding.require(decode, data, what="entry i-1")


def test_a_decoded_value_is_returned():
    assert decoding.attempt(json.loads, b"[1]", what="list").unwrap() == [1]
    assert decoding.require(json.loads, b"[1]", what="list") == [1]


def test_a_rejected_value_keeps_the_reason_of_its_decoder():
    reason = errors.new_exception(errors.ErrorKind.FRAME_INVALID, "no port")
    decoded = decoding.attempt(
        _raise, reason, what="entry", kind=errors.ErrorKind.SETTINGS_INVALID
    )
    assert not pipeline.is_successful(decoded)
    assert decoded.failure() == errors.Error(
        kind=errors.ErrorKind.SETTINGS_INVALID, message="entry: no port"
    )


def test_the_message_of_a_large_document_is_short():
    decoded = decoding.attempt(_raise, ValueError("x" * 10_000), what="entry")
    assert len(decoded.failure().message) < 300
