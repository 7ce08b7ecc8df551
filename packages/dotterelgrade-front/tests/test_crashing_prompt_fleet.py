"""Requests under which engines end, over several fronts.

They come at any front, so that each sees few of the crashes; what one learns
the others must know in time, whatever else fails then.
"""

import contextlib
import dataclasses
import itertools
import time

import crash_fakes
import front_fakes as fakes
import gevent
from gevent import socket
import pytest
import stream_fakes as streams

from dotterelgrade_front import front as front_lib

_FRONTS = 4
_PLANNER = 0
# From then on the users' rule counts arrivals, s after the fifth crash.
_STABILITY_S = 3.0
_ROUNDS = 4
_PAUSE_S = 0.02
_DOWN_S = 0.3
# A refusal of what is only suspected names a shorter time.
_LONG_S = 1.0
# Reports and snapshots are sent four times a second.
_SHARED_WITHIN_S = 1.0
_MASS_CRASH_PAUSE_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    status: int | None
    retry_after_s: float


class Fleet:
    """Fronts and engines, with a caller that asks at all fronts in turn."""

    def __init__(self, settings, platform):
        self._platform = platform
        self._numbers = itertools.count()
        self._fronts = {}
        self._stopped = False
        platform.documents.put(b"v1", fakes.CONFIGURATION)
        platform.configurations.add("config", b"v1")
        self.all_settings = [
            dataclasses.replace(
                settings,
                node=f"front-{number}",
                callers_address=f"127.0.0.1:{fakes.free_port()}",
                ready_address=f"127.0.0.1:{fakes.free_port()}",
                peer_port=fakes.free_port(),
                metrics_port=fakes.free_port(),
            )
            for number in range(_FRONTS + 2)
        ]
        platform.election.winner = self.all_settings[0].peer_address
        self.engines = crash_fakes.CrashingEngines(
            self._publish, self._withdraw, down_s=_DOWN_S
        )

    @property
    def fronts(self):
        return [front for front, _ in self._fronts.values()]

    def _publish(self, server):
        name = f"{server.id}@{time.monotonic()}".encode()
        self._platform.documents.put(name, server)
        self._platform.backend_servers.add(server.id, name)
        engines = self._platform.engines
        engines.reports[server.address] = streams.report(
            layers=server.layers, started_ms=server.started_ms
        )

    def _withdraw(self, server_id):
        self._platform.backend_servers.add(server_id, b"")

    def start(self, number):
        stack = contextlib.ExitStack()
        settings = self.all_settings[number]
        front = front_lib.Front(settings, platform=self._platform)
        stack.enter_context(front.running())
        self._fronts[number] = (front, stack)
        fakes.until(lambda: front.is_ready and front._state.fleet.servers)

    def kill(self, number):
        _, stack = self._fronts.pop(number)
        stack.close()

    def stop(self):
        for number in list(self._fronts):
            self.kill(number)
        self.engines.stop()

    def all_linked(self):
        return all(
            len(front._state.fronts) == len(self._fronts)
            for front in self.fronts
        )

    def ask(self, number, segments):
        """Sends a request to a front; returns its answer."""
        settings = self.all_settings[number]
        host, _, port = settings.callers_address.rpartition(":")
        rows = (
            f"POST /stream/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
            f"request-id: r{next(self._numbers)}\r\nsegments: {segments}\r\n"
            "content-length: 1\r\nconnection: close\r\n\r\np"
        )
        with socket.create_connection((host, int(port)), timeout=9) as sock:
            sock.sendall(rows.encode())
            status, headers, _ = fakes.read_response(sock)
        retry_after_s = float(headers.get(b"retry-after", 0.0))
        return Answer(status=status, retry_after_s=retry_after_s)

    def ask_bad(self, number):
        """Sends a bad request to a front; returns its answer."""
        return self.ask(number, crash_fakes.bad_segments(next(self._numbers)))

    def ask_sound(self, number):
        """Sends a sound request to a front; returns its answer."""
        segments = crash_fakes.sound_segments(next(self._numbers))
        return self.ask(number, segments)

    def keep_asking(self, number):
        """Sends sound requests to a front until it is stopped."""
        while not self._stopped:
            self.ask_sound(number)
            gevent.sleep(_PAUSE_S)

    def stop_asking(self):
        self._stopped = True

    def teach(self, number):
        """Sends bad requests to one front until it refuses them for long."""
        with gevent.Timeout(fakes.WAIT_S):
            while self.ask_bad(number).retry_after_s < _LONG_S:
                gevent.sleep(_PAUSE_S)

    def silence_the_store(self):
        """No call of any front to the store is answered."""
        platform = self._platform
        for part in (
            platform.configurations,
            platform.backend_servers,
            platform.suspects,
            platform.election,
        ):
            part.down = True

    def check_that_all_know(self):
        """Asks at all fronts once the rule counts arrivals."""
        gevent.sleep(_STABILITY_S)
        asked_at = time.monotonic()
        for number in list(self._fronts) * _ROUNDS:
            self.ask_bad(number)
            gevent.sleep(_PAUSE_S)
        arrivals = sum(at > asked_at for at in self.engines.bad_arrivals)
        assert arrivals <= crash_fakes.MOST_AFTER_THE_FIFTH


@pytest.fixture
def fleet(settings, platform):
    made = Fleet(settings, platform)
    for number in range(_FRONTS):
        made.start(number)
    fakes.until(made.all_linked)
    yield made
    made.stop()


def test_what_one_front_learns_of_a_bad_prompt_reaches_the_others(fleet):
    fleet.teach(1)
    fleet.check_that_all_know()


def test_fronts_that_see_one_crash_each_know_a_bad_prompt_together(fleet):
    for number in range(_FRONTS):
        fleet.ask_bad(number)
    fleet.check_that_all_know()


def test_a_bad_prompt_is_known_though_the_planner_is_lost(fleet):
    fleet.teach(1)
    fleet.kill(_PLANNER)
    fleet.check_that_all_know()


def test_a_bad_prompt_is_known_though_the_planner_was_lost_before(fleet):
    fleet.kill(_PLANNER)
    fleet.teach(1)
    fleet.check_that_all_know()


def test_a_bad_prompt_is_known_though_the_front_that_saw_it_is_killed(fleet):
    fleet.teach(1)
    gevent.sleep(_SHARED_WITHIN_S)
    fleet.kill(1)
    fleet.check_that_all_know()


def test_a_bad_prompt_is_known_while_the_store_is_silent(fleet):
    fleet.silence_the_store()
    fleet.teach(1)
    fleet.check_that_all_know()


def test_a_bad_prompt_is_known_though_the_planner_saw_it_alone(fleet):
    """It is the planner's own front that is lost afterwards."""
    fleet.teach(_PLANNER)
    gevent.sleep(_SHARED_WITHIN_S)
    fleet.kill(_PLANNER)
    fleet.check_that_all_know()


def test_a_front_that_has_just_started_knows_a_bad_prompt(fleet):
    fleet.teach(1)
    gevent.sleep(_SHARED_WITHIN_S)
    fleet.start(_FRONTS)
    fleet.check_that_all_know()


def test_fronts_that_were_all_replaced_know_a_bad_prompt(fleet):
    fleet.teach(1)
    gevent.sleep(_SHARED_WITHIN_S)
    for number in range(_FRONTS):
        fleet.kill(number)
    for number in (_FRONTS, _FRONTS + 1):
        fleet.start(number)
    fleet.check_that_all_know()


def test_sound_requests_are_served_while_a_bad_prompt_is_known(fleet):
    fleet.teach(1)
    gevent.sleep(_STABILITY_S)
    answers = []
    for number in list(range(_FRONTS)) * _ROUNDS:
        fleet.ask_bad(number)
        answers.append(fleet.ask_sound(number).status)
    assert answers == [200] * len(answers)


def test_no_sound_prompt_is_refused_after_engines_crashed_together(fleet):
    """Three times, with requests of one prompt at all of them."""
    callers = [
        gevent.spawn(fleet.keep_asking, number)
        for number in list(range(_FRONTS)) * _ROUNDS
    ]
    for _ in range(3):
        gevent.sleep(_MASS_CRASH_PAUSE_S)
        fleet.engines.crash_all()
    gevent.sleep(_MASS_CRASH_PAUSE_S)
    fleet.stop_asking()
    gevent.joinall(callers, raise_error=True)
    assert {fleet.ask_sound(n).status for n in range(_FRONTS)} == {200}
    for front in fleet.fronts:
        assert not streams.decisions_of(
            front._state.decisions, "request_quarantined"
        )
