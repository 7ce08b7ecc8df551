import json

from cleo import exceptions
from cleo.testers import command_tester
import pytest

from dotterelgrade import admin
from dotterelgrade import journal as journal_lib
from dotterelgrade import metrics as metrics_lib
from dotterelgrade import wsgi
from dotterelgrade_entry import fleet_commands

_HOST = "127.10.3.1"


class _Process:
    is_ready = True

    def __init__(self):
        self.metrics = metrics_lib.Metrics()
        self.journal = journal_lib.Journal()

    def dump(self):
        return {"state": "ready"}


@pytest.fixture
def process():
    shown = _Process()
    app = admin.AdminApp(shown)
    row = {
        "role": "agent",
        "host": "10.0.0.9",
        "state": "ready",
        "contract_offset": 7,
        "load": {
            "in_flight": 3,
            "backends": [
                {
                    "backend": "e1",
                    "model": "inlay",
                    "sequences": 3,
                    "slots_free": 5,
                }
            ],
        },
    }
    app.route("GET", "fleet", lambda _, __: (200, {"processes": [row]}))
    with wsgi.serving(app, host=_HOST, port=17_401):
        yield shown


def _run(command, arguments):
    tester = command_tester.CommandTester(command())
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_dump_prints_the_state(process):
    code, out, _ = _run(fleet_commands.DumpCommand, f"{_HOST}:17401 --json")
    assert (code, json.loads(out)) == (0, {"state": "ready"})


def test_fleet_prints_one_row_for_each_process(process):
    code, out, _ = _run(fleet_commands.FleetCommand, f"{_HOST}:17401")
    assert code == 0
    assert out.splitlines()[1].split() == [
        "agent",
        "10.0.0.9",
        "ready",
        "7",
        "in_flight=3",
        "e1:inlay=3+5",
    ]


def test_explain_prints_the_decisions_in_order(process):
    process.journal.record(
        "chain_chosen", request_id="r/1", reason="fastest", hops=3
    )
    process.journal.record("refused", request_id="r2", reason="full")
    for request_id in ("r/1", "chatcmpl-r/1", "cmpl-r/1"):
        code, out, _ = _run(
            fleet_commands.ExplainCommand, f"{_HOST}:17401 {request_id}"
        )
        assert code == 0
        (row,) = out.splitlines()[1:]
        assert row.split()[1:] == ["chain_chosen", "fastest", "hops=3"]


def test_an_unknown_request_and_a_dead_process_are_told(process):
    code, _, err = _run(fleet_commands.ExplainCommand, f"{_HOST}:17401 r9")
    assert (code, err.partition(":")[0]) == (1, "not_found")
    code, _, err = _run(fleet_commands.DumpCommand, f"{_HOST}:17499")
    assert (code, err.partition(":")[0]) == (1, "peer_unreachable")


@pytest.mark.parametrize("address", ["a:b", "127.0.0.1:70000", ":1", "a/b"])
def test_a_wrong_address_is_a_wrong_command_line(address):
    with pytest.raises(exceptions.CleoUserError, match="expected HOST"):
        _run(fleet_commands.DumpCommand, address)
