import gevent
import pytest

from dotterelgrade import errors
from dotterelgrade import follower
from dotterelgrade import journal as journal_lib
from dotterelgrade_standins import log_service


@pytest.fixture
def service():
    faults = log_service.LogFaults(appends_per_s=1e9)
    return log_service.LogService(faults=faults)


class _CollectingReader:
    def __init__(self, service, **options):
        self.bodies = []
        self.journal = journal_lib.Journal()
        self.follower = follower.Follower(
            log_service.LocalLog(service),
            "claims",
            self._handle,
            journal=self.journal,
            wait_ms=0,
            seed=1,
            **options,
        )

    def _handle(self, record):
        if record.body == b"broken":
            raise errors.new_exception(
                errors.ErrorKind.RECORD_INVALID, "broken"
            )
        if record.body == b"bug":
            raise RuntimeError("bug")
        self.bodies.append(record.body)


def _append(service, *bodies):
    for body in bodies:
        service.append("claims", body)


def test_records_are_handled_in_order_and_once(service):
    reader = _CollectingReader(service)
    assert not reader.follower.is_caught_up
    _append(service, b"1", b"2")
    assert reader.follower.poll()
    _append(service, b"3")
    reader.follower.poll()
    reader.follower.poll()
    assert reader.bodies == [b"1", b"2", b"3"]
    assert reader.follower.is_caught_up


def test_rejected_record_is_counted_and_skipped(service, caplog):
    reader = _CollectingReader(service)
    _append(service, b"1", b"broken", b"bug", b"2")
    reader.follower.poll()
    assert reader.bodies == [b"1", b"2"]
    assert reader.follower.rejected_records == 2
    decisions = [entry.decision for entry in reader.journal.latest()]
    assert decisions == ["record_skipped"] * 2
    assert len(caplog.records) == 2


def test_run_resumes_after_a_log_outage(service):
    reader = _CollectingReader(service)
    service.set_faults(down=True)
    greenlet = gevent.spawn(reader.follower.run)
    gevent.sleep(0.1)
    assert not reader.follower.is_connected
    assert reader.follower.failed_reads > 0
    service.set_faults(down=False)
    _append(service, b"1")
    with gevent.Timeout(10):
        while not reader.bodies:
            gevent.sleep(0.01)
    assert reader.follower.is_caught_up
    assert not greenlet.dead
    greenlet.kill()


def test_expired_records_are_counted_and_skipped(service):
    reader = _CollectingReader(service)
    _append(service, b"1", b"2", b"3")
    service.set_faults(keep_records=1)
    while not reader.follower.is_caught_up:
        assert reader.follower.poll()
    assert reader.bodies == [b"3"]
    assert reader.follower.expired_records == 2
    assert reader.follower.first_kept == 3


def test_seek_rereads_earlier_records(service):
    reader = _CollectingReader(service)
    _append(service, b"1", b"2", b"3")
    reader.follower.poll()
    reader.follower.seek(2)
    reader.follower.poll()
    assert reader.bodies == [b"1", b"2", b"3", b"2", b"3"]
