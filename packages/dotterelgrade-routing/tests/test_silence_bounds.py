import pytest

from dotterelgrade_routing import silence_bounds


@pytest.mark.parametrize("name", silence_bounds.BOUNDS.names())
def test_each_bound_starts_with_the_longest(name):
    bound = silence_bounds.BOUNDS.make(name)
    assert bound.bound_s == silence_bounds.MAX_BOUND_S


def test_an_unknown_bound_names_the_known_ones():
    with pytest.raises(ValueError, match="fixed, observed"):
        silence_bounds.BOUNDS.make("other")


def test_quick_replies_leave_time_to_resume_within_a_pause():
    """Load pattern: one of ten stages is silent, the others reply in 4 ms.

    A query after 0.09 s, the bound and 0.1 s to read the prompt elsewhere must
    stay below the 0.25 s that a route allows.
    """
    bound = silence_bounds.BOUNDS.make("observed")
    for _ in range(9):
        bound.note_reply(0.004)
    assert 0.09 + bound.bound_s + 0.1 < 0.25


def test_replies_that_were_sent_again_lengthen_the_bound():
    """Load pattern: a link loses packets, and some replies take 0.2 s."""
    bound = silence_bounds.BOUNDS.make("observed")
    for seconds in (0.004, 0.004, 0.21, 0.004, 0.21):
        bound.note_reply(seconds)
    assert bound.bound_s == silence_bounds.MAX_BOUND_S


def test_the_bound_recovers_after_a_loss():
    bound = silence_bounds.BOUNDS.make("observed")
    bound.note_reply(0.21)
    for _ in range(60):
        bound.note_reply(0.004)
    assert bound.bound_s == silence_bounds.MIN_BOUND_S
