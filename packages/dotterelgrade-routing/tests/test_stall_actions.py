import pytest

from dotterelgrade_routing import stall_actions

_ACTION = stall_actions.StallAction
_LONG_S = stall_actions.STANDBY_SILENCE_S + 0.1


def _actions(**changes):
    inputs = {
        "faulty": False,
        "silent_s": 0.2,
        "repeatable": True,
        "prefers_standby": False,
        **changes,
    }
    return stall_actions.stall_actions(**inputs)


def test_a_short_silence_without_a_faulty_stage_is_awaited():
    """Queues and long prompts are silent, too."""
    assert _actions() == ()


def test_a_long_silence_starts_a_second_attempt():
    """A frozen engine whose report is missing looks like a busy one."""
    assert _actions(silent_s=_LONG_S) == (_ACTION.STANDBY,)


def test_a_faulty_stage_is_acted_upon_at_once():
    """Load pattern: a stage crashes and all its streams are silent."""
    assert _actions(faulty=True) == (_ACTION.REROUTE, _ACTION.STANDBY)


def test_a_second_attempt_comes_first_while_retries_are_plentiful():
    actions = _actions(faulty=True, prefers_standby=True)
    assert actions == (_ACTION.STANDBY, _ACTION.REROUTE)


@pytest.mark.parametrize("silent_s", [0.2, _LONG_S])
@pytest.mark.parametrize("faulty", [True, False])
def test_a_request_that_may_run_once_gets_no_second_attempt(silent_s, faulty):
    actions = _actions(faulty=faulty, silent_s=silent_s, repeatable=False)
    assert _ACTION.STANDBY not in actions


def test_impossible_actions_are_tried_less_often_as_the_silence_lasts():
    """Load pattern: hundreds of streams wait for the same lost layers."""
    delays = [stall_actions.retry_delay_s(s) for s in (0.0, 0.5, 1.5, 60.0)]
    assert delays == sorted(delays)
    assert delays[0] == stall_actions.MIN_RETRY_S
    assert delays[-1] == stall_actions.MAX_RETRY_S


def test_the_awaited_silence_grows_with_each_replaced_attempt():
    """Engines that all pause must not replace each other for ever."""
    assert _actions(silent_s=_LONG_S, replaced=1) == ()
    long_s = 2 * stall_actions.STANDBY_SILENCE_S + 0.1
    assert _actions(silent_s=long_s, replaced=1) == (_ACTION.STANDBY,)
    assert _actions(faulty=True, replaced=9)


def test_second_attempts_at_one_server_come_ever_more_seldom():
    """Load pattern: all later stages of a chain are mute."""
    starts, silent_s = [0.15], 0.15
    while silent_s < 3.0:
        silent_s += 0.01
        since_start_s = silent_s - starts[-1]
        if stall_actions.may_start_again(
            since_start_s=since_start_s, silent_s=silent_s
        ):
            starts.append(silent_s)
    assert len(starts) <= 5
