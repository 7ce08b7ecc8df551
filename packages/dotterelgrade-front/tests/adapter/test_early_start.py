import pathlib
import signal
import subprocess
import sys

import gevent
from gevent import socket
import pytest

from dotterelgrade import early_sockets
from dotterelgrade import wsgi
from dotterelgrade_front import front_settings
from dotterelgrade_platform import early_start
from dotterelgrade_platform import operator_codec

_SETTINGS = """\
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
"""


def _ports(make_port):
    return {"front": make_port(), "ready": make_port()}


@pytest.fixture
def make_port():
    def make():
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            return sock.getsockname()[1]

    return make


@pytest.fixture
def settings_path(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    monkeypatch.setenv(early_start.PATH_VARIABLE, str(path))
    return path


def test_a_request_before_the_server_starts_is_served(settings_path, make_port):
    """After a loss of all fronts, clients reconnect before one has started."""
    ports = _ports(make_port)
    settings_path.write_text(_SETTINGS.format(**ports))
    early_start.listen()
    client = socket.create_connection(("127.0.0.1", ports["front"]), timeout=5)
    client.sendall(b"GET / HTTP/1.0\r\n\r\n")

    def app(_, start_response):
        start_response("200 OK", [])
        return [b"late but served"]

    with wsgi.serving(app, host="127.0.0.1", port=ports["front"]):
        answer = b""
        while chunk := client.recv(65536):
            answer += chunk
    assert answer.endswith(b"late but served")
    wsgi.listener("127.0.0.1", ports["ready"]).close()


def _wait_until_listening(port):
    """Waits for the start of a process, which connects to nobody yet."""
    with gevent.Timeout(10):
        while True:
            try:
                return socket.create_connection(("127.0.0.1", port)).close()
            except ConnectionRefusedError:
                gevent.sleep(0.002)


def test_a_reload_during_the_start_does_not_end_the_process(
    settings_path, make_port
):
    """The settings file may change before the handler of SIGHUP is set."""
    ports = _ports(make_port)
    settings = front_settings.FrontSettings(
        node="f",
        host="127.0.0.1",
        failure_domain="a",
        callers_address=f"127.0.0.1:{ports['front']}",
        ready_address=f"127.0.0.1:{ports['ready']}",
        peer_port=make_port(),
        metrics_port=make_port(),
        store_address=f"127.0.0.1:{make_port()}",
    )
    settings_path.write_text(operator_codec.settings_text(settings))
    log_path = pathlib.Path(settings_path.parent, "log")
    with log_path.open("wb") as log:
        child = subprocess.Popen(
            [sys.executable, "-m", "dotterelgrade_platform", "serve"],
            stdout=log,
            stderr=log,
        )
    try:
        _wait_until_listening(ports["front"])
        child.send_signal(signal.SIGHUP)
        with gevent.Timeout(10):
            while b'"reloaded"' not in log_path.read_bytes():
                assert child.poll() is None
                gevent.sleep(0.05)
    finally:
        child.kill()
        child.wait()


def test_an_early_socket_is_handed_over_once(make_port):
    port = make_port()
    early_sockets.listen("127.0.0.1", port)
    wsgi.listener("127.0.0.1", port).close()
    assert wsgi.listener("127.0.0.1", port) == ("127.0.0.1", port)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[listen]",
        "listen = 3",
        "[listen]\nfront = 7\nready = 8",
        "[",
        "a = " + "[" * 100_000,
        '[listen]\nfront = "127.0.0.1:99999"\nready = "127.0.0.1:0"',
    ],
    ids=["empty", "bare", "number", "numbers", "cut", "nested", "port"],
)
def test_invalid_settings_are_ignored(settings_path, text):
    settings_path.write_text(text)
    early_start.listen()


def test_early_start_imports_only_the_standard_library():
    """Other imports would delay the socket that is meant to precede them."""
    code = (
        "import sys, dotterelgrade_platform.early_start;"
        "print([n for n in ('gevent', 'cleo', 'msgspec') if n in sys.modules])"
    )
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert out.stdout.strip() == "[]"
