import pytest

from dotterelgrade import listen_limits
from dotterelgrade import settings as settings_lib

_PROCESS = {"host": "127.0.0.1", "failure_domain": "a", "shared_key": "k" * 16}


def _load(**listen):
    return settings_lib.structure(
        {**_PROCESS, "listen": listen}, settings_lib.ProcessSettings
    )


def test_limits_are_read_from_the_settings_file():
    assert _load(connections=7).unwrap().listen.connections == 7


@pytest.mark.parametrize(
    "listen",
    [{"connections": 0}, {"idle_timeout_s": -1}, {"unknown": 1}],
)
def test_limits_out_of_range_are_refused(listen):
    assert "listen" in _load(**listen).failure().message


def test_connections_leave_descriptors_for_other_uses():
    count = listen_limits.within_descriptors(10**9)
    assert 1 <= count <= 10**9
    assert listen_limits.within_descriptors(1) == 1
