import json

import hypothesis
from hypothesis import strategies as st
import pytest

from dotterelgrade import contract_records
from dotterelgrade import errors

_TEXT = "drain host=10.0.0.7 # operations: new fan"


def _edit(**changes):
    edit = {"identity": "drain host=10.0.0.7", "text": _TEXT, "seen": 0}
    body = {"type": "edit", "id": "1", "author": "ana", "edits": [edit]}
    edit.update(changes.pop("edit", {}))
    body.update(changes)
    return json.dumps(body).encode()


def test_record_round_trip():
    record = contract_records.decode(_edit())
    assert record.edits[0].text == _TEXT
    assert contract_records.decode(contract_records.encode(record)) == record


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"null",
        b"[]",
        b"{}",
        b"[" * 100_000,
        _edit(type="later"),
        _edit(id=""),
        _edit(author=""),
        _edit(id="x" * 101),
        _edit(author="x" * 201),
        _edit(edits=[]),
        _edit(edits=[json.loads(_edit())["edits"][0]] * 2),
        _edit(edit={"text": None}),
        _edit(edit={"text": "drain host=10.0.0.7"}),
        _edit(edit={"text": 7}),
        _edit(edit={"seen": "0"}),
        _edit(edit={"identity": "drain host=10.0.0.8"}),
        b'{"type":"snapshot","covers":1,"lines":7,"digest":""}',
        b" " * (contract_records.MAX_RECORD_BYTES + 1),
    ],
    ids=range(20),
)
def test_invalid_record_is_rejected(body):
    with pytest.raises(errors.DotterelgradeError) as caught:
        contract_records.decode(body)
    assert caught.value.error.kind is errors.ErrorKind.RECORD_INVALID


_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
_record_like = st.fixed_dictionaries(
    {"type": st.sampled_from(["edit", "snapshot"])},
    optional=dict.fromkeys(
        ("id", "author", "edits", "covers", "lines", "digest"), _json
    ),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.binary(max_size=200)
    | (_json | _record_like).map(lambda v: json.dumps(v).encode())
)
def test_arbitrary_bytes_are_decoded_or_rejected(body):
    try:
        contract_records.decode(body)
    except errors.DotterelgradeError as error:
        assert error.error.kind is errors.ErrorKind.RECORD_INVALID
