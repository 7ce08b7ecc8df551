import importlib
import pathlib

import pytest

from dotterelgrade_standins import fuzz
from dotterelgrade_standins import mutant as mutant_lib
from dotterelgrade_standins import mutants
from dotterelgrade_standins import soak_faults

_ROOT = pathlib.Path(__file__).parents[3]


@pytest.mark.parametrize("mutant", mutants.ALL, ids=lambda mutant: mutant.name)
def test_place_and_check_of_each_mutant_exist(mutant):
    text = pathlib.Path(
        importlib.import_module(mutant.module).__file__
    ).read_text()
    for old, new in ((mutant.old, mutant.new), *mutant.also):
        assert text.count(old) == 1
        assert old != new
    if mutant.check.endswith(".py"):
        assert (_ROOT / mutant.check).is_file()
    elif mutant.check.startswith(mutant_lib.SOAK):
        faults = mutant.check.removeprefix(mutant_lib.SOAK).split(",")
        assert set(faults) <= set(soak_faults.names())
    else:
        assert mutant.check in fuzz.targets()


def test_mutant_is_found_and_unchanged_code_is_not():
    broken = next(
        mutant for mutant in mutants.ALL if mutant.name == "contract-gap-check"
    )
    assert mutants.run(broken).is_found


def test_every_promise_has_a_mutant():
    promises = {mutant.promise for mutant in mutants.ALL}
    # The seven of the brief, the room for who is let in, and that nobody waits
    # for a decision.
    assert len(promises) == 9
