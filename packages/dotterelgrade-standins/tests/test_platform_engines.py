"""Streams and reports of an engine that is silent for a while."""

import contextlib
import random
import time

import gevent
import pytest

from dotterelgrade import http_connection
from dotterelgrade_platform import backend_server_codec
from dotterelgrade_platform import engines as engine_names
from dotterelgrade_platform import headers as header_names
from dotterelgrade_routing import backend_server
from dotterelgrade_routing import layer_range
from dotterelgrade_standins import platform_backends
from dotterelgrade_standins import platform_engines
from dotterelgrade_standins import platform_store
from dotterelgrade_standins import soak_configuration
from dotterelgrade_standins import soak_crashes
from dotterelgrade_standins import soak_evidence

_EVENTS = 5
_LAYERS = soak_configuration.ENGINE.layers


@pytest.fixture
def chain():
    """Two engines that hold the model together."""
    store, evidence = platform_store.PlatformStore(), soak_evidence.Evidence()
    evidence.sent["r"] = soak_evidence.Sent(
        request_id="r",
        front="f",
        once=True,
        allowed=True,
        workspace="",
        timeout_s=5.0,
        sent_at=time.monotonic(),
    )
    crashes = soak_crashes.PromptCrashes(evidence)
    fleet, made = {}, []
    with contextlib.ExitStack() as stack:
        for first, end in ((0, _LAYERS // 2), (_LAYERS // 2, _LAYERS)):
            engine = platform_engines.EngineStandIn(
                backend_server.BackendServer(
                    id=f"engine-{first}",
                    service="model",
                    address="",
                    failure_domain="a",
                    availability=backend_server.Availability.READY,
                    slots=4,
                    accelerator="kind",
                    started_ms=1,
                ),
                engine=soak_configuration.ENGINE,
                fleet=fleet,
                crashes=crashes,
                store=store,
                evidence=evidence,
                rng=random.Random(1),
            )
            stack.enter_context(engine.running("127.0.0.1"))
            engine._held = layer_range.LayerRange(first, end)
            made.append(engine)
        yield made


def _stream(chain, resume_after=0, segments=()):
    hops = ",".join(
        f"{e.server.address}={e._held.first}-{e._held.end}" for e in chain
    )
    head, body = http_connection.call(
        chain[0].server.address,
        method=b"POST",
        target=b"/x",
        headers=[
            *backend_server_codec.client_headers(
                request_id="r",
                time_left_s=5.0,
                api_key="",
                answer_tokens=_EVENTS * platform_engines.TOKENS_PER_EVENT,
                segments=segments,
            ),
            (backend_server_codec.INSTANCE_HEADER, b"engine-0"),
            (header_names.HOPS, hops.encode()),
            (header_names.LAST_EVENT_ID, b"%d" % resume_after),
        ],
        body=b"r",
        timeout_s=5.0,
    )
    return head.status, body


def _events(first):
    return b"".join(
        platform_engines.event_of(b"r", n) for n in range(first, _EVENTS + 1)
    )


def _report(engine):
    return http_connection.call(
        engine.server.address,
        method=b"GET",
        target=engine_names.REPORT_PATH.encode(),
        timeout_s=5.0,
    )


@pytest.mark.parametrize("stage", [0, 1])
@pytest.mark.parametrize("silence", platform_backends.Silence)
def test_a_stream_behind_a_silent_stage_goes_on_whole(chain, stage, silence):
    chain[stage].silence = silence
    streamed = gevent.spawn(_stream, chain)
    gevent.sleep(0.3)
    assert not streamed.ready()
    chain[stage].silence = None
    assert streamed.get(timeout=5.0) == (200, _events(1))


@pytest.mark.parametrize(
    ("silence", "answers"),
    [
        (platform_backends.Silence.REQUESTS, True),
        (platform_backends.Silence.ALL, False),
    ],
)
def test_reports_of_an_engine_whose_requests_stand_still(
    chain, silence, answers
):
    chain[0].silence = silence
    asked = gevent.spawn(_report, chain[0])
    asked.join(0.5)
    assert asked.ready() is answers
    chain[0].silence = None
    assert asked.get(timeout=5.0)[0].status == 200


@pytest.mark.parametrize(
    ("mistake", "answer"),
    [
        (None, (200, _events(3))),
        (platform_backends.Mistake.TEXT, (200, b"internal error\n\n")),
        (platform_backends.Mistake.ERROR, (500, b"internal error\n\n")),
        (platform_backends.Mistake.NOTHING, (200, b"")),
        (platform_backends.Mistake.ANEW, (200, _events(1))),
        (platform_backends.Mistake.GAP, (200, _events(4))),
    ],
)
def test_a_stream_is_resumed_wrongly(chain, mistake, answer):
    chain[0].mistake = mistake
    assert _stream(chain, resume_after=2) == answer


def test_the_last_event_of_a_resumed_stream_is_not_left_out(chain):
    """An end without events can't be told from that of a whole stream."""
    chain[0].mistake = platform_backends.Mistake.GAP
    assert _stream(chain, resume_after=_EVENTS - 1) == (200, _events(_EVENTS))


@pytest.mark.parametrize("moment", platform_engines.CrashMoment)
def test_an_engine_crashes_under_a_bad_segment_and_is_back(chain, moment):
    """Under others it answers; a new process takes the place of the old."""
    first = chain[0]
    first._crashes.add(soak_crashes.BadSegment(name="bad", first="shared"))
    assert _stream(chain, segments=("shared", "own")) == (200, _events(1))
    first._rng.choice = lambda _: moment
    with pytest.raises(http_connection.LostConnectionError):
        _stream(chain, segments=("shared", "bad", "own"))
    assert not first.alive
    with gevent.Timeout(5.0):
        while not first.alive:
            gevent.sleep(0.05)
    assert first.server.id == "engine-0.1"
    (bad,) = first._crashes.bad
    assert len(bad.crashed_at) == 1


def test_a_stream_without_framing_ends_with_its_connection(chain):
    chain[0].unframed = True
    assert _stream(chain) == (200, _events(1))


def test_a_stream_without_framing_that_breaks_off_is_reset(chain):
    """Else it would look whole."""
    chain[0].unframed = True
    streamed = gevent.spawn(_stream, chain)
    gevent.sleep(0.05)
    chain[0].crash()
    with pytest.raises(http_connection.LostConnectionError):
        streamed.get(timeout=5.0)
