import pathlib
import subprocess
import sys

import pytest

from dotterelgrade import console
from dotterelgrade_entry import cli

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        ([], 0),
        (["--help"], 0),
        (["contract", "check", str(_EXAMPLES / "isimbi.contract")], 0),
        (["contract", "check", str(_EXAMPLES / "missing.contract")], 1),
        (["contract", "check"], 2),
        (["contract", "chekc", "x"], 2),
        (["contract", "check", "x", "--fast"], 2),
        (["contract", "show"], 2),
        (["serve"], 2),
        (["serve", "--settings", "missing.json"], 1),
        (["dump", "a:b"], 2),
    ],
)
def test_exit_codes(arguments, code):
    assert cli.run(arguments) == code


def test_every_command_has_help_and_json(capsys):
    commands = [
        command
        for command in cli.PROGRAM.make_application().all().values()
        if isinstance(command, console.OperatorCommand)
    ]
    assert len(commands) == 9
    for command in commands:
        assert cli.run([*command.name.split(), "--help"]) == 0
        shown = capsys.readouterr().out
        assert command.description.split(".")[0] in shown
        assert "--json" in shown


def test_the_program_runs_as_a_process():
    done = subprocess.run(
        [sys.executable, "-m", "dotterelgrade_entry.cli", "contract", "check"],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout) == (2, "")
    assert done.stderr.startswith("dotterelgrade: Not enough arguments")
