import gevent
from gevent import event
import hypothesis
from hypothesis import strategies as st
import pytest
from returns import pipeline
from returns import result

from dotterelgrade import appender
from dotterelgrade import errors


class _HeldLog:
    """Answers appends only when it is told to."""

    def __init__(self):
        self.bodies = []
        self.answer = result.Success(1)
        self.go = event.Event()

    def append(self, stream, body):
        self.bodies.append(body)
        self.go.wait()
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


@pytest.fixture
def log():
    return _HeldLog()


def _submit(target, items, timeout_s=10.0):
    jobs = [gevent.spawn(target.submit, i, timeout_s=timeout_s) for i in items]
    gevent.sleep(0)
    gevent.sleep(0)
    return jobs


def _items(log):
    return [list(appender.decode(body).items) for body in log.bodies]


def test_what_arrives_during_an_append_shares_the_next(log):
    target = appender.Appender(log, "claims")
    jobs = _submit(target, [{"n": 0}])
    jobs += _submit(target, [{"n": n} for n in range(1, 50)])
    assert target.queued == 49
    log.go.set()
    gevent.joinall(jobs, raise_error=True)
    assert _items(log) == [[{"n": 0}], [{"n": n} for n in range(1, 50)]]
    assert (target.appends, target.items) == (2, 50)
    ids = {appender.decode(body).id for body in log.bodies}
    assert len(ids) == 2


def test_batches_and_queue_are_bounded(log):
    target = appender.Appender(log, "claims", max_queued=5, max_batch_items=2)
    jobs = _submit(target, [{"n": 0}])
    jobs += _submit(target, [{"n": n} for n in range(1, 8)])
    refused = [job for job in jobs if job.ready()]
    assert len(refused) == 2
    log.go.set()
    gevent.joinall(jobs, raise_error=True)
    assert max(map(len, _items(log))) == 2
    assert sum(pipeline.is_successful(job.value) for job in jobs) == 6


@pytest.mark.parametrize(
    "answer",
    [
        result.Failure(
            errors.Error(kind=errors.ErrorKind.LOG_UNAVAILABLE, message="down")
        ),
        RuntimeError("bug"),
    ],
)
def test_a_failed_append_reaches_every_caller(log, answer):
    log.answer = answer
    log.go.set()
    target = appender.Appender(log, "claims")
    jobs = _submit(target, [{"n": n} for n in range(3)])
    gevent.joinall(jobs, raise_error=True)
    kinds = {job.value.failure().kind for job in jobs}
    assert kinds == {errors.ErrorKind.LOG_UNAVAILABLE}


def test_an_item_given_up_in_the_queue_is_not_appended(log):
    target = appender.Appender(log, "claims")
    first = _submit(target, [{"n": 0}])
    late = target.submit({"n": 1}, timeout_s=0.01)
    assert late.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE
    log.go.set()
    gevent.joinall(first, raise_error=True)
    assert _items(log) == [[{"n": 0}]]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(st.binary(max_size=100))
def test_any_bytes_are_a_batch_or_refused(body):
    with pytest.raises(errors.DotterelgradeError):
        appender.decode(body)
