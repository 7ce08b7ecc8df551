import dataclasses

import gevent
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import messages
from dotterelgrade_entry import agent_peer

PROMPT = "a b c"


@pytest.fixture
def pair(cell):
    """An entry and two agents that each hold the whole model."""
    cell.nodes = [cell.start_agent(0, 8) for _ in range(2)]
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, engines=2)
    return cell


def _work_of(node):
    return {run.sequence for run in node.engine.runs}


def _states(entry):
    return {item["host"]: item["state"] for item in entry.dump()["fleet"]}


def _complete_many(cell, helpers, count=8):
    """Sends requests at once and returns their identifiers."""
    prompts = [f"{PROMPT} {number}" for number in range(count)]
    answers = [
        gevent.spawn(cell.complete, cell.entry, prompt, max_tokens=2)
        for prompt in prompts
    ]
    gevent.joinall(answers, timeout=30)
    for prompt, answer in zip(prompts, answers, strict=True):
        assert helpers.text_of(answer.value) == helpers.expected_text(
            prompt, max_tokens=2
        )
    return {
        answer.value.json()["id"].removeprefix("cmpl-") for answer in answers
    }


def test_both_agents_get_work(pair, helpers):
    _complete_many(pair, helpers, 16)
    assert all(_work_of(node) for node in pair.nodes)


def test_an_agent_that_drains_gets_no_new_work_and_cuts_none(pair, helpers):
    leaving, staying = pair.nodes
    for node in pair.nodes:
        node.engine.set_faults(slow_factor=50.0)
    answers = [
        gevent.spawn(pair.complete, pair.entry, PROMPT, max_tokens=6)
        for _ in range(6)
    ]
    helpers.wait_until(lambda: len(_work_of(leaving)) > 0)
    drained = gevent.spawn(leaving.agent.drain)
    helpers.wait_until(
        lambda: _states(pair.entry).get(leaving.host) == "leaving"
    )
    late = _complete_many(pair, helpers, 4)
    assert not late & {name.partition(".")[0] for name in _work_of(leaving)}
    for answer in gevent.joinall(answers, timeout=30):
        assert helpers.text_of(answer.value) == helpers.expected_text(
            PROMPT, max_tokens=6
        )
    drained.get(timeout=30)
    assert staying.engine.runs


def test_a_drain_rule_of_the_contract_keeps_work_away(pair, helpers):
    drained, _ = pair.nodes
    pair.apply(f"drain host={drained.host}  # operations: new fan")
    contract = pair.entry.feed.contract
    helpers.wait_until(lambda: contract.is_draining(drained.host))
    _complete_many(pair, helpers)
    assert not _work_of(drained)


def test_a_host_that_the_list_shows_as_leaving_gets_no_work(pair, helpers):
    leaving, _ = pair.nodes
    entries = pair.hosts.entries
    entries[leaving.host] = dataclasses.replace(
        entries[leaving.host], state="leaving"
    )
    helpers.wait_until(
        lambda: len(pair.entry.fleet.candidates("inlay")[(0, 8)]) == 1
    )
    _complete_many(pair, helpers)
    assert not _work_of(leaving)


def test_a_host_missing_from_the_lagging_list_keeps_its_work(pair, helpers):
    pair.hosts.entries.clear()
    gevent.sleep(0.5)
    _complete_many(pair, helpers)
    assert all(peer.is_connected for peer in pair.entry.fleet.peers.values())


def test_a_joining_host_takes_work(pair, helpers):
    joined = pair.start_agent(0, 8)
    pair.wait_for(pair.entry, engines=3)

    def has_work():
        _complete_many(pair, helpers, 2)
        return bool(_work_of(joined))

    helpers.wait_until(has_work)


def test_never_more_than_a_share_is_ejected(cell):
    for _ in range(6):
        cell.start_agent(0, 8)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=6)
    candidates = list(entry.fleet.candidates("inlay")[(0, 8)])
    ejected = [
        entry.fleet.eject(candidate, reason="test") for candidate in candidates
    ]
    assert sum(ejected) == 2
    assert len(entry.fleet.candidates("inlay")[(0, 8)]) == 4


def test_the_only_backend_server_of_its_kind_is_not_ejected(cell):
    cell.start_agent(0, 8)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    (candidate,) = entry.fleet.candidates("inlay")[(0, 8)]
    assert not entry.fleet.eject(candidate, reason="test")


def test_an_ejected_backend_server_comes_back(cell, helpers):
    for _ in range(3):
        cell.start_agent(0, 8)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=3)
    candidate = entry.fleet.candidates("inlay")[(0, 8)][0]
    assert entry.fleet.eject(candidate, reason="test")
    helpers.wait_until(
        lambda: len(entry.fleet.candidates("inlay")[(0, 8)]) == 3
    )


def test_a_large_fleet_is_dialed_in_part_per_failure_domain(cell, helpers):
    for domain in ("recife-a", "recife-b"):
        for _ in range(5):
            process = cell.process(domain)
            cell.hosts.put(process, connection_frames.Role.AGENT)
    entry = cell.start_entry(agents_per_domain=2)
    helpers.wait_until(lambda: len(entry.fleet.peers) == 4)
    domains = [p.entry.failure_domain for p in entry.fleet.peers.values()]
    assert sorted(domains) == ["recife-a"] * 2 + ["recife-b"] * 2


def _answer_steps(agent, connection, frame):
    if isinstance(frame, messages.Admit):
        connection.send(agent.admitted(frame))
    for step in getattr(frame, "steps", ()):
        token = messages.Token(
            request_id=step.request_id,
            attempt=step.attempt,
            position=step.position + len(step.inputs),
            token=7,
        )
        connection.send(messages.Tokens(tokens=(token,)))


def test_an_agent_that_was_idle_is_not_suspected_when_work_begins(
    cell, helpers
):
    cell.start_fake_agent(0, 8, _answer_steps)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    # Longer than the silence that counts against an agent with work.
    gevent.sleep(entry.settings.silence_limit_s + 0.3)
    for _ in range(20):
        answer = cell.complete(entry, PROMPT, max_tokens=2)
        assert helpers.text_of(answer) == " t7 t7"
    assert "agent_suspected" not in helpers.decisions(entry)


def test_a_suspected_agent_takes_work_again_once_it_answers(cell, helpers):
    cell.start_fake_agent(0, 8, _answer_steps)
    entry = cell.start_entry()
    cell.wait_for(entry, engines=1)
    (peer,) = entry.fleet.peers.values()
    entry.fleet.suspect(peer, "test")
    assert not entry.fleet.takes_work(peer)
    helpers.wait_until(lambda: entry.fleet.takes_work(peer))


def _fail_once(function):
    """Returns the function, which raises an unexpected error at first."""
    calls = []

    def failing(*args, **options):
        calls.append(args)
        if len(calls) == 1:
            raise ArithmeticError("a fault")
        return function(*args, **options)

    return failing


def test_a_fault_while_the_host_list_is_read_does_not_end_the_reading(
    cell, monkeypatch
):
    """The entry knew no agent from then on."""
    monkeypatch.setattr(cell.hosts, "read", _fail_once(cell.hosts.read))
    cell.entry = cell.start_entry()
    cell.start_agent(0, 8)
    cell.wait_for(cell.entry, engines=1)


def test_an_agent_whose_frame_raised_a_fault_is_dialed_again(cell, monkeypatch):
    """The entry never sent that agent work again."""
    monkeypatch.setattr(
        agent_peer.AgentPeer,
        "_note_report",
        _fail_once(agent_peer.AgentPeer._note_report),
    )
    cell.start_agent(0, 8)
    cell.entry = cell.start_entry()
    cell.wait_for(cell.entry, engines=1)


def test_a_fault_in_the_watch_over_agents_does_not_end_it(pair, helpers):
    """Silent agents were never suspected, and no time limit was looked at."""
    exchange = pair.entry._exchange
    exchange.tick = _fail_once(exchange.tick)
    helpers.wait_until(
        lambda: "part_restarted" in helpers.decisions(pair.entry)
    )
    peer = next(iter(pair.entry.fleet.peers.values()))
    pinged_s = peer.ping_age_s
    helpers.wait_until(lambda: peer.ping_age_s < pinged_s)
