import json
import random
import signal
import subprocess
import sys
import time

from gevent import socket
import pytest

from dotterelgrade import early_sockets
from dotterelgrade import wsgi
from dotterelgrade_platform import early_start

_SETTINGS = """\
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
"""


_NODE_SETTINGS = """\
node = "front-1"
ip = "{host}"
zone = "a"
internal_ports = [7003, 7003]
[platform]
address = "127.0.0.1:1"
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


@pytest.fixture
def starting(settings_path):
    """A front process that listens but has not loaded its modules yet."""
    host = f"127.{random.randrange(1, 255)}.{random.randrange(256)}.1"
    settings_path.write_text(
        _NODE_SETTINGS.format(host=host)
        + _SETTINGS.format(front=7001, ready=7002).replace("127.0.0.1", host)
    )
    command = [sys.executable, "-m", "dotterelgrade_platform", "serve"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as front:
        try:
            _wait_for_socket(front, host)
            yield front
        finally:
            front.kill()


def _wait_for_socket(front, host):
    while front.poll() is None:
        with socket.socket() as sock:
            if not sock.connect_ex((host, 7001)):
                return
        time.sleep(0.005)
    raise AssertionError("the front has ended")


def test_a_reload_signal_during_the_start_does_not_end_the_front(starting):
    """The settings file changes while a front that was killed starts again."""
    starting.send_signal(signal.SIGHUP)
    lines = iter(starting.stdout.readline, "")
    events = (json.loads(line).get("event") for line in lines)
    assert "reloaded" in events
    assert starting.poll() is None
