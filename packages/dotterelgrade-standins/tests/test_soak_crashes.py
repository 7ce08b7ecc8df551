"""What a soak allows fronts to do with prompts under which engines crash."""

import time

import pytest

from dotterelgrade_standins import soak_crashes
from dotterelgrade_standins import soak_evidence

_PART = soak_evidence.Part
_SEGMENTS = ("shared", "bad", "own")


class _Scene:
    """A bad segment, and requests to front "f"."""

    def __init__(self, clock):
        self.clock = clock
        self.evidence = soak_evidence.Evidence()
        self.crashes = soak_crashes.PromptCrashes(self.evidence)
        self.bad = soak_crashes.BadSegment(name="bad", first="shared")
        self.crashes.add(self.bad)
        self.numbers = 0

    @property
    def rules(self):
        return [violation.rule for violation in self.evidence.violations]

    def wait(self, for_s):
        self.clock[0] += for_s

    def send(self, front="f"):
        self.numbers += 1
        sent = soak_evidence.Sent(
            request_id=f"r{self.numbers}",
            front=front,
            once=False,
            allowed=False,
            workspace="",
            timeout_s=6.0,
            sent_at=time.monotonic(),
        )
        self.evidence.sent[sent.request_id] = sent
        return sent

    def crash(self, times=1):
        for _ in range(times):
            self.crashes.crashed(_SEGMENTS)

    def arrive(self, times=1, **rest):
        for _ in range(times):
            sent = self.send(**rest)
            self.crashes.arrived(sent.request_id, _SEGMENTS)

    def serve(self, times, *, first="shared", served=True):
        for _ in range(times):
            self.crashes.served(self.send(), first, served=served)


@pytest.fixture
def scene(monkeypatch):
    times = [100.0]
    monkeypatch.setattr(soak_evidence.time, "monotonic", lambda: times[0])
    return _Scene(times)


def test_few_arrivals_after_the_fifth_crash_are_borne(scene):
    scene.crash(5)
    scene.wait(3.1)
    scene.arrive(soak_crashes.MOST_ARRIVALS)
    assert scene.rules == []
    scene.arrive(5)
    assert scene.rules == ["budget"]


def test_arrivals_count_only_once_fronts_could_learn(scene):
    scene.arrive(20)
    scene.crash(4)
    scene.wait(10.0)
    scene.arrive(20)
    scene.crash(1)
    scene.wait(2.9)
    scene.arrive(20)
    assert scene.rules == []


@pytest.mark.parametrize(
    ("part", "name", "counts"),
    [
        (_PART.FRONT, "f", False),
        (_PART.FRONT, "g", True),
        (_PART.STORE, "", False),
        (_PART.SERVER, "s", True),
        (_PART.SERVER, "", True),
    ],
)
def test_what_keeps_a_front_from_learning_excuses_it(scene, part, name, counts):
    scene.crash(5)
    scene.wait(3.1)
    scene.evidence.disturb(part, name)
    scene.wait(0.1)
    scene.arrive(5)
    assert bool(scene.rules) is counts


def _sound_beside(scene, *, served, **rest):
    """Sound requests before the crashes, and beside the bad ones."""
    scene.serve(40)
    scene.wait(1.0)
    scene.crash(5)
    scene.wait(6.1)
    scene.serve(served, **rest)
    scene.serve(40 - served, served=False, **rest)
    scene.wait(0.1)
    scene.bad.ended_at = time.monotonic()
    scene.crashes.conclude()


@pytest.mark.parametrize(("served", "rules"), [(21, []), (19, ["lost"])])
def test_sound_requests_are_served_half_as_often(scene, served, rules):
    _sound_beside(scene, served=served)
    assert scene.rules == rules


def test_requests_with_another_first_segment_are_not_compared(scene):
    _sound_beside(scene, served=0, first="other")
    assert scene.rules == []


def test_a_mass_crash_beside_it_excuses_what_is_not_served(scene):
    scene.evidence.disturb(_PART.SERVER)
    _sound_beside(scene, served=0)
    assert scene.rules == []
