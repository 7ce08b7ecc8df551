"""The list of backend servers with entries of another program among them."""

import json

import feed_fakes
import gevent
import pytest

from dotterelgrade_platform import documents

_GOOD = {
    "service": "plain",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 96,
    "state": "ready",
    "sequence": 4,
    "born": 12,
}


def _entry(**changes):
    return json.dumps({**_GOOD, **changes}).encode()


def _with_field(text):
    return _entry()[:-1] + b', "note": ' + text + b"}"


_ODD = {
    "nested": _with_field(b"[" * 100_000 + b"]" * 100_000),
    "nested objects": _with_field(b'{"a":' * 5_000 + b"1" + b"}" * 5_000),
    "large number": _entry()[:-1] + b', "slots": ' + b"9" * 6_000 + b"}",
    "infinite": _entry()[:-1] + b', "born": 1e400}',
    "port": _entry(address="10.0.0.1:99999"),
    "no host": _entry(address=":80"),
    "line break": _entry(address="10.0.0.1\r\nx: y:80"),
    "no text": b"\xff\xfe\x00",
    "empty document": b"{}",
}


@pytest.fixture
def state(front):
    decoder = documents.DocumentDecoder()
    fakes = front.state.platform.documents
    fakes.decode_backend_server = decoder.decode_backend_server
    return front.state


def test_odd_entries_of_another_program_leave_the_others(state):
    """The reader of the list ended again and again, or stopped following."""
    feed = state.platform.backend_servers
    feed.add("first", _entry())
    for name, body in _ODD.items():
        feed.add(f"odd-{name}", body)
    feed.add("second", _entry(address="10.0.0.2:80"))
    running = gevent.spawn(feed_fakes.server_follower(state).run)
    feed_fakes.wait_until(lambda: state.fleet.get("second") is not None)
    # They come again while the feed is followed.
    for name, body in _ODD.items():
        feed.add(f"odd-{name}", body)
    feed.add("third", _entry(address="10.0.0.3:80"))
    feed_fakes.wait_until(lambda: state.fleet.get("third") is not None)
    assert not running.ready()
    running.kill()
    names = {server.id for server in state.fleet.servers}
    assert names == {"first", "second", "third"}


@pytest.mark.parametrize("name", sorted(_ODD))
def test_a_server_whose_entry_turns_odd_is_gone_until_the_next_good_one(
    state, name
):
    feed = state.platform.backend_servers
    running = gevent.spawn(feed_fakes.server_follower(state).run)
    for body, is_listed in ((_entry(), True), (_ODD[name], False)) * 2:
        feed.add("s", body)
        feed_fakes.wait_until(
            lambda wanted=is_listed: (
                (state.fleet.get("s") is not None) == wanted
            )
        )
    running.kill()
