import pytest

from dotterelgrade_standins import caller
from dotterelgrade_standins import deployment
from dotterelgrade_standins import launcher
from dotterelgrade_standins import parts

HOST = "127.40.250.3"
PORT = 7302


def make_deployment(host=HOST):
    part = parts.LogPart(host=host, port=PORT)
    plan = deployment.ProcessPlan(name="log", parts=(part,))
    return deployment.Deployment(processes=(plan,))


def is_up():
    return caller.get_json(HOST, PORT, "/faults", timeout_s=1.0) is not None


def test_a_process_is_started_killed_and_started_again(tmp_path):
    with launcher.launched(make_deployment(), tmp_path) as running:
        assert is_up()
        running.kill("log")
        assert not is_up()
        running.start("log")
        assert is_up()
        running.terminate("log")
        assert running.wait("log", timeout_s=20) == 0
    assert not is_up()


def test_a_paused_process_answers_after_it_was_resumed(tmp_path):
    with launcher.launched(make_deployment(), tmp_path) as running:
        running.pause("log")
        assert not is_up()
        running.resume("log")
        assert is_up()


def test_a_process_that_cannot_start_is_reported(tmp_path):
    broken = make_deployment(host="192.0.2.1")
    with (
        pytest.raises(launcher.StartError),
        launcher.launched(broken, tmp_path),
    ):
        pytest.fail("started on an address that is not of this host")
