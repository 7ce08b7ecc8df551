import json

import pytest

from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade_agent import claim_items

_CLAIM = {
    "type": "claim",
    "workspace": "bench",
    "key": "k",
    "claim": "c",
    "key_time_s": 1.0,
    "digest": "d",
    "claimer": "p",
    "seen": 0,
    "at_s": 1.0,
}


def _record(*items):
    batch = {"type": "batch", "id": "p:1", "items": items}
    return log_client.Record(offset=1, body=json.dumps(batch).encode())


@pytest.mark.parametrize(
    "change",
    [
        {"type": "wish"},
        {"type": 7},
        {"seen": -1},
        {"seen": 10**30},
        {"key_time_s": 1e300},
        {"workspace": None},
    ],
    ids=str,
)
def test_an_odd_item_does_not_hide_the_others(change):
    record = _record({**_CLAIM, **change}, _CLAIM)
    (item,) = claim_items.decode(record)
    assert item.claim == "c"


@pytest.mark.parametrize("field", ["type", "workspace", "key"])
def test_text_that_no_frame_can_carry_is_no_claim(field):
    """A lone surrogate ended the reader of the claims, and again after it."""
    with pytest.raises(errors.DotterelgradeError) as caught:
        list(claim_items.decode(_record({**_CLAIM, field: "\ud800"})))
    assert caught.value.error.kind is errors.ErrorKind.RECORD_INVALID
