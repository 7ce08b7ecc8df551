import pytest

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import web

_HOST = "127.10.6.1"
_ENTRY = host_list.HostEntry(
    host="127.10.6.2",
    role=connection_frames.Role.AGENT,
    peer_port=7400,
    admin_port=7401,
    failure_domain="recife-a",
)


def _client(port):
    return host_list.HostListClient(
        settings_lib.PlatformSettings(
            log_url=f"http://{_HOST}:{port}",
            hosts_url=f"http://{_HOST}:{port}/hosts",
            timeout_s=1.0,
        )
    )


class _FixedResponseApp(web.JsonApp):
    def __init__(self, response):
        super().__init__()
        self.route("GET", "/hosts", lambda _: response)


def test_read_returns_hosts_with_their_state():
    service = hosts_service.HostsService([_ENTRY])
    with web.serving(service, host=_HOST, port=18_110):
        client = _client(18_110)
        assert client.read().unwrap() == (_ENTRY,)
        service.mark_leaving(_ENTRY.host)
        (entry,) = client.read().unwrap()
        assert entry.is_leaving


@pytest.mark.parametrize(
    "response",
    [
        None,
        [],
        {},
        {"hosts": 7},
        {"hosts": [7]},
        {"hosts": [{"host": "127.0.0.1"}]},
        {"hosts": [{"host": 1, "role": "agent"}]},
    ],
)
def test_invalid_list_is_reported_as_unreachable(response):
    with web.serving(_FixedResponseApp(response), host=_HOST, port=18_111):
        failure = _client(18_111).read().failure()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE


_GOOD = {
    "host": "127.10.6.2",
    "role": "agent",
    "peer_port": 7400,
    "admin_port": 7401,
    "failure_domain": "recife-a",
}


@pytest.mark.parametrize(
    "odd",
    [
        7,
        None,
        {},
        {**_GOOD, "role": "cook"},
        {**_GOOD, "peer_port": 99_999},
        {**_GOOD, "peer_port": -1},
        {**_GOOD, "admin_port": 10**30},
        {**_GOOD, "host": ""},
        {**_GOOD, "host": "127.0.0.1\r\nx: y"},
        [[[[]]]],
    ],
    ids=lambda odd: repr(odd)[-40:],
)
def test_an_odd_entry_does_not_hide_the_others(odd, caplog):
    """No process followed the list any more while it held the entry."""
    response = {"hosts": [odd, _GOOD]}
    with web.serving(_FixedResponseApp(response), host=_HOST, port=18_111):
        client = _client(18_111)
        assert client.read().unwrap() == (_ENTRY,)
        assert client.read().unwrap() == (_ENTRY,)
    skipped = [r for r in caplog.records if r.message == "host entry skipped"]
    assert len(skipped) == 1


def test_refused_connection_is_reported_as_unreachable():
    failure = _client(18_199).read().failure()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE
