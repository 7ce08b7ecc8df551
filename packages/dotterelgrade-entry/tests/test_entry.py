import json

import gevent

PROMPT = "a b c"


def _admin(cell, path, *, method="GET"):
    process = cell.entry.settings.process
    return cell.call_at(process.host, process.admin_port, path, method=method)


def test_the_admin_address_shows_the_state(chain, helpers):
    answer = chain.complete(chain.entry, PROMPT)
    request_id = answer.json()["id"].removeprefix("cmpl-")
    state = _admin(chain, "/state").json()
    assert state["state"] == "ready"
    assert len(state["fleet"]) == 3
    processes = _admin(chain, "/fleet").json()["processes"]
    assert [item["role"] for item in processes] == ["entry"] + ["agent"] * 3
    assert {item["state"] for item in processes} == {"ready"}
    offsets = {item["contract_offset"] for item in processes}
    assert offsets == {chain.entry.feed.offset}
    explained = _admin(chain, f"/explain/{request_id}").json()
    assert explained[0]["decision"] == "chain_chosen"
    metrics = _admin(chain, "/metrics").body.decode()
    assert "dotterelgrade_first_token_seconds_bench_count 1.0" in metrics


def test_a_leaving_entry_finishes_its_answers_and_refuses_new_ones(
    chain, helpers
):
    for node in chain.nodes:
        node.engine.set_faults(slow_factor=150.0)
    answer = gevent.spawn(chain.complete, chain.entry, PROMPT, max_tokens=8)
    helpers.wait_for_tokens(chain.entry, 1)
    drain = gevent.spawn(chain.entry.drain)
    gevent.sleep(0)
    assert _admin(chain, "/readyz").status == 503
    # The balancer may not have noticed yet, so this one is still served.
    late = gevent.spawn(chain.complete, chain.entry, "d e", max_tokens=1)
    helpers.wait_until(
        lambda: chain.complete(chain.entry, "x", max_tokens=1).status != 200
    )
    error = chain.complete(chain.entry, PROMPT).error
    assert (error["kind"], error["run"]) == ("leaving", "not_run")
    assert helpers.text_of(answer.get(timeout=30)) == helpers.expected_text(
        PROMPT
    )
    assert helpers.text_of(late.get(timeout=30)) == helpers.expected_text(
        "d e", max_tokens=1
    )
    drain.get(timeout=30)


def test_an_answer_is_charged_once(chain, helpers):
    answer = chain.complete(chain.entry, PROMPT, max_tokens=4)
    assert answer.status == 200
    chain.entry.drain()
    page = chain.local_log.read("charges", start=1).unwrap()
    batches = [json.loads(record.body) for record in page.records]
    charged = [item for batch in batches for item in batch["items"]]
    assert len(charged) == 1
    assert charged[0]["workspace"] == "bench"
    assert charged[0]["prompt_tokens"] == 3
    assert charged[0]["generated_tokens"] == 4


def test_charges_wait_out_an_outage_of_the_log(chain, helpers):
    chain.log.set_faults(down=True)
    assert chain.complete(chain.entry, PROMPT).status == 200
    gevent.sleep(0.2)
    assert chain.entry.dump()["charges"]["held"] == 1
    chain.log.set_faults(down=False)
    helpers.wait_until(lambda: chain.entry.dump()["charges"]["sent"] == 1)


def test_model_requests_are_untouched_by_an_outage_of_the_log(chain, helpers):
    chain.log.set_faults(down=True)
    for _ in range(3):
        answer = chain.complete(chain.entry, PROMPT)
        assert helpers.text_of(answer) == helpers.expected_text(PROMPT)


def test_a_new_entry_gets_the_contract_from_its_agents_in_an_outage(
    chain, helpers
):
    helpers.wait_until(
        lambda: all(
            peer.contract_offset == chain.entry.feed.offset
            for peer in chain.entry.fleet.peers.values()
        )
    )
    chain.log.set_faults(down=True)
    chain.entry = chain.start_entry()
    chain.wait_for(chain.entry, engines=3)
    answer = chain.complete(chain.entry, PROMPT)
    assert helpers.text_of(answer) == helpers.expected_text(PROMPT)


def test_an_entry_without_a_contract_is_not_ready(cell):
    cell.log.set_faults(down=True)
    cell.entry = cell.start_entry()
    error = cell.complete(cell.entry, PROMPT).error
    assert (error["kind"], error["run"]) == ("not_ready", "not_run")
    assert _admin(cell, "/readyz").status == 503


def _complete_as_told(chain, entry, prompt):
    """Sends a request again as long as its answer says when to come back."""
    while True:
        answer = chain.complete(entry, prompt)
        if answer.status != 503:
            return answer
        # A busy machine can't hold the bound for all requests at once.
        assert answer.error["run"] == "not_run"
        gevent.sleep(answer.error["retry_after_s"])


def test_two_entries_share_agents_and_mix_up_nothing(chain, helpers):
    entries = [chain.entry, chain.start_entry()]
    chain.wait_for(entries[1], engines=3)
    prompts = [f"board {number}" for number in range(30)]
    answers = [
        gevent.spawn(_complete_as_told, chain, entries[number % 2], prompt)
        for number, prompt in enumerate(prompts)
    ]
    gevent.joinall(answers, timeout=120)
    for prompt, answer in zip(prompts, answers, strict=True):
        assert helpers.text_of(answer.value) == helpers.expected_text(prompt)
