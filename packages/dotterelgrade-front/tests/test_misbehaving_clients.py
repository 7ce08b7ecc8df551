"""Clients that misbehave in one way each, at a real front process.

The process stays within the memory of the smallest host. Its time limits are so
long that a crowd stays until the test ends. No test states a time or a share of
requests: the process lives, its memory and descriptors stay under a bound, and
an ordinary request is answered while the crowd is still connected.
"""

import dataclasses
import itertools
import signal

import client_crowd as crowds
import gevent
import pytest

_DESCRIPTORS = 512
_BODY_BYTES = 262_144
_MANY_FIELDS = b"a: b\r\n" * 7_000
_ENDLESS_BYTES = 1_000_000_000
# Bodies of tiny chunks go on; they are not refused for the memory they need.
_LARGE_MEMORY_BYTES = 2e9


def _body_limits(body_bytes=_BODY_BYTES):
    return dataclasses.replace(crowds.LIMITS, body_bytes=body_bytes)


@pytest.fixture
def start(tmp_path):
    """Starts a front with given limits of the configuration."""
    with crowds.contextlib.ExitStack() as stack:

        def run(**changes):
            options = {"most_connections": _DESCRIPTORS, **changes}
            site = stack.enter_context(crowds.running(tmp_path, **options))
            site.limit_descriptors(site.front.settings.most_connections)
            return site

        yield run


def _check(site, pid):
    """Checks what must hold while and after a crowd misbehaves."""
    site.settle()
    assert site.ask() == 200
    assert site.front.runs
    assert site.pid == pid
    assert site.peak_bytes < crowds.SMALLEST_BYTES
    assert site.descriptors < site.front.settings.most_connections


def _bodies(site, number, *, path="/safe/x", size=_BODY_BYTES, piece=0):
    """Sends bodies that stop one byte short."""
    data = crowds.head(path, length=size)
    body = b"x" * (size - 1)
    pieces = [data + body]
    if piece:
        starts = range(0, size - 1, piece)
        pieces = [data, *(body[start : start + piece] for start in starts)]
    site.crowd(number, b"", pieces=pieces)


def _chunked_bodies(site, number, *, chunk=1_000, size=_BODY_BYTES):
    """Sends bodies in chunks that stop one chunk short of the limit."""
    encoded = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    data = crowds.head() + encoded * (size // chunk - 1)
    site.crowd(number, data)


@pytest.mark.parametrize("path", ["/safe/x", "/nowhere"])
def test_heads_of_very_many_fields_that_stay_open(start, path):
    """Heads were not charged: each took 20 times its bytes as objects."""
    site = start()
    pid = site.pid
    site.crowd(200, crowds.head(path, rows=_MANY_FIELDS)[:-2])
    _check(site, pid)


def test_heads_over_the_limit(start):
    """The fields of a refused head stayed until its client had left."""
    site = start()
    pid = site.pid
    site.crowd(200, crowds.head(rows=b"a: b\r\n" * 10_000)[:-2])
    _check(site, pid)


def test_one_long_field_over_the_limit(start):
    site = start()
    pid = site.pid
    site.crowd(200, crowds.head(rows=b"a: " + b"x" * 400_000))
    _check(site, pid)


@pytest.mark.parametrize("path", ["/safe/x", "/nowhere"])
def test_bodies_that_stop_one_byte_short(start, path):
    site = start(limits=_body_limits())
    pid = site.pid
    _bodies(site, 400, path=path)
    _check(site, pid)


def test_bodies_of_full_size_that_stop_one_byte_short(start):
    site = start()
    pid = site.pid
    _bodies(site, 60, size=4_194_304)
    _check(site, pid)


def test_bodies_in_small_pieces_that_stop_one_byte_short(start):
    site = start(limits=_body_limits())
    pid = site.pid
    _bodies(site, 150, size=20_000, piece=97)
    _check(site, pid)


def test_bodies_in_chunks_that_stop_short(start):
    site = start(limits=_body_limits())
    pid = site.pid
    _chunked_bodies(site, 400)
    _check(site, pid)


def test_bodies_far_over_the_limit(start):
    site = start(limits=_body_limits())
    pid = site.pid
    site.crowd(100, crowds.head(length=_ENDLESS_BYTES) + b"x" * 1_000_000)
    _chunked_bodies(site, 100, size=2_000_000)
    _check(site, pid)


def _endless(data, block):
    yield data
    yield from itertools.repeat(block)


def _send_tiny_chunks(site):
    for _ in range(20):
        pieces = _endless(crowds.head(), b"1\r\nx\r\n" * 20_000)
        site.crowd(1, b"", pieces=pieces)


def test_bodies_in_chunks_of_one_byte(start):
    """A connection with unread bytes kept the processor until its end."""
    site = start(
        limits=_body_limits(_ENDLESS_BYTES), memory_bytes=_LARGE_MEMORY_BYTES
    )
    pid = site.pid
    _send_tiny_chunks(site)
    # Beside the crowd, which sends as fast as it is read.
    assert site.ask() == 200
    site.leave()
    _check(site, pid)


def test_endless_chunk_extensions(start):
    """A chunk header has no end: its bytes count for no limit of the body."""
    site = start()
    pid = site.pid
    for _ in range(6):
        pieces = _endless(crowds.head() + b"1;", b"x" * 100_000)
        site.crowd(1, b"", pieces=pieces)
    assert site.ask() == 200
    site.leave()
    _check(site, pid)


def test_pipelined_requests_whose_answers_are_not_read(start):
    """Every request of a received piece became objects at once."""
    site = start()
    pid = site.pid
    one = crowds.head(length=0, rows=b"a: b\r\n" * 600)
    site.crowd(300, one * 10, receive_bytes=4_096)
    _check(site, pid)


def test_many_short_pipelined_requests(start):
    site = start()
    pid = site.pid
    one = b"GET / HTTP/1.1\r\nhost:a\r\n\r\n"
    site.crowd(100, one * 4_000, receive_bytes=4_096)
    _check(site, pid)


def test_large_answers_that_are_not_read(start):
    site = start()
    pid = site.pid
    body = b"x" * 200_000
    site.crowd(200, crowds.head(length=len(body)) + body, receive_bytes=4_096)
    _check(site, pid)


def test_large_answers_that_are_read_slowly(start):
    site = start()
    pid = site.pid
    body = b"x" * 1_000_000
    data = crowds.head(length=len(body)) + body
    site.crowd(30, data, receive_bytes=4_096)
    readers = [gevent.spawn(_read_slowly, sock) for sock in site.clients]
    _check(site, pid)
    gevent.killall(readers)


def _read_slowly(sock):
    with crowds.contextlib.suppress(OSError):
        while sock.recv(100):
            gevent.sleep(0.1)


def _trickle(data):
    for start in range(len(data)):
        yield data[start : start + 1]
        gevent.sleep(0.02)


def test_slow_senders(start):
    site = start()
    pid = site.pid
    for _ in range(200):
        data = crowds.head(length=_BODY_BYTES) + b"x" * 1_000
        site.crowd(1, b"", pieces=_trickle(data))
    assert site.ask() == 200
    site.leave()
    _check(site, pid)


@pytest.mark.parametrize("sent", ["nothing", "head", "body"])
def test_connections_that_use_up_the_descriptors(start, sent):
    """The front could not open connections to backend servers any more."""
    site = start(most_connections=160)
    pid = site.pid
    data = {
        "nothing": b"",
        "head": crowds.head()[:-2],
        "body": crowds.head(length=10) + b"x" * 9,
    }[sent]
    site.crowd(170, data)
    _check(site, pid)


@pytest.mark.parametrize("kind", ["heads", "bodies"])
def test_a_front_without_a_configuration(start, kind):
    site = start(configured=False)
    pid = site.pid
    if kind == "heads":
        site.crowd(200, crowds.head(rows=_MANY_FIELDS)[:-2])
    else:
        _bodies(site, 60, size=4_194_304)
    site.settle()
    assert site.ask() == 503
    site.configure(crowds.LIMITS)
    site.wait_until_serving()
    _check(site, pid)


@pytest.mark.parametrize("kind", ["heads", "chunks"])
def test_a_front_that_stops(start, kind):
    """It must serve the ordinary until then, and end by itself."""
    memory_bytes = crowds.SMALLEST_BYTES
    if kind == "chunks":
        memory_bytes = _LARGE_MEMORY_BYTES
    site = start(limits=_body_limits(_ENDLESS_BYTES), memory_bytes=memory_bytes)
    if kind == "heads":
        site.crowd(200, crowds.head(rows=_MANY_FIELDS)[:-2])
        site.settle()
    else:
        _send_tiny_chunks(site)
    site.front.signal(signal.SIGTERM)
    assert site.ask() == 200
    assert site.peak_bytes < crowds.SMALLEST_BYTES
    assert site.exit_code() == 0
