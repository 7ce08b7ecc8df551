import contextlib

import gevent

from dotterelgrade_standins import local_fleet


class _Port:
    """A listening port that is released some time after the process ends."""

    def __init__(self):
        self.holders = []

    @contextlib.contextmanager
    def process(self, name):
        assert not self.holders, f"address in use by {self.holders}"
        self.holders.append(name)
        try:
            yield name
        finally:
            gevent.sleep(0.05)
            self.holders.remove(name)


def _member():
    return local_fleet.Member("entry", "127.50.1.1", "recife-a")


def test_address_is_not_in_use_when_a_process_starts_while_another_ends():
    port = _Port()
    member = _member()
    member.start(port.process("first"))
    leaving = gevent.spawn(member.kill)
    gevent.sleep(0)
    member.kill()
    member.start(port.process("second"))
    leaving.join()
    assert member.process == "second"
    assert port.holders == ["second"]


def test_a_kill_that_waits_does_not_end_the_next_process():
    port = _Port()
    member = _member()
    member.start(port.process("first"))
    kills = [gevent.spawn(member.kill)]
    gevent.sleep(0)
    start = gevent.spawn(member.start, port.process("second"))
    gevent.sleep(0)
    kills.append(gevent.spawn(member.kill))
    gevent.joinall([*kills, start])
    assert member.is_running == bool(port.holders)
