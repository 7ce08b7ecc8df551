"""Runs of the chain's machine that once broke a promise."""

from dotterelgrade_standins import fuzz_chain


def test_stage_lost_before_a_new_chains_first_token():
    machine = fuzz_chain.ChainMachine()
    machine.start(words=1, max_tokens=2, split=(2, 4), buffer_values=1_000)
    machine.proceed(7, 0)
    assert len(machine._request.emitted) == 1
    machine.restart(1, 0)
    machine.lose_stage(1, 0, 0, is_alive=False, loses_frames=False)
    machine.teardown()


def test_replacement_lost_while_it_is_rebuilt():
    machine = fuzz_chain.ChainMachine()
    machine.start(words=3, max_tokens=6, split=(1, 2, 3), buffer_values=1_000)
    machine.proceed(60, 1)
    assert machine._request.emitted
    machine.lose_stage(1, 0, 1, is_alive=False, loses_frames=False)
    machine.proceed(8, 3)
    machine.lose_stage(1, 0, 2, is_alive=True, loses_frames=True)
    machine.teardown()
