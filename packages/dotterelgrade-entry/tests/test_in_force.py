import contextlib

import pytest
from returns import result

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade_entry import in_force
from dotterelgrade_standins import web


class _FakeEntry(web.JsonApp):
    def __init__(self, answer):
        super().__init__()
        self.route("GET", "/fleet", lambda _: answer)


class _Hosts:
    def __init__(self, *entries):
        self.answer = result.Success(entries)

    def read(self):
        return self.answer


def _host(role, host, state="live"):
    return host_list.HostEntry(
        host=host,
        role=connection_frames.Role(role),
        peer_port=7400,
        admin_port=17_401,
        failure_domain="recife-a",
        state=state,
    )


def _process(role, host, offset):
    return {
        "process": f"{role}-{host}",
        "role": role,
        "host": host,
        "state": "ready",
        "contract_offset": offset,
        "load": {},
    }


@pytest.fixture
def entries():
    one = [_process("entry", "127.10.1.1", 5), _process("agent", "a", 5)]
    two = [_process("entry", "127.10.1.2", 4), _process("agent", "a", 3)]
    with contextlib.ExitStack() as stack:
        for number, processes in ((1, one), (2, two)):
            app = _FakeEntry({"processes": processes})
            host = f"127.10.1.{number}"
            stack.enter_context(web.serving(app, host=host, port=17_401))
        yield


def test_every_listed_slot_counts_with_its_best_report(entries):
    hosts = _Hosts(
        _host("entry", "127.10.1.1"),
        _host("entry", "127.10.1.2"),
        _host("entry", "127.10.1.3"),
        _host("agent", "a"),
        _host("agent", "b"),
        _host("agent", "c", state="leaving"),
    )
    spread = in_force.wait(hosts, offset=5, timeout_s=0).unwrap()
    assert spread.reached == ("agent a", "entry 127.10.1.1")
    assert spread.missing == (
        "agent b",
        "entry 127.10.1.2",
        "entry 127.10.1.3",
    )
    assert str(spread).startswith("in force at 2 of 5; not yet: agent b")


def test_in_force_everywhere_ends_the_wait(entries):
    hosts = _Hosts(_host("entry", "127.10.1.1"), _host("agent", "a"))
    spread = in_force.wait(hosts, offset=5, timeout_s=60).unwrap()
    assert str(spread) == "in force at 2 of 2"


def test_without_a_host_list_it_is_unknown():
    hosts = _Hosts()
    hosts.answer = result.Failure(
        errors.Error(kind=errors.ErrorKind.PEER_UNREACHABLE, message="down")
    )
    failure = in_force.wait(hosts, offset=5, timeout_s=0).failure()
    assert failure.kind is errors.ErrorKind.PEER_UNREACHABLE


@pytest.mark.parametrize(
    "value", [None, [], {}, {"processes": 7}, {"processes": [{"role": 1}]}]
)
def test_a_broken_answer_counts_as_none(value):
    assert in_force.processes_of(value) == ()
