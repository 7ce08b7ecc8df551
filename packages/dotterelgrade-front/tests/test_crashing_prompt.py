"""Requests under which engines end, at one front.

One segment of their prompts ends each engine that begins to answer it. No two
requests are alike, and sound ones share their caller and the other segments.
"""

import dataclasses
import itertools

import crash_fakes
import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

_REQUESTS = 30
_WAYS = [
    crash_fakes.Crash(),
    crash_fakes.Crash(after_head=True),
    crash_fakes.Crash(events=1),
    crash_fakes.Crash(after_head=True, delimited=False),
]


@pytest.fixture
def make_engines(front):
    started = []

    def make(**rest):
        engines = crash_fakes.CrashingEngines(
            front.state.fleet.put,
            lambda server_id: front.state.fleet.remove(server_id, now=0.0),
            **rest,
        )
        started.append(engines)
        streams.add_reports(front)
        return engines

    yield make
    for engines in started:
        engines.stop()


def _ask(front, number, segments, *, path="stream"):
    answer = front.ask(
        f"/{path}/x",
        method="POST",
        body=b"p",
        segments=segments,
        request_id=f"r{number}",
    )
    # Servers that ended are back while traffic goes on.
    gevent.sleep(0.01)
    return answer


def _ask_bad(front, number, **rest):
    return _ask(front, number, crash_fakes.bad_segments(number), **rest)


def _ask_sound(front, number, **rest):
    return _ask(front, number, crash_fakes.sound_segments(number), **rest)


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("crash", _WAYS, ids=str)
def test_a_prompt_that_ends_engines_reaches_few_of_them(
    front, make_engines, crash, path
):
    engines = make_engines(crash=crash)
    for number in range(_REQUESTS):
        _ask_bad(front, number, path=path)
    assert engines.crashes >= 1
    after_fifth = engines.arrivals_after_the_fifth()
    assert after_fifth <= crash_fakes.MOST_AFTER_THE_FIFTH


def test_sound_requests_beside_a_prompt_that_ends_engines_are_served(
    front, make_engines
):
    engines = make_engines()
    answers = []
    for number in range(_REQUESTS):
        _ask_bad(front, 2 * number)
        answers.append(_ask_sound(front, 2 * number + 1)[0])
    after_fifth = engines.arrivals_after_the_fifth()
    assert after_fifth <= crash_fakes.MOST_AFTER_THE_FIFTH
    assert answers == [200] * _REQUESTS


def test_a_prompt_that_ends_engines_is_refused_as_not_run(front, make_engines):
    """At once, and with the time at which it is worth asking again."""
    make_engines()
    numbers = itertools.count()
    retry_after_s = 0.0
    with gevent.Timeout(fakes.WAIT_S):
        while retry_after_s < 1.0:
            status, headers, _ = _ask_bad(front, next(numbers))
            retry_after_s = float(headers.get(b"retry-after", 0.0))
    assert status == 503
    assert _ask_bad(front, next(numbers))[0] == 503


def test_a_call_that_ends_plain_servers_is_not_repeated_for_ever(front):
    """Its caller sends the same again and again, and the servers restart."""
    servers = [front.add(f"p{n}", fakes.resetting) for n in range(6)]
    for number in range(_REQUESTS):
        front.ask("/safe/x", method="POST", body=b"p", request_id=f"r{number}")
        for server in front.state.fleet.servers:
            front.state.fleet.put(
                dataclasses.replace(server, started_ms=number + 1)
            )
            front.state.exclusions.reset(server.id)
    arrivals = sum(len(server.arrivals) for server in servers)
    assert arrivals <= 5 + crash_fakes.MOST_AFTER_THE_FIFTH
