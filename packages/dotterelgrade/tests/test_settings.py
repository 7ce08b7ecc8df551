import json

import hypothesis
from hypothesis import strategies as st
from returns import result

from dotterelgrade import errors
from dotterelgrade import greetings
from dotterelgrade import host_list
from dotterelgrade import settings

_GOOD = {
    "host": "127.10.0.1",
    "failure_domain": "recife-a",
    "shared_key": "k" * 16,
}


def _message(value):
    checked = settings.structure(value, settings.ProcessSettings)
    error = checked.failure()
    assert error.kind is errors.ErrorKind.SETTINGS_INVALID
    return error.message


def test_valid_settings_get_their_defaults():
    checked = settings.structure(_GOOD, settings.ProcessSettings).unwrap()
    assert checked.peer_port == 7400
    assert "k" * 16 not in repr(checked)


def test_every_fault_is_reported_at_once_with_its_path():
    message = _message({**_GOOD, "host": 3, "failure_domain": [], "typo": 1})
    assert "$.host" in message
    assert "$.failure_domain" in message
    assert "typo" in message


def test_missing_key_is_named():
    message = _message({"host": "127.10.0.1"})
    assert "$.failure_domain" in message
    assert "$.shared_key" in message


def test_port_outside_the_range_is_refused():
    assert "peer_port" in _message({**_GOOD, "peer_port": 70_000})


def test_boolean_is_not_a_port():
    assert "boolean" in _message({**_GOOD, "peer_port": True})


def test_unreadable_file_is_an_error(tmp_path):
    missing = settings.load(tmp_path / "none", settings.ProcessSettings)
    assert missing.failure().kind is errors.ErrorKind.SETTINGS_INVALID
    path = tmp_path / "bad.json"
    path.write_bytes(b"\xff{")
    broken = settings.load(path, settings.ProcessSettings)
    assert broken.failure().kind is errors.ErrorKind.SETTINGS_INVALID


def test_file_is_read(tmp_path):
    path = tmp_path / "good.json"
    path.write_text(json.dumps(_GOOD))
    loaded = settings.load(path, settings.ProcessSettings)
    assert loaded.unwrap().host == "127.10.0.1"


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*_GOOD, "peer_port", "x"]), inner, max_size=5
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(_JSON)
def test_any_json_value_gets_a_result(value):
    checked = settings.structure(value, settings.ProcessSettings)
    assert isinstance(checked, result.Result)


def test_enumerations_are_checked_and_converted():
    entry = {
        "host": "127.10.0.1",
        "role": "entry",
        "peer_port": 7400,
        "admin_port": 7401,
        "failure_domain": "recife-a",
    }
    checked = settings.structure(entry, host_list.HostEntry).unwrap()
    assert checked.role is greetings.Role.ENTRY
    wrong = settings.structure({**entry, "role": "x"}, host_list.HostEntry)
    assert "$.role" in wrong.failure().message
