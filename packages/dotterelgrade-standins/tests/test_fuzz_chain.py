"""Runs of the chain's machine that once went wrong."""

from dotterelgrade_standins import fuzz_chain


def _emitting(**options):
    machine = fuzz_chain.ChainMachine()
    values = {"words": 3, "max_tokens": 6, "split": (1, 2, 3)}
    machine.start(**{**values, **options}, buffer_values=1_000)
    while not machine._request.emitted:
        machine.proceed(1, 0)
    return machine


def test_chain_without_a_token_gets_its_whole_step_again():
    machine = _emitting()
    machine.restart(1, 0)
    step = machine._request.current_step()
    assert step.position == 0
    assert len(step.inputs) == machine._request.next_position
    assert machine._request.rebuild_steps() == ()
    machine.lose_stage(1, 0, 0, is_alive=False, loses_frames=False)
    machine.teardown()


def test_replacement_lost_while_it_is_rebuilt():
    machine = _emitting()
    machine.lose_stage(1, 0, 1, is_alive=False, loses_frames=False)
    machine.proceed(8, 3)
    machine.lose_stage(1, 0, 2, is_alive=True, loses_frames=True)
    machine.teardown()
