import os
import time

import gevent
import pytest

from dotterelgrade import bounded_stream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_arrive_in_order(pipe):
    reader, writer = pipe
    stream = bounded_stream.BoundedStream(writer)
    greenlet = gevent.spawn(stream.run)
    for number in range(5):
        stream.write(f"{number}\n")
    gevent.sleep(0.2)
    greenlet.kill()
    assert os.read(reader, 100) == b"0\n1\n2\n3\n4\n"


def test_blocked_reader_does_not_block_writer_or_grow_memory(pipe):
    """Standard output is not read, so the pipe stays full."""
    _, writer = pipe
    stream = bounded_stream.BoundedStream(writer, capacity_lines=100)
    greenlet = gevent.spawn(stream.run)
    started = time.monotonic()
    for _ in range(5_000):
        stream.write("x" * 200 + "\n")
        gevent.sleep(0)
    assert time.monotonic() - started < 5
    greenlet.kill()
    assert stream.dropped > 4_000
    assert "100 lines waiting" in repr(stream)


def test_number_of_dropped_lines_is_reported(pipe):
    reader, writer = pipe
    stream = bounded_stream.BoundedStream(writer, capacity_lines=10)
    for number in range(30):
        stream.write(f"{number}\n")
    greenlet = gevent.spawn(stream.run)
    gevent.sleep(0.2)
    stream.write("later\n")
    gevent.sleep(0.2)
    greenlet.kill()
    assert b'"lines dropped", "n": 20' in os.read(reader, 10_000)


def test_run_ends_when_the_reader_has_closed(pipe):
    reader, writer = os.pipe()
    os.close(reader)
    stream = bounded_stream.BoundedStream(writer)
    stream.write("x\n")
    greenlet = gevent.spawn(stream.run)
    greenlet.join(1.0)
    assert greenlet.ready()
    stream.write("y\n")
    assert stream.dropped == 1
    os.close(writer)
