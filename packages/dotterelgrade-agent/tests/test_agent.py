"""The agent as a whole: its life cycle."""

import json

import gevent
import geventhttpclient
import pytest

from dotterelgrade import connection_frames
from dotterelgrade import errors
from dotterelgrade import host_list
from dotterelgrade import messages
from dotterelgrade_standins import layers

PROMPT = (5, 6, 7)


def _expected(count):
    return layers.expected_tokens(PROMPT, layers=9, max_tokens=count)


def _admin(target, method, path):
    process = target.settings.process
    client = geventhttpclient.HTTPClient(process.host, process.admin_port)
    response = client.request(method, path)
    return response.status_code, json.loads(response.read())


def test_tokens_of_a_chain_are_those_of_the_model(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    tokens = fleet.generate(agents[0], "r1", PROMPT, 8)
    assert tokens == _expected(8)


def test_a_long_prompt_in_pieces_gives_the_same_tokens(fleet):
    agents = fleet.chain()
    prompt = tuple(range(1, 2_000))
    fleet.admit_chain("r1", agents, prompt_tokens=len(prompt))
    tokens = fleet.generate(agents[0], "r1", prompt, 2)
    assert tokens == layers.expected_tokens(prompt, layers=9, max_tokens=2)
    runs = fleet.engines[agents[0]].runs
    assert len(runs) > 2


def test_two_agents_can_not_serve_one_address(fleet):
    first = fleet.engine_agent(0)
    with pytest.raises(OSError, match="in use"):
        fleet.start(first.settings)
    fleet.wait_usable(first)


def _drain_rule(fleet, target):
    host = target.settings.process.host
    fleet.contract(f"drain host={host} # operations: new fan")


def _host_list(fleet, target):
    process = target.settings.process
    fleet.hosts.put(
        host_list.HostEntry(
            host=process.host,
            role=connection_frames.Role.AGENT,
            peer_port=process.peer_port,
            admin_port=process.admin_port,
            failure_domain=process.failure_domain,
            state="leaving",
        )
    )


def _post(fleet, target):
    assert _admin(target, "POST", "/drain")[0] == 202


@pytest.mark.parametrize("ask", [_drain_rule, _host_list, _post])
def test_a_leaving_agent_cuts_nothing_and_admits_nothing(fleet, admit, ask):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    first = fleet.token("r1", 3)
    target = agents[1]
    ask(fleet, target)
    fleet.entry.wait(
        messages.Report,
        where=lambda report: report.state == messages.ProcessState.LEAVING,
        source=target,
    )
    fleet.entry.send(target, admit("r2", stage=1, next_hop=None))
    refused = fleet.entry.wait(messages.Refused)
    assert refused.kind == errors.ErrorKind.LEAVING
    assert _admin(target, "GET", "/readyz")[0] == 503
    drained = gevent.spawn(target.departure.wait)
    fleet.step(agents[0], "r1", 3, (first,))
    assert (first, fleet.token("r1", 4)) == _expected(2)
    assert not drained.ready()
    for item in agents:
        fleet.entry.send(item, messages.Release(request_id="r1", attempt=1))
    assert drained.get(timeout=10)
    assert len(fleet.engines[target].runs) == 2


def test_a_drain_that_is_taken_back_lets_work_in_again(fleet, admit):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    _drain_rule(fleet, target)
    with gevent.Timeout(10):
        while target.is_ready:
            gevent.sleep(0.01)
    fleet.remove_line(f"drain host={target.settings.process.host}")
    with gevent.Timeout(10):
        while not target.is_ready:
            gevent.sleep(0.01)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)


def test_a_drain_gives_up_after_its_time(fleet, admit):
    target = fleet.engine_agent(0, agent={"drain_timeout_s": 0.2})
    fleet.wait_usable(target)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    assert not target.drain()
    assert target.journal.latest()[-1].decision == "drain_timed_out"


def test_a_restarted_agent_cancels_what_its_engine_holds(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    fleet.step(agents[0], "r1", 0, PROMPT)
    fleet.token("r1", 3)
    target = agents[0]
    engine = fleet.engines[target]
    target.stack.close()
    assert engine.sequences
    fleet.entry.connections.pop(target, None)
    restarted = fleet.start(target.settings)
    fleet.wait_usable(restarted)
    with gevent.Timeout(10):
        while engine.sequences:
            gevent.sleep(0.01)


def test_an_agent_without_the_contract_is_not_ready(fleet):
    fleet.log.set_faults(down=True)
    target = fleet.engine_agent(0)
    assert _admin(target, "GET", "/readyz")[0] == 503
    fleet.log.set_faults(down=False)
    fleet.wait_usable(target)
    assert _admin(target, "GET", "/readyz")[0] == 200


def test_the_contract_comes_from_a_peer_while_the_log_is_down(fleet):
    fleet.contract("model name=inlay layers=9 # studio: drafts")
    first = fleet.engine_agent(0)
    fleet.wait_usable(first)
    fleet.log.set_faults(down=True)
    late = fleet.engine_agent(0)
    with gevent.Timeout(10):
        while not late.feed.dump()["log_end"] and late.feed.is_log_available:
            gevent.sleep(0.01)
    records = first.feed.records_after(0)
    fleet.entry.send(
        late, messages.Report(state="ready", contract_offset=records.covers)
    )
    fleet.entry.wait(messages.RecordsWanted, source=late)
    fleet.entry.send(late, records)
    with gevent.Timeout(10):
        while not late.is_ready:
            gevent.sleep(0.01)
    assert late.feed.contract.model("inlay").layers == 9


def test_the_dump_and_the_metrics_show_the_work(fleet, admit):
    target = fleet.engine_agent(0)
    fleet.wait_usable(target)
    fleet.entry.send(target, admit("r1", stage=0, next_hop=None))
    fleet.entry.wait(messages.Admitted)
    status, state = _admin(target, "GET", "/state")
    assert (status, state["in_flight"]) == (200, 1)
    assert "r1 stage 0" in state["backends"]["engine"]["sequences"][0]
    assert b'agent_admissions_total{outcome="admitted"} 1.0' in (
        target.metrics.as_text()
    )
