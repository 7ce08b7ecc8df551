import gevent
from gevent import event
import hypothesis
from hypothesis import strategies as st
import pytest
from returns import pipeline
from returns import result

from dotterelgrade import appender
from dotterelgrade import errors


class _BlockingLog:
    """Blocks appends until `unblocked` is set."""

    def __init__(self):
        self.bodies = []
        self.append_result = result.Success(1)
        self.unblocked = event.Event()

    def append(self, stream, body):
        self.bodies.append(body)
        self.unblocked.wait()
        if isinstance(self.append_result, Exception):
            raise self.append_result
        return self.append_result


@pytest.fixture
def log():
    return _BlockingLog()


def _submit(batcher, items, timeout_s=10.0):
    greenlets = [
        gevent.spawn(batcher.submit, i, timeout_s=timeout_s) for i in items
    ]
    gevent.sleep(0)
    gevent.sleep(0)
    return greenlets


def _items(log):
    return [list(appender.decode(body).items) for body in log.bodies]


def test_items_submitted_during_an_append_share_the_next_batch(log):
    batcher = appender.Appender(log, "claims")
    greenlets = _submit(batcher, [{"n": 0}])
    greenlets += _submit(batcher, [{"n": n} for n in range(1, 50)])
    assert batcher.queue_length == 49
    log.unblocked.set()
    gevent.joinall(greenlets, raise_error=True)
    assert _items(log) == [[{"n": 0}], [{"n": n} for n in range(1, 50)]]
    assert (batcher.append_count, batcher.item_count) == (2, 50)
    ids = {appender.decode(body).id for body in log.bodies}
    assert len(ids) == 2


def test_batch_size_and_queue_length_are_bounded(log):
    batcher = appender.Appender(log, "claims", max_queued=5, max_batch_items=2)
    greenlets = _submit(batcher, [{"n": 0}])
    greenlets += _submit(batcher, [{"n": n} for n in range(1, 8)])
    refused = [greenlet for greenlet in greenlets if greenlet.ready()]
    assert len(refused) == 2
    log.unblocked.set()
    gevent.joinall(greenlets, raise_error=True)
    assert max(map(len, _items(log))) == 2
    assert (
        sum(pipeline.is_successful(greenlet.value) for greenlet in greenlets)
        == 6
    )


@pytest.mark.parametrize(
    "append_result",
    [
        result.Failure(
            errors.Error(kind=errors.ErrorKind.LOG_UNAVAILABLE, message="down")
        ),
        RuntimeError("bug"),
    ],
)
def test_append_failure_is_returned_to_every_caller(log, append_result):
    log.append_result = append_result
    log.unblocked.set()
    batcher = appender.Appender(log, "claims")
    greenlets = _submit(batcher, [{"n": n} for n in range(3)])
    gevent.joinall(greenlets, raise_error=True)
    kinds = {greenlet.value.failure().kind for greenlet in greenlets}
    assert kinds == {errors.ErrorKind.LOG_UNAVAILABLE}


def test_item_that_timed_out_in_the_queue_is_not_appended(log):
    batcher = appender.Appender(log, "claims")
    first = _submit(batcher, [{"n": 0}])
    late = batcher.submit({"n": 1}, timeout_s=0.01)
    assert late.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE
    log.unblocked.set()
    gevent.joinall(first, raise_error=True)
    assert _items(log) == [[{"n": 0}]]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=100))
def test_decode_rejects_arbitrary_bytes(body):
    with pytest.raises(errors.DotterelgradeError):
        appender.decode(body)
