import json

import hypothesis
from hypothesis import strategies as st
import pytest
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade import settings

_VALID = {
    "host": "127.10.0.1",
    "failure_domain": "recife-a",
    "shared_key": "k" * 16,
}


def _message(value):
    checked = settings.structure(value, settings.ProcessSettings)
    error = checked.failure()
    assert error.kind is errors.ErrorKind.SETTINGS_INVALID
    return error.message


def test_valid_settings_get_defaults():
    checked = settings.structure(_VALID, settings.ProcessSettings).unwrap()
    assert checked.peer_port == 7400
    assert "k" * 16 not in repr(checked)


def test_every_fault_is_reported_at_once_with_its_path():
    message = _message({**_VALID, "host": 3, "failure_domain": [], "typo": 1})
    assert "$.host" in message
    assert "$.failure_domain" in message
    assert "typo" in message


def test_missing_keys_are_named():
    message = _message({"host": "127.10.0.1"})
    assert "$.failure_domain" in message
    assert "$.shared_key" in message


def test_port_out_of_range_is_rejected():
    assert "peer_port" in _message({**_VALID, "peer_port": 70_000})


@pytest.mark.parametrize(
    "text", ["NaN", "Infinity", "-Infinity", "1e400", "9" * 30, "1e300"]
)
def test_a_number_that_no_timer_takes_is_rejected(tmp_path, text):
    """It passed as a positive number, and a timer failed much later."""
    path = tmp_path / "settings.json"
    path.write_text(
        '{"log_url": "http://a", "hosts_url": "http://a", "timeout_s": '
        + text
        + "}"
    )
    error = settings.load(path, settings.PlatformSettings).failure()
    assert error.kind is errors.ErrorKind.SETTINGS_INVALID
    assert "$.timeout_s" in error.message


def test_boolean_is_rejected_as_port():
    assert "boolean" in _message({**_VALID, "peer_port": True})


def test_unreadable_file_is_an_error(tmp_path):
    missing = settings.load(tmp_path / "none", settings.ProcessSettings)
    assert missing.failure().kind is errors.ErrorKind.SETTINGS_INVALID
    path = tmp_path / "invalid.json"
    path.write_bytes(b"\xff{")
    invalid = settings.load(path, settings.ProcessSettings)
    assert invalid.failure().kind is errors.ErrorKind.SETTINGS_INVALID


def test_file_is_read(tmp_path):
    path = tmp_path / "valid.json"
    path.write_text(json.dumps(_VALID))
    loaded = settings.load(path, settings.ProcessSettings)
    assert loaded.unwrap().host == "127.10.0.1"


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*_VALID, "peer_port", "x"]), inner, max_size=5
        )
    ),
    max_leaves=8,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(_JSON)
def test_any_json_value_returns_a_result(value):
    checked = settings.structure(value, settings.ProcessSettings)
    assert isinstance(checked, result.Result)


def test_enumerations_are_validated_and_converted():
    entry = {
        "host": "127.10.0.1",
        "role": "entry",
        "peer_port": 7400,
        "admin_port": 7401,
        "failure_domain": "recife-a",
    }
    checked = settings.structure(entry, host_list.HostEntry).unwrap()
    assert checked.role is connection_frames.Role.ENTRY
    invalid = settings.structure({**entry, "role": "x"}, host_list.HostEntry)
    assert "$.role" in invalid.failure().message
