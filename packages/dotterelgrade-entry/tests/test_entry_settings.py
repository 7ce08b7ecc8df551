import pytest

from dotterelgrade import errors
from dotterelgrade import settings as settings_lib
from dotterelgrade_entry import entry_settings

VALUE = {
    "process": {
        "host": "127.0.0.1",
        "failure_domain": "recife-a",
        "shared_key": "k" * 16,
    },
    "platform": {
        "log_url": "http://127.0.0.1:7300",
        "hosts_url": "http://127.0.0.1:7301/hosts",
    },
}


def test_only_the_addresses_are_required():
    checked = settings_lib.structure(VALUE, entry_settings.EntrySettings)
    settings = checked.unwrap()
    assert (settings.http_port, settings.policy) == (8080, "predicted")


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"http_port": 70_000}, "http_port"),
        ({"max_tokens": 0}, "max_tokens"),
        ({"give_up_s": -1}, "give_up_s"),
        ({"max_ejected_share": 1}, "max_ejected_share"),
        ({"drain_wait_s": -1}, "drain_wait_s"),
        ({"surprise": 1}, "surprise"),
        ({"policy": 3}, "policy"),
    ],
)
def test_a_fault_is_named(change, named):
    checked = settings_lib.structure(
        {**VALUE, **change}, entry_settings.EntrySettings
    )
    error = checked.failure()
    assert error.kind is errors.ErrorKind.SETTINGS_INVALID
    assert named in error.message
