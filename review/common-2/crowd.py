"""A crowd of clients at one front, as a process of its own.

Each client has a connection of its own and opens another one a second after it
was closed.
"""

import argparse
import collections
import random
import resource

import gevent
from gevent import socket

REQUESTS_AT_ONCE = 100
# Far below the size that the configuration allows for a head.
SHORT_FIELDS = b"".join(b"f%d:\r\n" % number for number in range(100))
POLITE_PAUSE_S = 5.0
RETURN_S = 1.0
CONNECT_TIMEOUT_S = 3.0
_outcomes: collections.Counter[str] = collections.Counter()


def request() -> bytes:
    """Returns a request inside the limits."""
    head = (
        b"GET /safe/%06d HTTP/1.1\r\nHost: shop.example\r\n"
        b"Authorization: Bearer key-of-bench\r\n"
        b"X-Dotterelgrade-Attempt-Id: crowd-%06d\r\n"
    )
    numbers = random.randrange(1_000_000), random.randrange(1_000_000)
    return head % numbers + SHORT_FIELDS + b"\r\n"


def send_ahead(sock: socket.socket) -> None:
    """Sends requests without reading the answers."""
    sock.settimeout(None)
    while True:
        sock.sendall(b"".join(request() for _ in range(REQUESTS_AT_ONCE)))


def stay_silent(sock: socket.socket) -> None:
    """Sends nothing until the connection is closed."""
    sock.settimeout(None)
    sock.recv(1)


def ask_politely(sock: socket.socket) -> None:
    """Sends one request after another, and reads the answers."""
    sock.settimeout(10.0)
    while True:
        sock.sendall(request())
        if not sock.recv(65_536):
            return
        gevent.sleep(POLITE_PAUSE_S)


_BEHAVIOURS = {
    "ahead": send_ahead,
    "silent": stay_silent,
    "polite": ask_politely,
}


def come(options: argparse.Namespace, source: str) -> None:
    """Is one client of the crowd."""
    gevent.sleep(random.random() * options.arrive_s)
    host, _, port = options.front.rpartition(":")
    behave = _BEHAVIOURS[options.behaviour]
    while True:
        try:
            sock = socket.create_connection(
                (host, int(port)),
                timeout=CONNECT_TIMEOUT_S,
                source_address=(source, 0),
            )
        except OSError as error:
            _outcomes[f"connect: {error}"] += 1
            gevent.sleep(RETURN_S)
            continue
        try:
            behave(sock)
        except OSError as error:
            _outcomes[str(error)] += 1
        finally:
            sock.close()
        gevent.sleep(RETURN_S)


def main() -> None:
    """Runs the crowd until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("front", help="IP:PORT")
    parser.add_argument("sources", nargs="+", help="IP numbers of the clients")
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--arrive-s", type=float, default=3.0)
    parser.add_argument("--behaviour", choices=_BEHAVIOURS, required=True)
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    for number in range(options.clients):
        source = options.sources[number % len(options.sources)]
        gevent.spawn(come, options, source)
    while True:
        gevent.sleep(5.0)
        print(dict(_outcomes), flush=True)


if __name__ == "__main__":
    main()
