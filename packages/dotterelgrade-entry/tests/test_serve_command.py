import contextlib
import json
import signal
import sys

import gevent
from gevent import subprocess
import pytest
from returns import pipeline

from dotterelgrade_entry import admin_client
from dotterelgrade_entry import cli
from dotterelgrade_standins import hosts_service
from dotterelgrade_standins import log_service
from dotterelgrade_standins import web

_HOST = "127.10.4.1"
_SETTINGS = {
    "process": {
        "host": _HOST,
        "peer_port": 17_400,
        "admin_port": 17_401,
        "failure_domain": "recife-a",
        "shared_key": "k" * 16,
    },
    "platform": {
        "log_url": f"http://{_HOST}:18080",
        "hosts_url": f"http://{_HOST}:18081/hosts",
    },
    "http_port": 17_402,
    "drain_wait_s": 0.1,
}


@pytest.fixture
def platform():
    with contextlib.ExitStack() as stack:
        log = log_service.LogService()
        hosts = hosts_service.HostsService([])
        stack.enter_context(web.serving(log, host=_HOST, port=18_080))
        stack.enter_context(web.serving(hosts, host=_HOST, port=18_081))
        yield


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text(json.dumps(_SETTINGS))
    return path


def _await_ready():
    with gevent.Timeout(30):
        while True:
            answer = admin_client.fetch(_HOST, 17_401, "/readyz")
            if pipeline.is_successful(answer):
                return
            gevent.sleep(0.05)


def test_sigterm_ends_an_entry_gracefully(platform, settings):
    child = subprocess.Popen(
        [sys.executable, "-m", "dotterelgrade_entry.cli", "serve"]
        + ["--settings", str(settings)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    try:
        _await_ready()
        child.send_signal(signal.SIGTERM)
        out, err = child.communicate(timeout=30)
    finally:
        child.poll()
        if child.returncode is None:
            child.kill()
    assert child.returncode == 0
    assert out.decode() == "stopped\n"
    for line in err.decode().splitlines():
        assert json.loads(line)["role"] == "entry"


@pytest.mark.parametrize(
    "change",
    [
        {"http_port": "8080"},
        {"unknown": 1},
        {"platform": {}},
        {"policy": "magic"},
        {"process": {**_SETTINGS["process"], "host": "192.0.2.1"}},
    ],
)
def test_broken_settings_are_refused(settings, change, capsys):
    settings.write_text(json.dumps({**_SETTINGS, **change}))
    assert cli.run(["serve", "--settings", str(settings)]) == 1
    assert "settings_invalid" in capsys.readouterr().err
