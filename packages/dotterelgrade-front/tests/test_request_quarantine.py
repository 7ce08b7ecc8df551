import dataclasses

import front_fakes as fakes
import gevent
import pytest
import stream_fakes as streams

from dotterelgrade import fingerprint
from dotterelgrade import quarantine
from dotterelgrade import suspect_state

_SERVERS = 8


def _ask(front, segments, *, path="stream", number=1):
    return front.ask(
        f"/{path}/x",
        method="POST",
        body=b"p",
        segments=segments,
        request_id=f"r{number}",
    )


def _add_engines(front, *scripts):
    backends = [
        front.add(f"m{n}", *scripts, service="model", layers=(0, 8))
        for n in range(_SERVERS)
    ]
    streams.add_reports(front)
    return backends


def _restart_all(front):
    """Lists all servers as new processes."""
    for server in front.state.fleet.servers:
        front.state.fleet.put(
            dataclasses.replace(server, started_ms=server.started_ms + 1)
        )
        front.state.exclusions.reset(server.id)


def _arrivals(backends):
    return sum(len(backend.arrivals) for backend in backends)


def _settle():
    """Waits until requests of suspects are sent again."""
    gevent.sleep(quarantine.SETTLE_S)


def _suspect(front, segments):
    """Lets two servers crash under a request."""
    assert _ask(front, segments)[0] == 502
    _restart_all(front)
    _settle()


def _quarantine(front):
    """Lets three servers crash under requests with one segment."""
    _suspect(front, "bad,1")
    assert _ask(front, "bad,2", number=2)[0] == 502
    _settle()


def test_a_suspected_request_is_sent_only_once(front):
    backends = _add_engines(front, fakes.resetting)
    _suspect(front, "bad,1")
    assert _arrivals(backends) == 2
    assert _ask(front, "bad,2")[0] == 502
    assert _arrivals(backends) == 3


def test_a_suspected_request_waits_for_what_others_have_seen(front):
    """It is told to come back, since other fronts may know of more crashes."""
    backends = _add_engines(front, fakes.resetting)
    assert _ask(front, "bad,1")[0] == 502
    status, headers, _ = _ask(front, "bad,2")
    assert (status, float(headers[b"retry-after"])) == (503, 0.5)
    assert _arrivals(backends) == 2


def test_suspected_requests_are_sent_one_at_a_time(front):
    released = gevent.event.Event()

    def slow(sock, arrival):
        released.wait(fakes.WAIT_S)
        fakes.streaming(1, 9)(sock, arrival)

    backends = _add_engines(front, fakes.resetting, slow)
    for number in range(_SERVERS):
        # Two of them crash; the others are slow from their first request on.
        backends[number].scripts[:] = [fakes.resetting, slow]
    _suspect(front, "bad,1")
    for backend in backends:
        backend.scripts[:] = [slow]
    first = gevent.spawn(_ask, front, "bad,2", number=2)
    fakes.until(lambda: _arrivals(backends) == 3)
    status, headers, _ = _ask(front, "bad,3", number=3)
    assert (status, float(headers[b"retry-after"])) == (503, 0.5)
    assert _arrivals(backends) == 3
    released.set()
    assert first.get()[0] == 200
    # It was served, so that nothing speaks against it any longer.
    assert _ask(front, "bad,4", number=4)[0] == 200


def test_a_refused_request_names_the_crashes_that_led_there(front):
    _add_engines(front, fakes.resetting)
    _quarantine(front)
    status, _, body = _ask(front, "bad,9", number=9)
    assert status == 503
    assert b'"kind":"quarantined"' in body.replace(b" ", b"")
    row = streams.decisions(front, "request_held_back")[-1]
    assert row.request_id == "r9"
    assert len(row.details["crashes"]) >= 3
    assert "under r" in row.details["crashes"][0]


def test_what_is_known_of_a_fingerprint_is_recorded_as_it_changes(front):
    _add_engines(front, fakes.resetting)
    _quarantine(front)
    assert _ask(front, "bad,3")[0] == 503
    (bad,) = fingerprint.of_segments("model", ["bad"])
    for name in ("request_suspected", "request_quarantined"):
        rows = streams.decisions(front, name)
        assert [r.details["fingerprint"] for r in rows].count(bad) == 1
    assert (
        b"front_quarantined_fingerprints 1.0" in front.state.metrics.as_text()
    )


def _cut_chains(front):
    """Adds chains of which each breaks a stream off, and the last one ends."""
    cut = fakes.streaming(1, 2, end=False)
    cut_again = fakes.streaming(3, 3, end=False)
    streams.add_chains(front, [cut], [cut_again])
    rest = streams.resuming(fakes.streaming(1, 12), last=12)
    front.add("c1", rest, service="model", layers=(0, 8))
    streams.set_routes(front, max_attempts=3)
    streams.add_reports(front)


def test_a_begun_stream_goes_on_though_servers_crashed_under_it(front):
    """Under itself alone, which may be their fault as well."""
    _cut_chains(front)
    status, _, body = _ask(front, "shared,own")
    assert (status, body) == (200, streams.events(1, 12))


def test_a_begun_stream_ends_if_servers_crashed_under_others_like_it(front):
    """Each that is resumed would end a further one."""
    _cut_chains(front)
    front.state.quarantine.rules.note_crash(
        suspect_state.ServerProcess(server_id="x", started_ms=1),
        fingerprint.of_segments("model", ["shared"]),
        request=f"{1:016x}",
        sent_at=0.0,
        request_id="r0",
    )
    assert _ask(front, "shared,own")[2] is None


def _set_scripts(backends, script):
    for backend in backends:
        backend.scripts[:] = [script]


def test_a_served_prompt_is_not_suspected_when_servers_crash(front):
    """Others with it are served between the crashes."""
    backends = _add_engines(front, fakes.streaming(1, 9))
    for number in range(0, 12, 2):
        _set_scripts(backends, fakes.streaming(1, 9))
        assert _ask(front, f"shared,{number}", number=number)[0] == 200
        _set_scripts(backends, fakes.resetting)
        assert _ask(front, f"shared,{number + 1}", number=number + 1)[0] == 502
        _restart_all(front)
    _set_scripts(backends, fakes.streaming(1, 9))
    assert _ask(front, "shared,99", number=99)[0] == 200


def test_a_prompt_that_was_served_until_now_is_refused_in_the_end(front):
    """No crash counted for 30 s after a service (BUDGET)."""
    backends = _add_engines(front, fakes.streaming(1, 9))
    assert _ask(front, "bad,1")[0] == 200
    _set_scripts(backends, fakes.resetting)
    statuses = []
    for number in range(2, 8):
        statuses.append(_ask(front, f"bad,{number}", number=number)[0])
        _restart_all(front)
    assert statuses[:2] == [502, 502]
    assert statuses[-2:] == [503, 503]


@pytest.mark.parametrize(
    "status", [b"500 Error", b"504 Timeout", b"400 Bad"], ids=lambda s: s[:3]
)
def test_an_error_acquits_no_prompt_that_crashes_servers(front, status):
    """A server that fails before it writes an answer has shown nothing."""
    backends = _add_engines(front, fakes.resetting)
    _quarantine(front)
    (bad,) = fingerprint.of_segments("model", ["bad"])
    front.state.quarantine.rules.grant_probe(bad)
    for backend in backends:
        backend.scripts[:] = [fakes.responding(status=status)]
    probed = _ask(front, "bad,3", path="once", number=3)
    assert probed[0] == int(status[:3])
    assert _ask(front, "bad,4", number=4)[0] == 503


def test_an_error_shields_no_prompt_from_the_crashes_that_follow(front):
    """Requests with it went on for 30 s after a 500 (BUDGET)."""
    backends = _add_engines(front, fakes.responding(status=b"500 Error"))
    assert _ask(front, "bad,0", path="once")[0] == 500
    for backend in backends:
        backend.scripts[:] = [fakes.resetting]
    _restart_all(front)
    _quarantine(front)
    assert _ask(front, "bad,9", number=9)[0] == 503


@pytest.mark.parametrize(
    ("status", "acquits"), [(b"500 Error", False), (b"404 None", True)]
)
def test_a_server_error_acquits_no_plain_call(front, status, acquits):
    """Another status is what the service answers to this call."""
    backend = front.add("p1", fakes.resetting)
    front.ask("/unsafe/x", method="POST", body=b"p")
    assert front.state.quarantine.rules.suspects
    backend.scripts[:] = [fakes.responding(status=status)]
    assert front.ask("/unsafe/x", method="POST", body=b"p")[0] == int(
        status[:3]
    )
    assert bool(front.state.quarantine.rules.suspects) is not acquits


def test_the_end_of_a_stream_acquits_no_prompt(front):
    """The server that wrote it crashed; the next one only ended it."""
    cut = fakes.streaming(1, 2, end=False)
    rest = streams.resuming(fakes.streaming(3, 2), last=2)
    streams.add_chains(front, [cut], [rest])
    streams.add_reports(front)
    status, _, body = _ask(front, "bad,1")
    assert (status, body) == (200, streams.events(1, 2))
    assert front.state.quarantine.rules.suspects


def test_a_stream_that_broke_off_late_speaks_against_no_prompt(front):
    """Its server has shown that it can answer."""
    cut = fakes.streaming(1, 9, end=False)
    _add_engines(front, cut)
    for number in range(6):
        _ask(front, f"long,{number}", path="once", number=number)
        _restart_all(front)
    assert not front.state.quarantine.rules.suspects


@pytest.mark.parametrize("path", ["stream", "once"])
def test_an_answer_without_framing_that_ends_empty_is_a_crash(front, path):
    def cut(sock, arrival):
        del arrival
        sock.sendall(
            b"HTTP/1.1 200 OK\r\nseal: 1\r\nrequest-id: r1\r\n"
            b"content-type: text/event-stream\r\n\r\n"
        )

    _add_engines(front, cut)
    _ask(front, "bad,1", path=path)
    assert front.state.quarantine.rules.suspects


class _LastStages:
    """First stages whose streams stall as the last stage of the chain ends."""

    def __init__(self, front, *, count=8):
        self._front = front
        self.arrivals = []
        self.crashes = 0
        for number in range(count):
            front.add(f"a{number}", self, service="model", layers=(0, 4))
            front.add(
                f"z{number}", fakes.silent, service="model", layers=(4, 8)
            )
        streams.add_reports(front)

    def restart(self):
        """Lists the engines that ended as new processes."""
        self._front.state.platform.engines.down.clear()
        _restart_all(self._front)

    def __call__(self, sock, arrival):
        self.arrivals.append(arrival.headers[b"segments"])
        if b"bad" not in arrival.headers[b"segments"]:
            fakes.streaming(1, 9)(sock, arrival)
            return
        last = arrival.headers[b"chain"].decode().split(",")[-1]
        server = self._front.state.fleet.get(last.partition("=")[0])
        self._front.state.platform.engines.down.add(server.address)
        self.crashes += 1
        fakes.silent(sock, arrival)


def test_a_prompt_that_crashes_the_last_stage_of_each_chain_is_refused(front):
    """The first stage stays, so that no connection is lost (BUDGET)."""
    engines = _LastStages(front)
    streams.set_routes(front, timeout_s=1.0)
    statuses = []
    for number in range(6):
        statuses.append(_ask(front, f"shared,bad,{number}", number=number)[0])
        engines.restart()
        assert _ask(front, f"shared,{number}", number=50 + number)[0] == 200
        _settle()
    assert statuses[-2:] == [503, 503]
    assert engines.crashes <= 4


def test_a_stage_that_ended_before_the_request_is_not_put_down_to_it(front):
    """It was known to be dead, whatever is asked since."""
    rules = front.state.quarantine.rules
    process = suspect_state.ServerProcess(server_id="z0", started_ms=1)
    for number, sent_at in enumerate((0.0, 1e9)):
        rules.note_found_dead(
            process,
            [f"{number:016x}"],
            request=f"{number:016x}",
            sent_at=sent_at,
            request_id=f"r{number}",
        )
    assert rules.suspects == (f"{0:016x}",)
