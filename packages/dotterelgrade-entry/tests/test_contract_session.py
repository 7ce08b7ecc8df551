import itertools

import gevent
import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
from returns import pipeline

from dotterelgrade import contract_feed
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
    assert lost.run_state is errors.RunState.NOT_RUN
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
    assert answer.failure().run_state is errors.RunState.UNKNOWN
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


_HOSTS = tuple(f"10.0.0.{number}" for number in range(1, 4))


class _CutLog(log_service.LocalLog):
    """Takes an append, loses its answer and is down from then on."""

    def __init__(self, service):
        super().__init__(service)
        self.service = service
        self.cuts = False

    def append(self, stream, body):
        if not self.cuts:
            return super().append(stream, body)
        self.service.set_faults(lose_answers_after=1)
        answer = super().append(stream, body)
        self.service.set_faults(down=True)
        return answer


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """Operators and processes over a log that fails in every way it may.

    What an operator is told holds: an accepted file is in force, whole, until
    a later one is accepted; of a refused one no line ever shows.
    """

    operators = st.integers(0, 1)
    processes = st.integers(0, 2)

    def __init__(self):
        super().__init__()
        faults = log_service.LogFaults(appends_per_s=1e9)
        self.service = log_service.LogService(faults=faults)
        self.log = _CutLog(self.service)
        self.sessions = [None, None]
        self.feeds = [self.new_feed() for _ in range(3)]
        self.offsets = [0, 0, 0]
        self.numbers = itertools.count()
        self.refused = set()
        self.accepted = {}

    def new_feed(self):
        return contract_feed.ContractFeed(self.log, wait_ms=0, seed=1)

    @stateful.rule(operator=operators)
    def open(self, operator):
        session = contract_session.ContractSession(self.log)
        answer = session.catch_up(timeout_s=0)
        opened = pipeline.is_successful(answer)
        self.sessions[operator] = session if opened else None

    @stateful.rule(
        operator=operators,
        hosts=st.sets(st.sampled_from(_HOSTS), max_size=3),
        fault=st.sampled_from(["none"] * 4 + ["before", "after", "cut"]),
    )
    def apply(self, operator, hosts, fault):
        if self.sessions[operator] is None:
            self.open(operator)
        session = self.sessions[operator]
        if session is None:
            return
        self.play(fault)
        view = session.contract.offset
        tag = f"t{next(self.numbers)}"
        held = {line.identity: line.text for line in session.contract.lines}
        texts = [
            held.get(f"drain host={host}", f"drain host={host} # ops: {tag}")
            if index % 2
            else f"drain host={host} # ops: {tag}"
            for index, host in enumerate(sorted(hosts))
        ]
        answer = session.apply(
            _lines(*texts), author=f"operator-{operator}", timeout_s=0
        )
        self.note(answer, tag, texts, view)
        self.play("none")

    def note(self, answer, tag, texts, view):
        if pipeline.is_successful(answer):
            done = answer.unwrap()
            if done.changed:
                changed = {t.partition(" #")[0]: t for t in texts}
                self.check_nothing_was_overwritten(done, view)
                self.accepted[done.offset] = {
                    identity: changed.get(identity) for identity in done.changed
                }
        elif answer.failure().kind is errors.ErrorKind.CONTRACT_CONFLICT:
            self.refused.add(tag)
        else:
            assert answer.failure().run_state is errors.RunState.UNKNOWN

    def check_nothing_was_overwritten(self, done, view):
        for offset, lines in self.accepted.items():
            if view < offset < done.offset:
                assert not set(lines) & set(done.changed)

    def play(self, fault):
        self.log.cuts = fault == "cut"
        self.service.set_faults(
            down=fault == "down",
            lose_answers_before=int(fault == "before"),
            lose_answers_after=int(fault == "after"),
        )

    @stateful.rule(process=processes, times=st.integers(1, 4))
    def step(self, process, times):
        for _ in range(times):
            self.feeds[process].poll()

    @stateful.rule(process=processes)
    def restart(self, process):
        self.feeds[process] = self.new_feed()
        self.offsets[process] = 0

    @stateful.rule(process=processes)
    def snapshot(self, process):
        feed = self.feeds[process]
        if feed.has_reached_log_end and feed.offset:
            feed.append_snapshot()

    @stateful.rule(giver=processes, taker=processes)
    def relay(self, giver, taker):
        offset = self.feeds[taker].offset
        self.feeds[taker].apply_relayed_records(
            self.feeds[giver].records_after(offset)
        )

    @stateful.rule(keep=st.integers(1, 8))
    def forget(self, keep):
        self.service.set_faults(keep_records=keep)
        self.service.set_faults(keep_records=1_000_000)

    @stateful.rule()
    def broken_record(self):
        self.service.append(log_client.CONTRACT_STREAM, b"broken")

    @stateful.invariant()
    def what_operators_were_told_holds(self):
        for feed in self.feeds:
            held = {x.identity: x.text for x in feed.contract.lines}
            shown = {text.rpartition(" ")[2] for text in held.values()}
            assert not shown & self.refused
            self.check_accepted(feed, held)

    def check_accepted(self, feed, held):
        fold = feed.contract.snapshot()
        offsets = {x.identity: x.offset for x in (*fold.lines, *fold.removals)}
        latest = {}
        for offset in sorted(self.accepted):
            if offset <= feed.offset:
                for identity, text in self.accepted[offset].items():
                    latest[identity] = (offset, text)
        for identity, (offset, text) in latest.items():
            # An edit whose outcome was unknown may have come later.
            if offsets.get(identity, 0) <= offset:
                assert held.get(identity) == text

    @stateful.invariant()
    def processes_agree_and_never_go_back(self):
        digests = {}
        for place, feed in enumerate(self.feeds):
            assert feed.offset >= self.offsets[place]
            self.offsets[place] = feed.offset
            digest = feed.contract.digest
            assert digests.setdefault(feed.offset, digest) == digest


OperatorsMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestOperators = OperatorsMachine.TestCase
