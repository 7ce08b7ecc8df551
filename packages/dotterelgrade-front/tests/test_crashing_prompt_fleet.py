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
# From then on the users' rule counts arrivals, s after the fifth crash.
_STABILITY_S = 3.0
_RULE_OBSERVED_S = 2.0
_PAUSE_S = 0.05
_DOWN_S = 0.3


class Fleet:
    """Fronts and engines, with a caller that asks at all fronts in turn."""

    def __init__(self, settings, platform):
        self._platform = platform
        self._numbers = itertools.count()
        self._fronts = {}
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
        """Sends a request to a front; returns the status, or None."""
        settings = self.all_settings[number]
        host, _, port = settings.callers_address.rpartition(":")
        rows = (
            f"POST /stream/x HTTP/1.1\r\nhost: shop.example\r\nkey: secret\r\n"
            f"request-id: r{next(self._numbers)}\r\nsegments: {segments}\r\n"
            "content-length: 1\r\nconnection: close\r\n\r\np"
        )
        with socket.create_connection((host, int(port)), timeout=9) as sock:
            sock.sendall(rows.encode())
            return fakes.read_response(sock)[0]

    def ask_bad(self):
        """Sends one bad request to each front."""
        for number in list(self._fronts):
            segments = crash_fakes.bad_segments(next(self._numbers))
            self.ask(number, segments)

    def ask_bad_until_the_rule_is_observed(self):
        """Goes on asking while the rule counts arrivals, or nothing ends."""
        until = time.monotonic() + _STABILITY_S + _RULE_OBSERVED_S
        while time.monotonic() < until:
            self.ask_bad()
            gevent.sleep(_PAUSE_S)


@pytest.fixture
def fleet(settings, platform):
    made = Fleet(settings, platform)
    for number in range(_FRONTS):
        made.start(number)
    fakes.until(made.all_linked)
    yield made
    made.stop()


def _check_the_rule(fleet):
    assert fleet.engines.crashes >= 1
    arrivals = fleet.engines.arrivals_after_the_fifth(later_s=_STABILITY_S)
    assert arrivals <= crash_fakes.MOST_AFTER_THE_FIFTH


def test_what_one_front_learns_of_a_bad_prompt_reaches_the_others(fleet):
    fleet.ask_bad_until_the_rule_is_observed()
    _check_the_rule(fleet)


def test_a_bad_prompt_is_known_while_the_planner_is_lost(fleet):
    fleet.ask(1, crash_fakes.bad_segments(1))
    fleet.kill(0)
    fleet.ask_bad_until_the_rule_is_observed()
    _check_the_rule(fleet)
