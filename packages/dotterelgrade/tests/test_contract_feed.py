import gevent
import pytest

from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_feed
from dotterelgrade import contract_records
from dotterelgrade import journal as journal_lib
from dotterelgrade import log_client
from dotterelgrade import messages
from dotterelgrade import relay_buffer
from dotterelgrade import snapshots
from dotterelgrade_standins import log_service

_EAGER = snapshots.SnapshotSettings(
    max_records_uncovered=5, max_age_s=1e9, max_wait_s=0.2
)


@pytest.fixture
def service():
    faults = log_service.LogFaults(appends_per_s=1e9)
    return log_service.LogService(faults=faults)


def _feed(service, **options):
    options = {"wait_ms": 0, "settings": _EAGER, "seed": 1, **options}
    return contract_feed.ContractFeed(log_service.LocalLog(service), **options)


def _append(service, number, *, author="ana"):
    identity = f"drain host=10.0.0.{number}"
    record = contract_records.EditRecord(
        id=f"id-{number}",
        author=author,
        edits=(
            contract_records.Edit(
                identity=identity, text=f"{identity} # ops: why", seen=0
            ),
        ),
    )
    return service.append(
        log_client.CONTRACT_STREAM, contract_records.encode(record)
    )


def _catch_up(feed):
    for _ in range(20):
        feed.step()


def test_listeners_hear_of_changes_in_order(service):
    feed = _feed(service)
    heard = []
    feed.add_listener(lambda outcome: heard.append(outcome.changed))
    verdicts = []
    every = frozenset(contract_lib.OutcomeKind)
    feed.add_listener(lambda o: verdicts.append(o.kind.value), kinds=every)
    service.append(log_client.CONTRACT_STREAM, b"broken")
    _append(service, 1)
    _append(service, 1)
    assert not feed.is_caught_up
    _catch_up(feed)
    assert feed.is_caught_up
    assert heard == [("drain host=10.0.0.1",)]
    assert verdicts == ["invalid", "accepted", "conflict"]


def test_a_broken_record_is_noted_and_passed(service, caplog):
    journal = journal_lib.Journal()
    feed = _feed(service, journal=journal)
    service.append(log_client.CONTRACT_STREAM, b"\xffbroken")
    _append(service, 1)
    _catch_up(feed)
    assert feed.offset == 2
    assert feed.dump()["outcomes"]["invalid"] == 1
    assert [e.decision for e in journal.latest()] == [
        "contract_invalid",
        "contract_accepted",
    ]
    assert "contract record skipped" in caplog.text


def test_a_new_process_starts_from_a_snapshot_past_retention(service):
    old = _feed(service)
    for number in range(1, 8):
        _append(service, number)
    _catch_up(old)
    assert old.snapshot_is_due()
    old.append_snapshot()
    _append(service, 8)
    service.set_faults(keep_records=2)
    _catch_up(old)
    assert not old.snapshot_is_due()
    new = _feed(service)
    _catch_up(new)
    assert new.is_caught_up
    assert (new.offset, new.contract.digest) == (9, old.contract.digest)


def test_a_snapshot_that_covers_too_little_is_passed_over(service):
    old = _feed(service)
    _append(service, 1)
    _catch_up(old)
    short = contract_records.encode(old.contract.snapshot())
    _append(service, 2)
    service.append(log_client.CONTRACT_STREAM, short)
    _append(service, 3)
    _catch_up(old)
    service.set_faults(keep_records=2)
    new = _feed(service)
    _catch_up(new)
    assert not new.is_caught_up
    _catch_up(old)
    assert old.snapshot_is_due()
    old.append_snapshot()
    _catch_up(new)
    assert new.is_caught_up
    assert new.contract.digest == old.contract.digest


def test_when_nothing_is_kept_a_living_process_helps(service):
    old = _feed(service)
    _append(service, 1)
    _catch_up(old)
    service.set_faults(keep_records=0)
    service.set_faults(keep_records=100)
    new = _feed(service)
    _catch_up(new)
    assert not new.is_caught_up
    assert new.wants_records
    assert not old.wants_records
    _catch_up(old)
    assert old.snapshot_is_due()
    old.append_snapshot()
    _catch_up(new)
    assert new.is_caught_up
    assert new.contract.digest == old.contract.digest


def test_many_processes_append_few_snapshots(service):
    feeds = [_feed(service, wait_ms=100, seed=n) for n in range(10)]
    jobs = [gevent.spawn(feed.run) for feed in feeds]
    for number in range(6):
        _append(service, number)
    with gevent.Timeout(20):
        while not all(feed.dump()["snapshot_covers"] for feed in feeds):
            gevent.sleep(0.05)
    gevent.sleep(1.5)
    gevent.killall(jobs)
    records = service.records(log_client.CONTRACT_STREAM)
    taken = sum(b'"snapshot"' in record.body for record in records)
    assert 1 <= taken <= 3


def test_in_an_outage_records_come_from_peers(service):
    old = _feed(service)
    for number in range(1, 4):
        _append(service, number)
    _catch_up(old)
    service.set_faults(down=True)
    new = _feed(service)
    new.step()
    new.note_peer_offset(old.offset)
    assert not new.is_caught_up
    new.offer(old.records_after(new.offset))
    assert new.is_caught_up
    assert new.contract.digest == old.contract.digest
    service.set_faults(down=False)
    _append(service, 4)
    _catch_up(new)
    assert new.offset == 4


def test_without_peers_an_outage_leaves_a_new_process_unready(service):
    service.set_faults(down=True)
    new = _feed(service)
    new.step()
    new.note_peer_offset(0)
    assert not new.is_caught_up


def test_a_process_is_unready_below_its_highest_peer(service):
    old = _feed(service)
    _append(service, 1)
    _catch_up(old)
    service.set_faults(down=True)
    new = _feed(service)
    new.step()
    new.offer(old.records_after(0))
    new.note_peer_offset(2)
    assert new.offset == 1
    assert not _feed(service).is_caught_up
    assert not new.is_caught_up


def test_a_process_once_ready_stays_ready_in_an_outage(service):
    feed = _feed(service)
    _append(service, 1)
    _catch_up(feed)
    assert feed.is_caught_up
    service.set_faults(down=True)
    feed.step()
    feed.note_peer_offset(7)
    assert feed.is_caught_up


def test_a_peer_far_behind_gets_a_snapshot(service):
    relay = relay_buffer.RelayBuffer(max_records=2)
    old = _feed(service, relay=relay)
    for number in range(1, 6):
        _append(service, number)
    _catch_up(old)
    records = old.records_after(0)
    assert [record.offset for record in records.records] == [5]
    new = _feed(service)
    new.offer(records)
    assert (new.offset, new.contract.digest) == (5, old.contract.digest)
    assert old.records_after(5).records == ()


def test_what_a_peer_relays_is_checked(service):
    feed = _feed(service)
    _append(service, 1)
    _catch_up(feed)
    digest = feed.contract.digest
    forged = contract_records.SnapshotRecord(covers=9, lines=(), digest="00")
    bodies = [b"", b"broken", contract_records.encode(forged)]
    feed.offer(
        messages.Records(
            records=tuple(
                messages.RelayedRecord(offset=9, body=body) for body in bodies
            ),
            covers=9,
        )
    )
    assert (feed.offset, feed.contract.digest) == (1, digest)
