import time
import uuid

import pytest
import uuid6

from dotterelgrade import errors
from dotterelgrade_entry import idempotency


def test_a_fresh_key_is_taken_in_its_usual_form():
    key = uuid6.uuid7()
    text = f" {str(key).upper()} "
    assert idempotency.check_key(text, max_age_s=60).unwrap() == str(key)


@pytest.mark.parametrize(
    ("text", "offset_s", "kind"),
    [
        ("", 0, errors.ErrorKind.KEY_INVALID),
        ("\x00", 0, errors.ErrorKind.KEY_INVALID),
        (str(uuid.uuid1()), 0, errors.ErrorKind.KEY_INVALID),
        (str(uuid6.uuid7()), 61, errors.ErrorKind.KEY_TOO_OLD),
        (str(uuid6.uuid7()), -3_600, errors.ErrorKind.KEY_INVALID),
    ],
)
def test_other_keys_are_refused(text, offset_s, kind):
    checked = idempotency.check_key(
        text, max_age_s=60, now_s=time.time() + offset_s
    )
    assert checked.failure().kind is kind


def test_a_key_too_old_may_be_a_repeat_and_says_unknown():
    checked = idempotency.check_key(
        str(uuid6.uuid7()), max_age_s=60, now_s=time.time() + 61
    )
    assert checked.failure().run_state is errors.RunState.UNKNOWN


def test_the_digest_tells_apart_where_one_part_ends():
    parts = {"workspace": "w", "service": "s", "method": "POST"}
    one = idempotency.digest(**parts, path="/a", body=b"b")
    other = idempotency.digest(**parts, path="/ab", body=b"")
    assert one != other
