import collections
import dataclasses
import types
import uuid

import gevent
import msgpack
import pytest
import uuid6

from dotterelgrade import frame_codec
from dotterelgrade import journal
from dotterelgrade import messages
from dotterelgrade import rendezvous
from dotterelgrade import rules
from dotterelgrade_entry import service_calls
from dotterelgrade_routing import retry_budget
from dotterelgrade_standins import deposits

DEPOSIT = {"account": "a1", "amount": 5}


def _deposit(cell, *, key="", name="deposits", method="POST", **options):
    headers = {"Idempotency-Key": key} if key else {}
    return cell.call(
        cell.entry,
        f"/services/{name}/deposits",
        DEPOSIT,
        headers=headers,
        method=method,
        **options,
    )


@pytest.fixture
def service():
    return deposits.DepositService()


@pytest.fixture
def worker(cell, service):
    cell.worker = cell.start_order_worker(service)
    cell.entry = cell.start_entry(call_timeout_s=5.0)
    cell.wait_for(cell.entry, services=1)
    return cell


def test_a_keyed_repeat_gets_the_recorded_outcome(worker, service):
    key = str(uuid6.uuid7())
    first = _deposit(worker, key=key)
    second = _deposit(worker, key=key)
    assert (first.status, second.status) == (200, 200)
    assert first.body == second.body
    headers = {name.lower(): value for name, value in second.headers.items()}
    assert headers["idempotent-replayed"] == "true"
    assert len(service.ledger) == 1


def test_another_body_under_one_key_is_refused(worker, service):
    key = str(uuid6.uuid7())
    assert _deposit(worker, key=key).status == 200
    other = worker.call(
        worker.entry,
        "/services/deposits/deposits",
        {"account": "a2", "amount": 7},
        headers={"Idempotency-Key": key},
    )
    assert (other.status, other.error["kind"]) == (422, "key_reused")
    assert len(service.ledger) == 1


@pytest.mark.parametrize(
    ("key", "kind", "run"),
    [
        ("not a key", "key_invalid", "not_run"),
        (str(uuid.uuid4()), "key_invalid", "not_run"),
        ("00000000-0000-7000-8000-000000000000", "key_too_old", "unknown"),
    ],
)
def test_a_key_that_tells_no_fresh_age_is_refused(
    worker, service, key, kind, run
):
    error = _deposit(worker, key=key).error
    assert (error["kind"], error["run"]) == (kind, run)
    assert not service.ledger


def test_an_unknown_service_is_refused(worker):
    error = _deposit(worker, name="weather").error
    assert (error["kind"], error["run"]) == ("unknown_service", "not_run")


def _vanish(agent, connection, frame):
    if isinstance(frame, messages.Call):
        connection.close("the host is gone")


def _key_asking(first, second):
    """Returns a key whose first choice is the first of two agents."""
    names = [f"{fake.process.host}:7400/order" for fake in (first, second)]
    while True:
        key = str(uuid6.uuid7())
        if rendezvous.rank(key, names)[0] == names[0]:
            return key


def _start_fake_worker(cell, on_frame):
    fake = cell.start_fake_agent(0, 2, on_frame)
    fake.report = messages.BackendReport(
        backend="order", kind="service", service="order", slots_free=16
    )
    return fake


def test_an_unkeyed_call_is_sent_once_and_unknown_when_lost(cell):
    fakes = [_start_fake_worker(cell, _vanish) for _ in range(2)]
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, services=2)
    answer = _deposit(cell)
    assert (answer.status, answer.error["run"]) == (502, "unknown")
    assert sum(len(fake.of(messages.Call)) for fake in fakes) == 1


def test_a_keyed_call_is_retried_at_another_agent_under_the_same_key(cell):
    def reply(agent, connection, frame):
        if isinstance(frame, messages.Call):
            connection.send(
                messages.CallReply(
                    request_id=frame.request_id,
                    status=201,
                    headers={"X-Run": "1", "Bad\r\nName": "x"},
                    body=b"done",
                )
            )

    lost = _start_fake_worker(cell, _vanish)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, services=1)
    # With one agent there is nowhere to retry.
    assert _deposit(cell, key=str(uuid6.uuid7())).error["run"] == "unknown"
    healthy = _start_fake_worker(cell, reply)
    cell.wait_for(cell.entry, services=2)
    key = _key_asking(lost, healthy)
    assert _deposit(cell, key=key).status == 201
    for fake in (lost, healthy):
        assert key in {frame.key for frame in fake.of(messages.Call)}


def test_a_refusal_after_a_lost_try_is_not_told_as_not_run(cell):
    def refuse(agent, connection, frame):
        if isinstance(frame, messages.Call):
            connection.send(
                messages.CallFailed(
                    request_id=frame.request_id,
                    kind="log_unavailable",
                    message="no log",
                    run="not_run",
                )
            )

    lost = _start_fake_worker(cell, _vanish)
    refusing = _start_fake_worker(cell, refuse)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, services=2)
    error = _deposit(cell, key=_key_asking(refusing, lost)).error
    assert (error["kind"], error["run"]) == ("log_unavailable", "not_run")
    error = _deposit(cell, key=_key_asking(lost, refusing)).error
    assert (error["kind"], error["run"]) == ("outcome_unknown", "unknown")


def test_an_answer_from_another_agent_or_to_another_call_is_ignored(cell):
    calls = []

    def collect(agent, connection, frame):
        if isinstance(frame, messages.Call):
            calls.append((connection, frame))

    _start_fake_worker(cell, collect)
    other = _start_fake_worker(cell, collect)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, services=2)
    answers = [gevent.spawn(_deposit, cell) for _ in range(6)]
    gevent.sleep(0.3)
    assert len(calls) == 6
    for connection, frame in calls:
        wrong = messages.CallReply(
            request_id=frame.request_id, status=200, headers={}, body=b"wrong"
        )
        for stranger in other.connections:
            if stranger is not connection:
                stranger.send(wrong)
    gevent.sleep(0.2)
    for connection, frame in reversed(calls):
        connection.send(
            messages.CallReply(
                request_id=frame.request_id,
                status=200,
                headers={},
                body=frame.request_id.encode(),
            )
        )
    for answer in gevent.joinall(answers, timeout=10):
        headers = {k.lower(): v for k, v in answer.value.headers.items()}
        assert answer.value.body.decode() == headers["x-request-id"]


def _reply(connection, frame, *, body=b"done"):
    connection.send(
        messages.CallReply(
            request_id=frame.request_id, status=201, headers={}, body=body
        )
    )


def _silent_for(pause_s):
    """Returns the handler of an agent that falls silent and goes on."""

    def handle(agent, connection, frame):
        if isinstance(frame, messages.Call):
            gevent.sleep(pause_s)
            _reply(connection, frame)

    return handle


@pytest.mark.parametrize("is_keyed", [False, True])
def test_a_call_whose_agent_falls_silent_is_not_given_up(cell, is_keyed):
    """The agent was only silent, and there was no other one to ask."""
    silent = _start_fake_worker(cell, _silent_for(1.7))
    cell.entry = cell.start_entry(call_timeout_s=8.0)
    cell.wait_for(cell.entry, services=1)
    key = str(uuid6.uuid7()) if is_keyed else ""
    assert _deposit(cell, key=key).status == 201
    assert len(silent.of(messages.Call)) == 1


def test_an_unkeyed_call_is_not_sent_again_when_its_agent_falls_silent(cell):
    fakes = [_start_fake_worker(cell, _silent_for(1.7)) for _ in range(2)]
    cell.entry = cell.start_entry(call_timeout_s=8.0)
    cell.wait_for(cell.entry, services=2)
    assert _deposit(cell).status == 201
    assert sum(len(fake.of(messages.Call)) for fake in fakes) == 1


def test_a_keyed_call_at_a_silent_agent_is_answered_by_another(cell):
    silent = _start_fake_worker(cell, _silent_for(6.0))

    def reply(agent, connection, frame):
        if isinstance(frame, messages.Call):
            _reply(connection, frame, body=b"other")

    other = _start_fake_worker(cell, reply)
    cell.entry = cell.start_entry(call_timeout_s=5.0)
    cell.wait_for(cell.entry, services=2)
    answer = _deposit(cell, key=_key_asking(silent, other))
    assert (answer.status, answer.body) == (201, b"other")


def test_a_refusal_elsewhere_does_not_end_the_wait_for_a_silent_agent(cell):
    """Its answer came after another agent had refused the same call."""

    def refuse(agent, connection, frame):
        if isinstance(frame, messages.Call):
            connection.send(
                messages.CallFailed(
                    request_id=frame.request_id,
                    kind="log_unavailable",
                    message="no log",
                    run="not_run",
                )
            )

    silent = _start_fake_worker(cell, _silent_for(2.0))
    refusing = _start_fake_worker(cell, refuse)
    cell.entry = cell.start_entry(call_timeout_s=8.0)
    cell.wait_for(cell.entry, services=2)
    answer = _deposit(cell, key=_key_asking(silent, refusing))
    assert answer.status == 201
    assert len(refusing.of(messages.Call)) == 1


def test_a_call_whose_silent_agent_is_lost_ends_unknown(cell):
    def vanish_later(agent, connection, frame):
        if isinstance(frame, messages.Call):
            gevent.sleep(1.5)
            connection.close("the host is gone")

    _start_fake_worker(cell, vanish_later)
    cell.entry = cell.start_entry(call_timeout_s=8.0)
    cell.wait_for(cell.entry, services=1)
    error = _deposit(cell).error
    assert (error["kind"], error["run"]) == ("outcome_unknown", "unknown")


def _send_refusal(connection, call):
    """Sends a refusal that names the backend server that refused."""
    tag, fields = frame_codec.to_wire(
        messages.CallFailed(
            request_id=call.request_id,
            kind="no_capacity",
            message="full",
            run="not_run",
        )
    )
    connection.send_encoded(
        msgpack.packb([tag, {**fields, "backend": call.backend}])
    )


def test_a_refusal_sent_once_more_is_not_that_of_the_next_attempt(
    cell, helpers
):
    """A call that ran at the agent's other backend server was refused."""
    calls = []

    def handle(agent, connection, frame):
        if not isinstance(frame, messages.Call):
            return
        calls.append(frame)
        _send_refusal(connection, calls[0])
        if len(calls) == 2:
            gevent.sleep(0.3)
            _reply(connection, frame)

    fake = _start_fake_worker(cell, handle)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, services=1)
    both = tuple(
        dataclasses.replace(fake.report, backend=name)
        for name in ("order-1", "order-2")
    )
    for connection in fake.connections:
        connection.send(
            messages.Report(
                state=messages.ProcessState.READY,
                contract_offset=0,
                backends=both,
            )
        )
    helpers.wait_until(lambda: len(cell.entry.fleet.services("order")) == 2)
    assert _deposit(cell).status == 201
    assert len({call.backend for call in calls}) == 2


def test_a_service_that_never_answers_ends_unknown(cell):
    _start_fake_worker(cell, lambda *_: None)
    cell.entry = cell.start_entry(call_timeout_s=0.3)
    cell.wait_for(cell.entry, services=1)
    error = _deposit(cell).error
    assert (error["kind"], error["run"]) == ("deadline_exceeded", "unknown")
    assert cell.entry.dump()["requests"] == []


def test_without_an_agent_nothing_was_run(cell, helpers):
    cell.entry = cell.start_entry()
    helpers.wait_until(lambda: cell.entry.is_ready)
    error = _deposit(cell).error
    assert (error["kind"], error["run"]) == ("no_capacity", "not_run")


class _Peer:
    """Takes frames, and answers nothing by itself."""

    is_connected = True

    def __init__(self, address):
        self.address = address

    def send(self, frame):
        return True


class _Fleet:
    """Counts the work in flight at agents."""

    def __init__(self, candidates):
        self.busy = collections.Counter()
        self._candidates = candidates

    def note_busy(self, address, change):
        self.busy[address] += change

    def in_flight(self, address):
        return self.busy[address]

    def services(self, service):
        return self._candidates


class _Exchange:
    """Holds the call in flight."""

    pending = None

    def join(self, request_id, pending):
        self.pending = pending

    def leave(self, request_id):
        self.pending = None


def _candidate(name):
    report = messages.BackendReport(
        backend=name, kind="service", service="order"
    )
    view = types.SimpleNamespace(key=name, report=report)
    return _Peer(name), view


def _get_order():
    return service_calls.CallOrder(
        request_id="r1",
        workspace="w",
        rule=rules.ServiceRule(name="order", to="order", repeat="safe"),
        method="GET",
        path="/",
        headers={},
        body=b"",
    )


def _answer(pending, count):
    """Delivers the answers of some agents before any greenlet runs."""
    for peer, view in pending.open_attempts[:count]:
        answer = messages.CallReply(
            request_id="r1",
            status=200,
            headers={},
            body=b"done",
            backend=view.report.backend,
        )
        pending.on_reply(peer, answer)


@pytest.mark.parametrize("answers", [1, 2])
def test_an_answered_call_leaves_no_work_in_flight(helpers, answers):
    """The agent whose answer came second counted as busy for ever."""
    fleet = _Fleet([_candidate("one"), _candidate("two")])
    exchange = _Exchange()
    calls = service_calls.ServiceCalls(
        types.SimpleNamespace(call_timeout_s=5.0),
        fleet=fleet,
        exchange=exchange,
        budget=retry_budget.RetryBudget(),
        journal=journal.Journal(),
    )
    caller = gevent.spawn(calls.call, _get_order())
    helpers.wait_until(lambda: exchange.pending and fleet.busy.total() == 1)
    pending = exchange.pending
    pending.on_lost(pending.open_attempts[0][0], "silent")
    helpers.wait_until(lambda: fleet.busy.total() == 2)
    _answer(pending, answers)
    answer = caller.get(timeout=5).unwrap()
    assert (answer.status, answer.body) == (200, b"done")
    assert not +fleet.busy
    assert not -fleet.busy
