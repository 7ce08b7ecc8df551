import pytest

from dotterelgrade_routing import crossing_health


@pytest.fixture
def health():
    return crossing_health.CrossingHealth()


def test_an_answer_that_is_late_stops_the_domain_before_it_ends(health):
    """A link is cut while requests over it wait for their answers."""
    crossing = health.begin("b", now=0.0)
    health.note_connected(crossing, now=0.01)
    assert health.usable("b", now=1.0)
    assert not health.usable("b", now=1.1)
    assert health.usable("c", now=1.1)


def test_one_failure_between_successes_does_not_stop_the_domain(health):
    for start in range(4):
        health.note_unconnected(health.begin("b", now=start), now=start)
        sound = health.begin("b", now=start)
        health.note_connected(sound, now=start)
        health.note_answered(sound, now=start)
    assert health.usable("b", now=4.0)


@pytest.mark.parametrize("succeeds", [True, False])
def test_a_probe_decides_whether_the_domain_is_used_again(health, succeeds):
    for _ in range(2):
        health.note_unconnected(health.begin("b", now=0.0), now=0.4)
    assert not health.take_probe("b", now=2.3)
    assert health.take_probe("b", now=2.4)
    assert not health.take_probe("b", now=2.5)
    probe = health.begin("b", now=2.4)
    if succeeds:
        health.note_connected(probe, now=2.5)
        health.note_answered(probe, now=2.6)
    else:
        health.note_unconnected(probe, now=2.8)
    assert health.usable("b", now=2.9) is succeeds
    assert not health.take_probe("b", now=4.7)
    assert health.take_probe("b", now=4.8) is not succeeds


def test_an_answer_of_before_the_stop_does_not_end_it(health):
    old = health.begin("b", now=0.0)
    for _ in range(2):
        health.note_unconnected(health.begin("b", now=0.1), now=0.5)
    health.note_answered(old, now=0.6)
    assert not health.usable("b", now=0.7)


def test_a_late_answer_of_before_the_stop_does_not_stop_a_sound_link(health):
    """Answers held up by a cut link arrive after its probe has succeeded."""
    old = health.begin("b", now=0.0)
    for _ in range(2):
        health.note_unconnected(health.begin("b", now=0.1), now=0.4)
    assert health.take_probe("b", now=2.4)
    probe = health.begin("b", now=2.4)
    health.note_connected(probe, now=2.5)
    health.note_answered(probe, now=2.6)
    health.note_answered(old, now=2.7)
    assert health.usable("b", now=2.8)
