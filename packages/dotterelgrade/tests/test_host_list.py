import pytest

from dotterelgrade import errors
from dotterelgrade import greetings
from dotterelgrade import host_list
from dotterelgrade import settings as settings_lib
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import web

_HOST = "127.10.6.1"
_ENTRY = host_list.HostEntry(
    host="127.10.6.2",
    role=greetings.Role.AGENT,
    peer_port=7400,
    admin_port=7401,
    failure_domain="recife-a",
)


def _client(port):
    return host_list.HostList(
        settings_lib.PlatformSettings(
            log_url=f"http://{_HOST}:{port}",
            hosts_url=f"http://{_HOST}:{port}/hosts",
            timeout_s=1.0,
        )
    )


class _Canned(web.JsonApp):
    def __init__(self, answer):
        super().__init__()
        self.route("GET", "/hosts", lambda _: answer)


def test_hosts_are_read_with_their_state():
    service = hosts_service.HostsService([_ENTRY])
    with web.serving(service, host=_HOST, port=18_110):
        client = _client(18_110)
        assert client.read().unwrap() == (_ENTRY,)
        service.mark_leaving(_ENTRY.host)
        (entry,) = client.read().unwrap()
        assert entry.is_leaving


@pytest.mark.parametrize(
    "answer",
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
def test_a_broken_list_is_told(answer):
    with web.serving(_Canned(answer), host=_HOST, port=18_111):
        failure = _client(18_111).read().failure()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE


def test_nobody_listening_is_told():
    failure = _client(18_199).read().failure()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE
