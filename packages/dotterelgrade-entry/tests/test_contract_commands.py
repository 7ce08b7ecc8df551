import json

from cleo.testers import command_tester
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import host_list
from dotterelgrade_entry import contract_commands
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service
from dotterelgrade_standins import web

_HOST = "127.10.2.1"
_GOOD = "drain host=10.0.0.1 # ops: fan\n"


@pytest.fixture
def service():
    log = log_service.LogService()
    with web.serving(log, host=_HOST, port=18_080):
        yield log


@pytest.fixture(autouse=True)
def hosts():
    hosts = hosts_service.HostsService([])
    with web.serving(hosts, host=_HOST, port=18_081):
        yield hosts


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "operator.json"
    platform = {
        "log_url": f"http://{_HOST}:18080",
        "hosts_url": f"http://{_HOST}:18081/hosts",
    }
    path.write_text(json.dumps({"platform": platform}))
    return path


@pytest.fixture
def contract(tmp_path):
    path = tmp_path / "fleet.contract"
    path.write_text(_GOOD)
    return path


def _entry(admin_port):
    return host_list.HostEntry(
        host=_HOST,
        role=connection_frames.Role.ENTRY,
        peer_port=7400,
        admin_port=admin_port,
        failure_domain="recife-a",
    )


def _run(command, arguments):
    tester = command_tester.CommandTester(command())
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_check_lists_every_fault_with_its_place(contract):
    check = contract_commands.CheckCommand
    assert _run(check, str(contract))[0] == 0
    contract.write_text("drian # x\ndrain host=1\n")
    code, out, err = _run(check, str(contract))
    assert (code, out) == (1, "")
    assert [line.split(": ")[1] for line in err.splitlines()] == [
        "line 1, column 7",
        "line 1, column 1",
        "line 2, column 13",
        "line 2, column 12",
    ]
    code, out, _ = _run(check, f"{contract} --json")
    assert (code, len(json.loads(out)["faults"])) == (1, 4)


def test_check_tells_faults_between_rules(contract):
    contract.write_text("model name=m layers=2 # ops: why\n")
    code, _, err = _run(contract_commands.CheckCommand, str(contract))
    assert code == 1
    assert "no chain of place rules runs layer 0 of m" in err


@pytest.mark.parametrize("data", [None, b"\xff\xfe", b" " * 5_000_000])
def test_a_file_that_cannot_be_read_is_refused(contract, data):
    contract.unlink()
    if data is not None:
        contract.write_bytes(data)
    code, _, err = _run(contract_commands.CheckCommand, str(contract))
    assert code == 1
    assert err.startswith("contract_invalid: cannot read")


def test_apply_then_show_and_log(service, settings, contract):
    code, out, _ = _run(
        contract_commands.ApplyCommand, f"{contract} -s {settings} -a ana"
    )
    assert code == 0
    assert out.splitlines() == [
        "accepted at offset 1: 1 lines",
        "in force at 0 of 0",
    ]
    code, out, _ = _run(contract_commands.ShowCommand, f"-s {settings}")
    assert (code, out) == (0, _GOOD)
    code, out, _ = _run(contract_commands.LogCommand, f"-s {settings} --json")
    (record,) = json.loads(out)["records"]
    assert (record["verdict"], record["author"]) == ("accepted", "ana")


def test_apply_of_a_faulty_file_appends_nothing(service, settings, contract):
    contract.write_text(_GOOD + "drain host=10.0.0.1\n")
    code, _, err = _run(
        contract_commands.ApplyCommand, f"{contract} -s {settings}"
    )
    assert code == 1
    assert "line 2, column 20: no comment" in err
    assert service.appends == 0


def test_apply_says_where_it_is_not_in_force(
    service, hosts, settings, contract
):
    service.append("contract", b"broken")
    hosts.put(_entry(17_499))
    code, out, _ = _run(
        contract_commands.ApplyCommand,
        f"{contract} -s {settings} --wait 0 --json",
    )
    assert code == 1
    assert json.loads(out) == {
        "offset": 2,
        "changed": ["drain host=10.0.0.1"],
        "in_force": 0,
        "of": 1,
        "missing": [f"entry {_HOST}"],
    }


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"platform": {"log_url": 1}}', "[" * 100_000]
)
def test_broken_settings_are_refused(settings, text):
    settings.write_text(text)
    code, _, err = _run(contract_commands.ShowCommand, f"-s {settings}")
    assert code == 1
    assert err.startswith("settings_invalid")


def _lose_everything(service):
    service.set_faults(keep_records=0)
    service.set_faults(keep_records=100)


def test_restore_is_refused_while_the_log_tells_the_contract(
    service, settings, contract
):
    service.append("contract", b"broken")
    code, _, err = _run(
        contract_commands.RestoreCommand, f"{contract} -s {settings}"
    )
    assert code == 1
    assert "the log still tells the contract" in err
    assert service.appends == 1


def test_restore_is_refused_while_a_process_holds_the_contract(
    service, hosts, settings, contract
):
    service.append("contract", b"broken")
    _lose_everything(service)
    hosts.put(_entry(17_403))
    row = {"process": "p", "role": "entry", "host": _HOST, "state": "ready"}
    app = web.JsonApp()
    processes = [{**row, "contract_offset": 1}]
    app.route("GET", "/fleet", lambda _: {"processes": processes})
    with web.serving(app, host=_HOST, port=17_403):
        code, _, err = _run(
            contract_commands.RestoreCommand, f"{contract} -s {settings}"
        )
    assert code == 1
    assert f"the entry on {_HOST} holds the contract at offset 1" in err
    assert service.appends == 1


def test_restore_begins_anew_when_nobody_holds_the_contract(
    service, settings, contract
):
    service.append("contract", b"broken")
    _lose_everything(service)
    code, out, _ = _run(
        contract_commands.RestoreCommand, f"{contract} -s {settings}"
    )
    assert (code, out.splitlines()[0]) == (0, "accepted at offset 2: 1 lines")
    code, out, _ = _run(contract_commands.ShowCommand, f"-s {settings}")
    assert (code, out) == (0, _GOOD)
