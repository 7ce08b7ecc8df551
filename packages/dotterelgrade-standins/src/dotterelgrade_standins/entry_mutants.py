"""Mutants of contract, claims, entry and agent."""

from dotterelgrade_standins import mutant

_SEQUENCE = "dotterelgrade_agent.sequence"
_REQUEST = "dotterelgrade_entry.request"
_CONTRACT = "dotterelgrade.contract"
_LEDGER = "dotterelgrade_agent.claim_ledger"
_KEYED = "dotterelgrade_agent.keyed_calls"
_SEQUENCE_TEST = "packages/dotterelgrade-agent/tests/test_sequence.py"
_AGENT_TEST = "packages/dotterelgrade-agent/tests/test_agent.py"
_CLAIMS_RUNS = "packages/dotterelgrade-standins/tests/test_fuzz_claims.py"
_LEDGER_TEST = "packages/dotterelgrade-agent/tests/test_claim_ledger.py"
_KEYED_TEST = "packages/dotterelgrade-agent/tests/test_keyed_calls.py"
_CALLS_TEST = "packages/dotterelgrade-entry/tests/test_service_calls.py"
_REQUEST_TEST = "packages/dotterelgrade-entry/tests/test_request.py"

MUTANTS = (
    mutant.Mutant(
        name="agent-attempt-check",
        promise=mutant.LAYERS_ONCE,
        module=_SEQUENCE,
        old="if self._released or step.attempt != self._attempt:",
        new="if self._released:",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="agent-repeats-positions",
        promise=mutant.LAYERS_ONCE,
        module=_SEQUENCE,
        old="fresh = step.inputs[self._accepted - step.position :]",
        new="fresh = step.inputs",
        check="chain",
    ),
    mutant.Mutant(
        name="agent-gap-check",
        promise=mutant.LAYERS_ONCE,
        module=_SEQUENCE,
        old="if step.position > self._accepted:",
        new="if step.position > self._accepted + 10**6:",
        check="chain",
    ),
    mutant.Mutant(
        name="agent-mute",
        promise=mutant.LAYERS_ONCE,
        module=_SEQUENCE,
        old="start = max(work.position, self._mute_before)",
        new="start = work.position",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="agent-replay-whole",
        promise=mutant.OWN_ANSWER,
        module=_SEQUENCE,
        old="return result.Success(self._as_outputs(0, self._next_position))",
        new="return result.Success(\n"
        "            self._as_outputs(min(1, self._next_position - 1),"
        " self._next_position)\n        )",
        check="chain",
    ),
    mutant.Mutant(
        name="agent-replayable-check",
        promise=mutant.OWN_ANSWER,
        module=_SEQUENCE,
        old="return self._outputs_start == 0",
        new="return True",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="agent-resends-outputs",
        promise=mutant.OWN_ANSWER,
        module=_SEQUENCE,
        old="return result.Success(self._as_outputs(start, end))",
        new="return result.Success(())",
        check="chain",
    ),
    mutant.Mutant(
        name="entry-attempt-check",
        promise=mutant.OWN_ANSWER,
        module=_REQUEST,
        old="if self.is_finished or token.attempt != self._attempt:",
        new="if self.is_finished:",
        check=_REQUEST_TEST,
    ),
    mutant.Mutant(
        name="entry-token-order",
        promise=mutant.OWN_ANSWER,
        module=_REQUEST,
        old="if token.position != self.next_position:",
        new="if token.position < len(self._order.prompt):",
        check="chain",
    ),
    mutant.Mutant(
        name="entry-restart-keeps-tokens",
        promise=mutant.OWN_ANSWER,
        module=_REQUEST,
        old="next_position\n        return self._step(0, self._order.prompt "
        "+ self.emitted)",
        new="next_position\n        return self._step(0, self._order.prompt)",
        check="chain",
    ),
    mutant.Mutant(
        name="contract-compare-and-set",
        promise=mutant.IN_FORCE,
        module=_CONTRACT,
        old="if line is not None and line.offset == edit.seen:",
        new="if line is not None:",
        check="contract",
    ),
    mutant.Mutant(
        name="contract-whole-edit",
        promise=mutant.IN_FORCE,
        module=_CONTRACT,
        old="        if conflicts:\n",
        new="        if len(conflicts) == len(body.edits):\n",
        check="contract",
    ),
    mutant.Mutant(
        name="contract-never-back",
        promise=mutant.IN_FORCE,
        module=_CONTRACT,
        old="        if body.covers <= self._offset:\n"
        "            return self._advance(record",
        new="        if body.covers < 0:\n"
        "            return self._advance(record",
        check="contract",
    ),
    mutant.Mutant(
        name="contract-gap-check",
        promise=mutant.IN_FORCE,
        module=_CONTRACT,
        old="        if record.offset != self._offset + 1:\n"
        "            return Outcome(kind=OutcomeKind.GAP, offset=record.offset)"
        "\n        conflicts",
        new="        conflicts",
        check="contract",
    ),
    mutant.Mutant(
        name="contract-removal-remembered",
        promise=mutant.IN_FORCE,
        module=_CONTRACT,
        old="if line is None and base >= removed_at:",
        new="if line is None:",
        check="contract",
    ),
    mutant.Mutant(
        name="contract-ready-when-caught-up",
        promise=mutant.IN_FORCE,
        module="dotterelgrade.contract_feed",
        old="return end is not None and self._contract.offset + 1 >= end",
        new="return end is not None",
        check="contract",
    ),
    mutant.Mutant(
        name="claim-order",
        promise=mutant.ONCE,
        module=_LEDGER,
        old="if entry.standing is None:\n            entry.standing = S",
        new="if True:\n            entry.standing = S",
        check="claims",
    ),
    mutant.Mutant(
        name="claim-read-back",
        promise=mutant.ONCE,
        module=_KEYED,
        old="        if change is None:\n",
        new="        if False:\n",
        also=(
            (
                "refusal = self._check_still_first(keyed, claim)",
                "refusal = None",
            ),
        ),
        check="claims",
    ),
    mutant.Mutant(
        name="claim-beaten",
        promise=mutant.ONCE,
        module=_KEYED,
        old="if change == claim_ledger.ChangeKind.BEATEN:",
        new="if False:",
        also=(
            (
                "refusal = self._check_still_first(keyed, claim)",
                "refusal = None",
            ),
        ),
        check="claims",
    ),
    mutant.Mutant(
        name="claim-still-first",
        promise=mutant.ONCE,
        module=_KEYED,
        old="refusal = self._check_still_first(keyed, claim)",
        new="refusal = None",
        check=_CLAIMS_RUNS,
    ),
    mutant.Mutant(
        name="claim-proof-of-absence",
        promise=mutant.ONCE,
        module=_LEDGER,
        old="return key_time_s > self._complete_from_s + skew_s",
        new="return True",
        check="claims",
    ),
    mutant.Mutant(
        name="claim-released-for-good",
        promise=mutant.ONCE,
        module=_LEDGER,
        old="if claim.claim in entry.released:",
        new="if False:",
        check=_LEDGER_TEST,
    ),
    mutant.Mutant(
        name="claim-outcome-unknown",
        promise=mutant.ONCE,
        module=_KEYED,
        old="if answer.failure().run_state == errors.RunState.NOT_RUN:",
        new="if True:",
        check="claims",
    ),
    mutant.Mutant(
        name="claim-digest",
        promise=mutant.OWN_ANSWER,
        module=_KEYED,
        old="if standing.digest != keyed.call.digest:",
        new="if False:",
        check="claims",
    ),
    mutant.Mutant(
        name="claim-late-answer-is-unknown",
        promise=mutant.NOT_RUN,
        module=_KEYED,
        old="                    run=errors.RunState.UNKNOWN,\n",
        new="                    run=errors.RunState.NOT_RUN,\n",
        check="claims",
    ),
    mutant.Mutant(
        name="key-too-old-may-have-run",
        promise=mutant.NOT_RUN,
        module="dotterelgrade.errors",
        old="ErrorKind.KEY_TOO_OLD: _unknown(409)",
        new="ErrorKind.KEY_TOO_OLD: _not_run(409)",
        check="claims",
    ),
    mutant.Mutant(
        name="claim-unresolved-is-unknown",
        promise=mutant.NOT_RUN,
        module=_KEYED,
        old='errors.RunState.UNKNOWN, "its outcome is unknown"',
        new='errors.RunState.NOT_RUN, "its outcome is unknown"',
        check="claims",
    ),
    mutant.Mutant(
        name="key-age",
        promise=mutant.ONCE,
        module="dotterelgrade_agent.idempotency_key",
        old="if time_s < now_s - settings.window_s:",
        new="if False:",
        check=_KEYED_TEST,
    ),
    mutant.Mutant(
        name="entry-drain-waits",
        promise=mutant.STOP,
        module="dotterelgrade_entry.entry",
        old="while self.in_flight and time.monotonic() < ends_at:",
        new="while False:",
        check="fleet",
    ),
    mutant.Mutant(
        name="agent-drain-refuses",
        promise=mutant.LEAVING,
        module="dotterelgrade_agent.stages",
        old="if self._leaving:",
        new="if False:",
        check=_AGENT_TEST,
    ),
    mutant.Mutant(
        name="service-may-have-run",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_agent.service_client",
        old="run=errors.RunState.UNKNOWN,",
        new="run=errors.RunState.NOT_RUN,",
        check="fleet",
    ),
    mutant.Mutant(
        name="entry-sends-unkeyed-once",
        promise=mutant.ONCE,
        module="dotterelgrade_entry.service_calls",
        old='return bool(self.key) or self.rule.repeat == "safe"',
        new="return True",
        check="fleet",
    ),
    mutant.Mutant(
        name="entry-takes-an-earlier-refusal",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_entry.pending_call",
        old='if message.backend in ("", view.report.backend):',
        new="if view.report.backend:",
        check=_CALLS_TEST,
    ),
    mutant.Mutant(
        name="entry-gives-up-a-silent-agent",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_entry.pending_call",
        old="        if peer.is_connected:",
        new="        if not peer.was_dialed:",
        check=_CALLS_TEST,
    ),
    mutant.Mutant(
        name="entry-counts-an-ended-attempt",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_entry.pending_call",
        old="            self._note_busy(peer.address, -1)\n"
        "            self._events.put(",
        new="            self._events.put(",
        check=_CALLS_TEST,
    ),
    mutant.Mutant(
        name="entry-counts-an-attempt-of-an-ended-call",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_entry.service_calls",
        old="            pending.close()\n",
        new="",
        check=_CALLS_TEST,
    ),
    mutant.Mutant(
        name="agent-own-result",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_agent.engine_backend",
        old="zip(batch.entries, answer.results, strict=True)",
        new="zip(\n            batch.entries, answer.results[::-1], "
        "strict=True\n        )",
        check="fleet",
    ),
)
