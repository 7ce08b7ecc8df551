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

_FREQUENT_SNAPSHOTS = snapshots.SnapshotSettings(
    max_records_uncovered=5, max_age_s=1e9, max_wait_s=0.2
)


@pytest.fixture
def service():
    faults = log_service.LogFaults(appends_per_s=1e9)
    return log_service.LogService(faults=faults)


def _feed(service, **options):
    options = {
        "wait_ms": 0,
        "settings": _FREQUENT_SNAPSHOTS,
        "seed": 1,
        **options,
    }
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
        feed.poll()


def test_listeners_receive_outcomes_in_order(service):
    feed = _feed(service)
    changes = []
    feed.add_listener(lambda outcome: changes.append(outcome.changed))
    outcome_kinds = []
    all_kinds = frozenset(contract_lib.OutcomeKind)
    feed.add_listener(
        lambda o: outcome_kinds.append(o.kind.value), kinds=all_kinds
    )
    service.append(log_client.CONTRACT_STREAM, b"broken")
    _append(service, 1)
    _append(service, 1)
    assert not feed.is_caught_up
    _catch_up(feed)
    assert feed.is_caught_up
    assert changes == [("drain host=10.0.0.1",)]
    assert outcome_kinds == ["invalid", "accepted", "conflict"]


def test_malformed_record_is_journaled_and_skipped(service, caplog):
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


def test_new_process_starts_from_a_snapshot_after_expiry(service):
    caught_up_feed = _feed(service)
    for number in range(1, 8):
        _append(service, number)
    _catch_up(caught_up_feed)
    assert caught_up_feed.is_snapshot_due()
    caught_up_feed.append_snapshot()
    _append(service, 8)
    service.set_faults(keep_records=2)
    _catch_up(caught_up_feed)
    assert not caught_up_feed.is_snapshot_due()
    new_feed = _feed(service)
    _catch_up(new_feed)
    assert new_feed.is_caught_up
    assert (new_feed.offset, new_feed.contract.digest) == (
        9,
        caught_up_feed.contract.digest,
    )


def test_snapshot_with_a_gap_after_it_is_ignored(service):
    caught_up_feed = _feed(service)
    _append(service, 1)
    _catch_up(caught_up_feed)
    outdated_snapshot = contract_records.encode(
        caught_up_feed.contract.snapshot()
    )
    _append(service, 2)
    service.append(log_client.CONTRACT_STREAM, outdated_snapshot)
    _append(service, 3)
    _catch_up(caught_up_feed)
    service.set_faults(keep_records=2)
    new_feed = _feed(service)
    _catch_up(new_feed)
    assert not new_feed.is_caught_up
    _catch_up(caught_up_feed)
    assert caught_up_feed.is_snapshot_due()
    caught_up_feed.append_snapshot()
    _catch_up(new_feed)
    assert new_feed.is_caught_up
    assert new_feed.contract.digest == caught_up_feed.contract.digest


def test_running_process_appends_a_snapshot_when_all_expired(service):
    caught_up_feed = _feed(service)
    _append(service, 1)
    _catch_up(caught_up_feed)
    service.set_faults(keep_records=0)
    service.set_faults(keep_records=100)
    new_feed = _feed(service)
    _catch_up(new_feed)
    assert not new_feed.is_caught_up
    assert new_feed.needs_peer_records
    assert not caught_up_feed.needs_peer_records
    _catch_up(caught_up_feed)
    assert caught_up_feed.is_snapshot_due()
    caught_up_feed.append_snapshot()
    _catch_up(new_feed)
    assert new_feed.is_caught_up
    assert new_feed.contract.digest == caught_up_feed.contract.digest


def test_many_processes_append_few_snapshots(service):
    feeds = [_feed(service, wait_ms=100, seed=n) for n in range(10)]
    greenlets = [gevent.spawn(feed.run) for feed in feeds]
    for number in range(6):
        _append(service, number)
    with gevent.Timeout(20):
        while not all(feed.dump()["snapshot_covers"] for feed in feeds):
            gevent.sleep(0.05)
    gevent.sleep(1.5)
    gevent.killall(greenlets)
    records = service.records(log_client.CONTRACT_STREAM)
    snapshot_count = sum(b'"snapshot"' in record.body for record in records)
    assert 1 <= snapshot_count <= 3


def test_a_snapshot_that_is_not_read_yet_is_not_appended_again(service):
    """Busy processes whose waits ended together all appended one."""
    feeds = [_feed(service, seed=n) for n in range(3)]
    for number in range(6):
        _append(service, number)
    for feed in feeds:
        _catch_up(feed)
        assert feed.is_snapshot_due()
    for feed in feeds:
        feed.append_snapshot_if_due()
    records = service.records(log_client.CONTRACT_STREAM)
    assert sum(b'"snapshot"' in record.body for record in records) == 1


def test_records_come_from_peers_in_a_log_outage(service):
    caught_up_feed = _feed(service)
    for number in range(1, 4):
        _append(service, number)
    _catch_up(caught_up_feed)
    service.set_faults(down=True)
    new_feed = _feed(service)
    new_feed.poll()
    new_feed.register_peer_offset(caught_up_feed.offset)
    assert not new_feed.is_caught_up
    new_feed.apply_relayed_records(
        caught_up_feed.records_after(new_feed.offset)
    )
    assert new_feed.is_caught_up
    assert new_feed.contract.digest == caught_up_feed.contract.digest
    service.set_faults(down=False)
    _append(service, 4)
    _catch_up(new_feed)
    assert new_feed.offset == 4


def test_new_process_is_not_ready_in_an_outage_without_peers(service):
    service.set_faults(down=True)
    new_feed = _feed(service)
    new_feed.poll()
    new_feed.register_peer_offset(0)
    assert not new_feed.is_caught_up


def test_process_is_not_ready_below_the_highest_peer_offset(service):
    caught_up_feed = _feed(service)
    _append(service, 1)
    _catch_up(caught_up_feed)
    service.set_faults(down=True)
    new_feed = _feed(service)
    new_feed.poll()
    new_feed.apply_relayed_records(caught_up_feed.records_after(0))
    new_feed.register_peer_offset(2)
    assert new_feed.offset == 1
    assert not _feed(service).is_caught_up
    assert not new_feed.is_caught_up


def test_ready_process_stays_ready_in_an_outage(service):
    feed = _feed(service)
    _append(service, 1)
    _catch_up(feed)
    assert feed.is_caught_up
    service.set_faults(down=True)
    feed.poll()
    feed.register_peer_offset(7)
    assert feed.is_caught_up


def test_peer_far_behind_receives_a_snapshot(service):
    relay = relay_buffer.RelayBuffer(max_records=2)
    caught_up_feed = _feed(service, relay=relay)
    for number in range(1, 6):
        _append(service, number)
    _catch_up(caught_up_feed)
    records = caught_up_feed.records_after(0)
    assert [record.offset for record in records.records] == [5]
    new_feed = _feed(service)
    new_feed.apply_relayed_records(records)
    assert (new_feed.offset, new_feed.contract.digest) == (
        5,
        caught_up_feed.contract.digest,
    )
    assert caught_up_feed.records_after(5).records == ()


def test_invalid_relayed_records_are_rejected(service):
    feed = _feed(service)
    _append(service, 1)
    _catch_up(feed)
    digest = feed.contract.digest
    forged = contract_records.SnapshotRecord(covers=9, lines=(), digest="00")
    bodies = [b"", b"broken", contract_records.encode(forged)]
    feed.apply_relayed_records(
        messages.Records(
            records=tuple(
                messages.RelayedRecord(offset=9, body=body) for body in bodies
            ),
            covers=9,
        )
    )
    assert (feed.offset, feed.contract.digest) == (1, digest)
