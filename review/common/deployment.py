"""A small deployment on loopback: the platform's store and the real fronts.

The store is the project's stand-in. Each front is a process of its own, started
with the command of the deploy file. What is sent, answered and run is written
to the record of the case.
"""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from dotterelgrade_standins import loopback_range
from dotterelgrade_standins import platform_store

HOST = "shop.example"
KEY = "key-of-the-shop"
TENANT = "shop"
ZONE = "kigali-a"
HEARTBEAT_S = 1.2
# Of the deployment's bounds.
REUSE_AFTER_S = 2.0
STABILITY_S = 3.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 404
BUDGET_WINDOW_S = 10.0
STALL_S = 2.0

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_STORE_HOST = 1
_FIRST_FRONT_HOST = 20
_FRONT_PORT = 8227
_READY_PORT = 8220
_PEER_PORT = 7340
_READY_TIMEOUT_S = 20.0
_EXIT_BROKEN = 1
_EXIT_HELD = 0
_EXIT_NOT_RUN = 2

_SETTINGS = """\
node = "{node}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "rw-north"
internal_ports = [{peer_port}, {last_peer_port}]
seeds = []
bootstrap = true
heartbeat_ms = 1200
[zones]
{zone} = "rw-north"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 0.559
cores = 1
memory_mb = 222
file_descriptors = 1535
link_mbps = 350.0
[bounds]
reuse_after_s = 2
stability_window_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 404
stall_ms = 2000
[platform]
address = "{store}"
form = "log"
"""


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """The record of a case: one line for each event, with its time."""

    def __init__(self, path: pathlib.Path) -> None:
        """Starts an empty record."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line."""
        at = time.monotonic() - self._began_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


class Front:
    """One real front as a process of its own."""

    def __init__(
        self, number: int, ip: str, store: str, directory: pathlib.Path
    ) -> None:
        """Writes the settings file of a front that is not started."""
        self.name = f"front-{number}"
        self.ip = ip
        self.port = _FRONT_PORT
        self._settings = directory / f"{self.name}.toml"
        self._log = directory / f"{self.name}.log"
        self._settings.write_text(
            _SETTINGS.format(
                node=self.name,
                ip=ip,
                zone=ZONE,
                peer_port=_PEER_PORT,
                last_peer_port=_PEER_PORT + 15,
                front_port=_FRONT_PORT,
                ready_port=_READY_PORT,
                store=store,
            )
        )
        self._child: subprocess.Popen | None = None

    @property
    def log(self) -> str:
        """What it has logged."""
        return self._log.read_text()

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "DOTTERELGRADE_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                ["python3", "-S", "-m", "dotterelgrade_platform", "serve"],
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """Ends the process at once."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(signal.SIGKILL)
            self._child.wait()

    def is_ready(self) -> bool:
        """Returns whether it says that it is ready."""
        ready = http.client.HTTPConnection(self.ip, _READY_PORT, timeout=1)
        try:
            ready.request("GET", "/ready")
            return ready.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            ready.close()


class Deployment:
    """The store, the fronts, and what stand-ins need to join them."""

    def __init__(
        self,
        own: loopback_range.LoopbackRange,
        store: platform_store.PlatformStore,
        record: Record,
    ) -> None:
        """Initializes a deployment without fronts."""
        self._own = own
        self._store = store
        self.record = record
        self.fronts: list[Front] = []

    def host(self, number: int) -> str:
        """Returns a loopback address of this run."""
        return self._own.host(number)

    def write_server(self, server_id: str, entry: dict | None) -> None:
        """Writes the entry of a backend server, or removes it for None."""
        value = b"" if entry is None else json.dumps(entry).encode()
        self._store.write("keyed.servers", server_id, value)
        text = "removed" if entry is None else json.dumps(entry)
        self.record.write(f"store: servers/{server_id} {text}")

    def write_configuration(self, routes: list, services: list) -> None:
        """Writes the operators' configuration."""
        body = {
            "version": 7,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }
        self._store.write("keyed.op", "config", json.dumps(body).encode())
        self.record.write(f"store: op/config {json.dumps(body)}")

    def wait_until_ready(self) -> None:
        """Waits until all fronts are ready.

        Raises:
            NotRunError: Some are not in time.
        """
        self.wait_for(
            lambda: all(front.is_ready() for front in self.fronts),
            what="ready fronts",
            timeout_s=_READY_TIMEOUT_S,
        )

    def wait_for(
        self, condition: Callable[[], bool], *, what: str, timeout_s: float
    ) -> None:
        """Waits until a condition holds.

        Raises:
            NotRunError: It does not in time.
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise NotRunError(f"no {what} after {timeout_s} s")
            time.sleep(0.05)


@contextlib.contextmanager
def running(
    record: Record,
    *,
    fronts: int,
    store: platform_store.PlatformStore | None = None,
) -> Iterator[Deployment]:
    """Runs the store and makes fronts; the case starts them.

    Args:
        record: Record of the case.
        fronts: How many fronts.
        store: The store, or None for one without disruptions.
    """
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        own = stack.enter_context(loopback_range.reserved())
        store = store or platform_store.PlatformStore()
        ip, port = stack.enter_context(store.serving(own.host(_STORE_HOST)))
        made = Deployment(own, store, record)
        logs = os.environ.get("FRONT_LOGS")
        for number in range(fronts):
            front = Front(
                number,
                own.host(_FIRST_FRONT_HOST + number),
                f"{ip}:{port}",
                pathlib.Path(logs or directory),
            )
            stack.callback(front.kill)
            made.fronts.append(front)
        yield made


def run(case: Callable[[Record, bool], list[str]], path: str) -> None:
    """Runs a case and ends the process with its exit code.

    Args:
        case: Takes the record and whether there is the disruption; returns what
            broke the rule, empty if it held.
        path: The file of the case.
    """
    # So that the fronts are ended when the time for the script is over.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(_EXIT_NOT_RUN))
    record = Record(pathlib.Path(path).with_name("record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"case: disruption {'on' if trouble else 'off'}")
    try:
        broken = case(record, trouble)
    except (NotRunError, loopback_range.RangeTakenError) as error:
        record.write(f"case: could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(_EXIT_NOT_RUN)
    for line in broken:
        record.write(f"case: BROKEN {line}")
    verdict = "broken" if broken else "held"
    record.write(f"case: the rule {verdict}")
    print("\n".join([*broken, f"the rule {verdict}"]))
    sys.exit(_EXIT_BROKEN if broken else _EXIT_HELD)
