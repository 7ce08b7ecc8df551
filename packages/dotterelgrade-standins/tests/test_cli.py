import pytest

from dotterelgrade_standins import cli


def test_an_unknown_subcommand_is_a_usage_error(capsys):
    assert cli.run(["nonsense"]) == 2
    assert "unknown subcommand" in capsys.readouterr().err


def test_a_missing_module_is_named(monkeypatch):
    monkeypatch.setitem(cli._DESCRIPTIONS, "absent", "not there")
    with pytest.raises(cli.UnknownCommandError, match="absent"):
        cli.load("absent")


@pytest.mark.parametrize("name", ["demo", "experiment", "bench", "process"])
def test_own_subcommands_load(name):
    assert cli.load(name).name == name
