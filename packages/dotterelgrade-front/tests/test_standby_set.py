"""Tests streams with a second attempt beside a silent one."""

import contextlib
import random
import re
import time

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade import http_connection
from dotterelgrade_routing import graceful_stop
from dotterelgrade_routing import stall_actions

_LAST = 9


@pytest.fixture(autouse=True)
def early_standby(monkeypatch):
    monkeypatch.setattr(stall_actions, "STANDBY_SILENCE_S", 0.2)


def _ask(front, path="stream", **rest):
    return front.ask(f"/{path}/x", method="POST", body=b"p", **rest)


def _resumed(arrival):
    return bool(arrival.headers[b"after"])


def _until_arrived(front, count):
    """Returns a pause until the engines have received so many requests."""

    def pause():
        fakes.until(
            lambda: sum(len(b.arrivals) for b in front.backends) >= count
        )

    return pause


def _stuck_after(number):
    """A script that sends events up to a number and nothing more."""
    return fakes.streaming(1, number, after=fakes.silent)


def test_the_first_attempt_goes_on_beside_the_second(front):
    """No event comes twice or is missing, and the second one is closed."""
    pausing = streams.pausing(3, last=_LAST, pause=_until_arrived(front, 2))
    first, other = streams.add_chains(front, [pausing], [fakes.silent])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert (len(first.arrivals), len(other.arrivals)) == (1, 1)
    assert other.arrivals[0].headers[b"after"] == b"3"
    assert other.closed.wait(fakes.WAIT_S)
    assert not front.state.load.in_flight
    (ended,) = streams.decisions(front, "standby_ended")
    assert ended.reason == "another attempt went on"


def test_the_second_attempt_goes_on_and_the_first_is_closed(front):
    ending = []

    def resumed(sock, arrival):
        fakes.streaming(4, 5, after=rest)(sock, arrival)

    def rest(sock, _):
        ending.append(first.closed.wait(fakes.WAIT_S))
        streams.send_events(sock, 6, _LAST)

    first, other = streams.add_chains(front, [_stuck_after(3)], [resumed])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert ending == [True]
    assert (len(first.arrivals), len(other.arrivals)) == (1, 1)
    assert not front.state.load.in_flight


@pytest.mark.parametrize("winner", [0, 1])
def test_two_attempts_before_the_first_event_give_one_answer(front, winner):
    """Whichever engine sends the first event, the caller gets all of them."""

    def go_on(sock, arrival):
        _until_arrived(front, 2)()
        fakes.streaming(1, _LAST)(sock, arrival)

    scripts = [[fakes.silent], [fakes.silent]]
    scripts[winner] = [go_on]
    backends = streams.add_chains(front, *scripts)
    status, _, body = _ask(front)
    assert (status, body) == (200, streams.events(1, _LAST))
    assert backends[1 - winner].closed.wait(fakes.WAIT_S)


def test_a_caller_that_leaves_closes_both_attempts(front):
    streams.set_routes(front, timeout_s=60.0)
    backends = streams.add_chains(front, [_stuck_after(3)], [fakes.silent])
    sock = front.send("/stream/x", method="POST", body=b"p")
    _until_arrived(front, 2)()
    assert front.state.load.in_flight == 2
    sock.close()
    for backend in backends:
        assert backend.closed.wait(fakes.WAIT_S)
    fakes.until(lambda: not front.state.load.in_flight)
    assert not front.state.load.own


def test_a_caller_that_left_before_the_second_attempt_gets_none(front):
    """The attempt is not sent for a caller whose close is noticed late."""
    backends = streams.add_chains(front, [_stuck_after(3)], [fakes.silent])
    sock = front.send("/stream/x", method="POST", body=b"p")
    assert sock.recv(1_000)
    sock.close()
    assert backends[0].closed.wait(fakes.WAIT_S)
    gevent.sleep(0.4)
    assert not backends[1].arrivals


@pytest.mark.parametrize(
    "answer",
    [
        fakes.refusing(),
        fakes.resetting,
        fakes.responding(b"oops", b"500 Oops"),
        fakes.responding(b"why", b"404 Gone"),
        fakes.streaming(4, 3, torn=b"id: 4\nda"),
        fakes.streaming(4, 3, torn=b"x" * 1_100_000),
    ],
)
def test_a_second_attempt_that_fails_does_not_end_the_first(front, answer):
    pausing = streams.pausing(3, last=_LAST, pause=lambda: ended_in(front))

    def ended_in(front):
        fakes.until(lambda: streams.decisions(front, "standby_ended"))

    front.state.retry_budget_for("model").resize(rate_per_s=0.0, capacity=1.0)
    _, other = streams.add_chains(front, [pausing], [answer])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert len(other.arrivals) == 1


def test_a_server_error_is_not_passed_on_while_another_attempt_is_open(front):
    """An earlier attempt has failed already, which ends the retries of 5xx."""

    def failing(sock, arrival):
        fakes.until(lambda: third.arrivals)
        fakes.responding(b"oops", b"500 Oops")(sock, arrival)

    def answering(sock, arrival):
        fakes.until(lambda: streams.decisions(front, "standby_adopted"))
        fakes.streaming(1, _LAST)(sock, arrival)

    streams.set_routes(front, max_attempts=3)
    streams.add_chains(front, [fakes.resetting], [failing])
    third = front.add(
        "c1",
        answering,
        service="model",
        layers=(0, 8),
        failure_domain="c",
    )
    status, _, body = _ask(front)
    assert (status, body) == (200, streams.events(1, _LAST))


def test_the_second_attempt_is_awaited_after_the_first_broke(front):
    """No third one is sent while it may still answer."""

    def breaking(sock, arrival):
        pause = _until_arrived(front, 2)
        fakes.streaming(1, 3, end=False, after=lambda *_: pause())(
            sock, arrival
        )

    def resumed(sock, arrival):
        first.closed.wait(fakes.WAIT_S)
        gevent.sleep(0.05)
        fakes.streaming(4, _LAST)(sock, arrival)

    first, other = streams.add_chains(front, [breaking], [resumed])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert (len(first.arrivals), len(other.arrivals)) == (1, 1)


def test_a_third_attempt_starts_when_the_second_is_silent_too(front):
    """Several engines crash together."""
    streams.set_routes(front, max_attempts=3)
    streams.add_chains(front, [_stuck_after(3)], [fakes.silent])
    third = front.add(
        "c1",
        fakes.streaming(4, _LAST),
        service="model",
        layers=(0, 8),
        failure_domain="c",
    )
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert len(third.arrivals) == 1
    assert all(b.closed.wait(fakes.WAIT_S) for b in front.backends)


def test_attempts_beside_each_other_stay_within_the_limit_of_the_route(front):
    """A route permits two backend servers for each request."""
    streams.add_chains(front, [_stuck_after(3)], [fakes.silent])
    front.add("c1", fakes.silent, service="model", layers=(0, 8))
    assert _ask(front, patience_ms="1200")[2] is None
    assert sum(len(b.arrivals) for b in front.backends) == 2
    (refused,) = streams.decisions(front, "standby_refused")
    assert refused.reason == "no chain"


def test_an_attempt_that_is_still_connecting_counts_for_the_limit(
    front, monkeypatch
):
    """A link is slow, and a third attempt is considered meanwhile."""
    streams.add_chains(front, [_stuck_after(3)], [fakes.silent])
    for name in ("c1", "d1"):
        front.add(name, fakes.silent, service="model", layers=(0, 8))
    connect = http_connection.connect

    def connect_slowly(address, *, timeout_s):
        if front.backends[0].arrivals:
            gevent.sleep(0.35)
        return connect(address, timeout_s=timeout_s)

    monkeypatch.setattr(http_connection, "connect", connect_slowly)
    assert _ask(front, patience_ms="1200")[2] is None
    assert sum(len(b.arrivals) for b in front.backends) == 2


def test_a_stream_that_may_run_once_gets_no_second_attempt(front):
    pausing = streams.pausing(3, last=_LAST, pause=lambda: gevent.sleep(0.8))
    first, other = streams.add_chains(front, [pausing], [pausing])
    assert _ask(front, "once")[2] == streams.events(1, _LAST)
    assert len(first.arrivals) + len(other.arrivals) == 1


def test_a_stage_known_to_be_faulty_is_replaced_at_once(front, monkeypatch):
    """The first stage stays the same where no other one holds its layers."""
    monkeypatch.setattr(stall_actions, "STANDBY_SILENCE_S", 60.0)
    down = front.state.platform.engines.down

    def crash(sock, arrival):
        down.add(front.state.fleet.get("a2").address)
        fakes.silent(sock, arrival)

    script = streams.resuming(
        fakes.streaming(1, 6, pause_s=0.02, after=crash), last=_LAST
    )
    first = front.add("a1", script, service="model", layers=(0, 4))
    for name in ("a2", "a3"):
        front.add(name, fakes.silent, service="model", layers=(4, 8))
    streams.add_reports(front)
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert len(first.arrivals) == 2
    assert b"a3" in first.arrivals[1].headers[b"chain"]


def test_a_fault_in_a_second_attempt_does_not_end_the_first(
    front, monkeypatch, caplog
):
    def fail(*_, **__):
        raise RuntimeError("fault")

    def pause():
        monkeypatch.setattr(
            "dotterelgrade_front.upstream.read_response_head", fail
        )
        fakes.until(lambda: streams.decisions(front, "standby_ended"))

    pausing = streams.pausing(3, last=_LAST, pause=pause)
    front.state.retry_budget_for("model").resize(rate_per_s=0.0, capacity=1.0)
    streams.add_chains(front, [pausing], [fakes.silent])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert "standby failed" in caplog.messages


def test_refusals_of_a_second_attempt_are_recorded_once(front):
    """A pause without a chain for a second attempt fills no log."""
    pausing = streams.pausing(3, last=_LAST, pause=lambda: gevent.sleep(1.0))
    front.add("a1", pausing, service="model", layers=(0, 8))
    assert _ask(front)[2] == streams.events(1, _LAST)
    (refused,) = streams.decisions(front, "standby_refused")
    assert refused.reason == "no chain"


class _UnsteadyEngine:
    """An engine that pauses, breaks off, refuses or fails at random."""

    def __init__(self, rng):
        self._rng = rng
        self.running = 0
        self.served = 0

    def __call__(self, sock, arrival):
        if self._rng.random() < 0.15:
            fakes.refusing()(sock, arrival)
            return
        self.served += 1
        self.running += 1
        try:
            with contextlib.suppress(OSError):
                self._serve(sock, arrival)
        finally:
            self.running -= 1

    def _serve(self, sock, arrival):
        if self._rng.random() < 0.1:
            fakes.responding(b"oops", b"500 Oops")(sock, arrival)
            return
        self._pause(sock)
        number = int(arrival.headers[b"after"] or 0)
        fakes.streaming(number + 1, number, end=False)(sock, arrival)
        while number < _LAST:
            if self._rng.random() < 0.08:
                return
            number += 1
            self._pause(sock)
            streams.send_events(sock, number, number)
        sock.sendall(b"0\r\n\r\n")

    def _pause(self, sock):
        choice = self._rng.random()
        if choice < 0.04:
            fakes.silent(sock, None)
        elif choice < 0.2:
            gevent.sleep(self._rng.uniform(0.05, 0.5))


def _raw_response(front, path):
    with front.send(
        f"/{path}/x",
        method="POST",
        body=b"p",
        patience_ms="2000",
        connection="close",
    ) as sock:
        data = b""
        while piece := sock.recv(65536):
            data += piece
    return data


@pytest.mark.parametrize("path", ["stream", "once"])
@pytest.mark.parametrize("seed", range(3))
def test_unsteady_engines_give_each_caller_one_sequence_of_events(
    front, path, seed
):
    """Attempts are replaced in any order, and no work is left behind."""
    engine = _UnsteadyEngine(random.Random(seed))
    streams.set_routes(front, max_attempts=3)
    for name in ("a1", "b1", "c1"):
        front.add(
            name,
            engine,
            service="model",
            layers=(0, 8),
            failure_domain=name[0],
        )
    streams.add_reports(front)
    calls = [gevent.spawn(_raw_response, front, path) for _ in range(12)]
    gevent.joinall(calls, timeout=20, raise_error=True)
    for call in calls:
        data = call.get(block=False)
        ids = [int(number) for number in re.findall(rb"id: (\d+)", data)]
        assert ids == list(range(1, len(ids) + 1))
        assert ids or data.split()[1] in (b"500", b"502", b"503", b"504")
        if data.endswith(b"0\r\n\r\n"):
            assert len(ids) == _LAST
    fakes.until(lambda: not engine.running and not front.state.load.in_flight)
    assert not front.state.load.own
    if path == "once":
        assert engine.served <= len(calls)


def test_an_empty_second_answer_does_not_end_a_stream_that_goes_on(front):
    """It was taken for the end, and the caller got a part as complete."""
    pausing = streams.pausing(3, last=_LAST, pause=_until_standby_ended(front))
    streams.add_chains(
        front, [pausing], [streams.resuming(fakes.silent, last=3)]
    )
    assert _ask(front)[2] == streams.events(1, _LAST)


def test_an_empty_second_answer_does_not_end_a_stream_before_its_first_event(
    front,
):
    """The caller got an empty stream as complete."""

    def slow(sock, arrival):
        _until_standby_ended(front)()
        fakes.streaming(1, _LAST)(sock, arrival)

    streams.add_chains(front, [slow], [fakes.streaming(1, 0)])
    status, _, body = _ask(front)
    assert (status, body) == (200, streams.events(1, _LAST))


def test_an_empty_second_answer_ends_a_stream_whose_first_attempt_broke(front):
    """The break came just before the end, and nothing is left to send."""

    def breaking(sock, arrival):
        pause = _until_standby_ended(front)
        fakes.streaming(1, 3, end=False, after=lambda *_: pause())(
            sock, arrival
        )

    streams.add_chains(
        front, [breaking], [streams.resuming(fakes.silent, last=3)]
    )
    assert _ask(front)[2] == streams.events(1, 3)


def test_an_empty_second_answer_ends_a_stream_that_a_stop_would_cut(front):
    """The end of the first answer is lost, and the grace period is over first.

    The stream was cut behind its last event (soak, seed 4261609737).
    """
    streams.set_routes(front, max_attempts=2, timeout_s=10 * fakes.WAIT_S)
    streams.add_chains(
        front, [_stuck_after(3)], [streams.resuming(fakes.silent, last=3)]
    )
    now = time.monotonic()
    front.state.mark_leaving(
        graceful_stop.GracefulStop(
            deregistered_at=now + fakes.WAIT_S, aborts_at=now + 1.5
        )
    )
    assert _ask(front)[2] == streams.events(1, 3)
    assert not streams.decisions(front, "stream_broken")


def _until_standby_ended(front):
    """Returns a pause until some time after the second attempt has ended."""

    def pause():
        _until_arrived(front, 2)()
        gevent.sleep(0.4)

    return pause


@pytest.mark.parametrize("resumed", ["silent", "refusing", "resetting"])
def test_one_server_gets_few_attempts_of_one_stream(front, resumed):
    """Each one reserved memory and used up a retry that others needed."""
    answers = {
        "silent": fakes.streaming(1, 0, after=fakes.silent),
        "refusing": fakes.refusing(),
        "resetting": fakes.resetting,
    }

    def script(sock, arrival):
        first = fakes.streaming(1, 2, after=fakes.silent)
        (answers[resumed] if _resumed(arrival) else first)(sock, arrival)

    first, _ = streams.add_mute_stages(
        front, script, others=("b2", "c2", "d2", "e2")
    )
    _ask(front)
    assert 1 < len(first.arrivals) <= 6


def test_engines_that_all_pause_do_not_replace_each_other_for_ever(front):
    """Each sent one event, took over, and paused for as long in turn."""

    def pausing(sock, arrival):
        after = int(arrival.headers[b"after"] or 0)
        until = max(after + 1, 3)
        streams.pausing(until, last=_LAST, pause=lambda: gevent.sleep(0.35))(
            sock, arrival
        )

    streams.set_routes(front, timeout_s=10.0)
    backends = streams.add_chains(front, [pausing], [pausing])
    assert _ask(front)[2] == streams.events(1, _LAST)
    assert sum(len(backend.arrivals) for backend in backends) <= 3


def test_a_refused_attempt_does_not_uncount_a_server_that_has_another_one(
    front,
):
    """The request then ran at more servers than `max_attempts` permits."""
    streams.set_routes(front, max_attempts=1)
    refused = []

    def script(sock, arrival):
        if len(first.arrivals) == 1:
            _until_arrived(front, 2)()
            fakes.refusing()(sock, arrival)
            refused.append(arrival)
        else:
            fakes.until(lambda: refused)
            gevent.sleep(0.3)
            fakes.resetting(sock, arrival)

    first, _ = streams.add_mute_stages(front, script, others=("b2",))
    other = front.add(
        "c1",
        fakes.streaming(1, _LAST),
        service="model",
        layers=(0, 8),
        failure_domain="c",
    )
    _ask(front)
    assert len(first.arrivals) >= 2
    assert not other.arrivals
