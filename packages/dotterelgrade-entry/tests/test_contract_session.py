import gevent
import pytest

from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import grammar
from dotterelgrade import log_client
from dotterelgrade_entry import contract_session
from dotterelgrade_standins import log_service

_FIRST = ("drain host=10.0.0.1 # ops: fan", "drain host=10.0.0.2 # ops: fan")


def _lines(*texts):
    return grammar.parse("\n".join(texts)).unwrap()


@pytest.fixture
def service():
    faults = log_service.LogFaults(appends_per_s=1e9)
    return log_service.LogService(faults=faults)


def _session(service):
    session = contract_session.ContractSession(log_service.LocalLog(service))
    session.catch_up(timeout_s=1.0).unwrap()
    return session


def _apply(service, *texts, author="ana"):
    return _session(service).apply(_lines(*texts), author=author)


def _texts(service):
    return [line.text for line in _session(service).contract.lines]


def test_a_file_is_the_whole_contract(service):
    assert len(_apply(service, *_FIRST).unwrap().changed) == 2
    done = _apply(service, _FIRST[1], "drain host=10.0.0.3 # ops: fan")
    assert set(done.unwrap().changed) == {
        "drain host=10.0.0.1",
        "drain host=10.0.0.3",
    }
    assert _texts(service) == [_FIRST[1], "drain host=10.0.0.3 # ops: fan"]


def test_the_same_file_again_appends_nothing(service):
    offset = _apply(service, *_FIRST).unwrap().offset
    again = _apply(service, *_FIRST).unwrap()
    assert (again.offset, again.changed) == (offset, ())
    assert service.appends == 1


def test_of_two_operators_the_loser_hears_who_won_with_what(service):
    _apply(service, *_FIRST)
    ana, rui = _session(service), _session(service)
    won = "drain host=10.0.0.1 # ana: new fan"
    mine = "drain host=10.0.0.1 # rui: old fan"
    ana.apply(_lines(won, _FIRST[1]), author="ana").unwrap()
    lost = rui.apply(
        _lines(mine, "drain host=10.0.0.2 # rui: too"), author="rui"
    ).failure()
    assert lost.kind is errors.ErrorKind.CONTRACT_CONFLICT
    assert lost.run_state is errors.Run.NOT_RUN
    assert f"ana won at offset 2 with: {won}" in lost.message
    assert _texts(service) == [won, _FIRST[1]]


def test_operators_editing_other_lines_both_pass(service):
    _apply(service, *_FIRST)
    ana, rui = _session(service), _session(service)
    mine = ("drain host=10.0.0.1 # ana: a", "drain host=10.0.0.2 # rui: b")
    ana.apply(_lines(mine[0], _FIRST[1]), author="ana").unwrap()
    rui.apply(_lines(_FIRST[0], mine[1]), author="rui").unwrap()
    assert _texts(service) == list(mine)


def test_the_loser_hears_of_a_removal(service):
    _apply(service, *_FIRST)
    ana, rui = _session(service), _session(service)
    ana.apply(_lines(_FIRST[1]), author="ana").unwrap()
    lost = rui.apply(
        _lines("drain host=10.0.0.1 # rui: b", _FIRST[1]), author="rui"
    )
    assert "ana removed it at offset 2" in lost.failure().message


@pytest.mark.parametrize("fault", ["after", "before"])
def test_a_lost_answer_does_not_matter(service, fault):
    service.set_faults(**{f"lose_answers_{fault}": 2})
    assert len(_apply(service, *_FIRST).unwrap().changed) == 2
    assert _texts(service) == list(_FIRST)


def test_in_an_outage_the_outcome_is_told_as_unknown(service):
    session = _session(service)
    service.set_faults(down=True)
    answer = session.apply(_lines(*_FIRST), author="ana", timeout_s=0.3)
    assert answer.failure().kind is errors.ErrorKind.LOG_UNAVAILABLE
    assert answer.failure().run_state is errors.Run.UNKNOWN
    late = contract_session.ContractSession(log_service.LocalLog(service))
    failure = late.catch_up(timeout_s=0.2).failure()
    assert failure.kind is errors.ErrorKind.LOG_UNAVAILABLE


def test_an_outage_that_ends_in_time_is_waited_out(service):
    session = _session(service)
    service.set_faults(down=True)
    gevent.spawn_later(0.3, service.set_faults, down=False)
    answer = session.apply(_lines(*_FIRST), author="ana", timeout_s=20)
    assert answer.unwrap().offset == 1


def test_records_gone_without_a_snapshot_are_told(service):
    _apply(service, *_FIRST)
    service.append(log_client.CONTRACT_STREAM, b"broken")
    service.set_faults(keep_records=1)
    late = contract_session.ContractSession(log_service.LocalLog(service))
    failure = late.catch_up(timeout_s=0.2).failure()
    assert failure.kind is errors.ErrorKind.RECORD_EXPIRED
    assert "before offset 2" in failure.message


def test_a_restore_begins_anew_only_when_the_log_lost_the_contract(service):
    _apply(service, *_FIRST)
    session = contract_session.ContractSession(log_service.LocalLog(service))
    refused = session.restore(_lines(_FIRST[0]), author="ana").failure()
    assert refused.kind is errors.ErrorKind.CONTRACT_CONFLICT
    service.set_faults(keep_records=0)
    service.set_faults(keep_records=100)
    service.set_faults(lose_answers_after=1)
    session = contract_session.ContractSession(log_service.LocalLog(service))
    done = session.restore(_lines(_FIRST[0]), author="ana").unwrap()
    assert done.changed == ("drain host=10.0.0.1",)
    assert _texts(service) == [_FIRST[0]]
    assert len(_apply(service, *_FIRST).unwrap().changed) == 1


def test_a_restore_that_comes_too_late_is_refused(service):
    _apply(service, *_FIRST)
    service.set_faults(keep_records=0)
    service.set_faults(keep_records=100)
    ana, rui = (
        contract_session.ContractSession(log_service.LocalLog(service))
        for _ in range(2)
    )
    ana.restore(_lines(_FIRST[0]), author="ana").unwrap()
    lost = rui.restore(_lines(_FIRST[1]), author="rui").failure()
    assert lost.kind is errors.ErrorKind.CONTRACT_CONFLICT
    assert _texts(service) == [_FIRST[0]]


def test_the_history_tells_each_verdict(service):
    _apply(service, *_FIRST)
    service.append(log_client.CONTRACT_STREAM, b"broken")
    contract = _session(service).contract
    service.append(
        log_client.CONTRACT_STREAM,
        contract_records.encode(contract.snapshot()),
    )
    kinds = [o.kind.value for o in _session(service).history]
    assert kinds == ["accepted", "invalid", "snapshot"]
