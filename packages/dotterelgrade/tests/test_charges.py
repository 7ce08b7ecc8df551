import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from dotterelgrade import charges
from dotterelgrade import errors
from dotterelgrade import log_client
from dotterelgrade_standins import log_service


def _charge(number, workspace="bench"):
    return charges.Charge(
        workspace=workspace,
        request_id=f"r{number}",
        prompt_tokens=3,
        generated_tokens=number,
    )


@pytest.fixture
def service():
    faults = log_service.LogFaults(appends_per_s=1e9)
    return log_service.LogService(faults=faults)


def _sender(service, **options):
    log = log_service.LocalLog(service)
    return charges.ChargeSender(log, incarnation="p1", **options)


def _read_totals(service):
    totals = charges.ChargeTotals()
    for record in service.records(log_client.CHARGES_STREAM):
        totals.apply(record)
    return totals


def test_lost_acknowledgement_charges_once(service):
    sender = _sender(service)
    sender.charge(_charge(5))
    service.set_faults(lose_answers_after=2)
    assert [sender.send() for _ in range(4)] == [False, False, True, True]
    totals = _read_totals(service)
    assert totals.duplicate_batches == 2
    assert totals.total("bench") == charges.Total(
        requests=1, prompt_tokens=3, generated_tokens=5
    )


def test_pending_charges_are_bounded_in_an_outage(service):
    sender = _sender(service, max_pending=10)
    service.set_faults(down=True)
    for number in range(25):
        sender.charge(_charge(number))
        assert not sender.send()
    assert (sender.pending, sender.dropped) == (10, 15)
    assert sender.dropped_by_workspace == {"bench": 15}
    service.set_faults(down=False)
    while sender.pending:
        assert sender.send()
    assert sender.flush(timeout_s=0)
    assert _read_totals(service).total("bench").requests == 10


def test_senders_share_the_append_rate_limit():
    assert charges.append_interval_s(1) == 1.0
    assert charges.append_interval_s(1_100) == 11.0


def test_flush_skips_the_append_interval(service):
    sender = _sender(service, sender_count=lambda: 1_000_000)
    running = gevent.spawn(sender.run)
    gevent.sleep(0.01)
    sender.charge(_charge(1))
    assert sender.flush(timeout_s=20)
    assert _read_totals(service).total("bench").requests == 1
    sender.charge(_charge(2))
    gevent.sleep(0.1)
    assert sender.pending == 1
    service.set_faults(down=True)
    assert not sender.flush(timeout_s=0.1)
    running.kill()


@hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
@hypothesis.given(
    st.lists(
        st.sampled_from(["charge", "send", "lose_before", "lose_after"]),
        max_size=40,
    ),
    st.randoms(use_true_random=False),
)
def test_lost_answers_and_late_duplicates_charge_once(actions, random):
    faults = log_service.LogFaults(appends_per_s=1e9)
    service = log_service.LogService(faults=faults)
    sender = _sender(service, max_batch_items=2)
    charged = 0
    for action in actions:
        if action == "charge":
            charged += 1
            sender.charge(_charge(charged))
            continue
        if action != "send":
            service.set_faults(
                **{f"{action.replace('lose', 'lose_answers')}": 1}
            )
        sender.send()
    service.set_faults(lose_answers_before=0, lose_answers_after=0)
    while sender.pending:
        sender.send()
    records = service.records(log_client.CHARGES_STREAM)
    totals = charges.ChargeTotals()
    for index, record in enumerate(records):
        totals.apply(record)
        totals.apply(random.choice(records[: index + 1]))
    assert totals.total("bench").requests == charged
    assert totals.total("bench").generated_tokens == sum(range(charged + 1))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b'{"type":"batch","id":"p","items":[]}',
        b'{"type":"batch","id":"p:x","items":[]}',
        b'{"type":"batch","id":"p:1","items":[{"workspace":"w"}]}',
        b'{"type":"batch","id":"p:1","items":{"a":1}}',
        b'{"type":"batch","id":"p:1","items":7}',
    ],
)
def test_malformed_batch_charges_nothing(body):
    totals = charges.ChargeTotals()
    with pytest.raises(errors.DotterelgradeError):
        totals.apply(log_client.Record(offset=1, body=body))
    assert totals.totals == {}


def test_least_recently_active_producers_are_evicted():
    totals = charges.ChargeTotals(max_producers=2)
    for offset, name in enumerate(["a", "b", "a", "c"], start=1):
        body = f'{{"type":"batch","id":"{name}:{offset}","items":[]}}'
        record = log_client.Record(offset=offset, body=body.encode())
        assert totals.apply(record)
    body = b'{"type":"batch","id":"a:1","items":[]}'
    assert not totals.apply(log_client.Record(offset=5, body=body))
