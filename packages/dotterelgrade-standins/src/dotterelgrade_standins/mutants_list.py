"""The places that hold the promises, and what breaks each of them."""

import dataclasses

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
_REQUEST_TEST = "packages/dotterelgrade-entry/tests/test_request.py"

_UPSTREAM_TEST = "packages/dotterelgrade/tests/test_http_connection.py"
_FOLLOWER_TEST = "packages/dotterelgrade-front/tests/test_feed_follower.py"
_PLACEMENT_RUNS = (
    "packages/dotterelgrade-routing/tests/test_placement_machine.py"
)
_RELAY_RUNS = "packages/dotterelgrade-front/tests/test_relay_machine.py"
_ATTEMPT_RUNS = "packages/dotterelgrade-routing/tests/test_attempt_machine.py"
_EVENTS_TEST = "packages/dotterelgrade-front/tests/test_event_stream.py"
_POSITION_TEST = "packages/dotterelgrade-routing/tests/test_feed_position.py"
_TRUST_TEST = "packages/dotterelgrade-routing/tests/test_trust.py"
# Runs the real fronts under the faults that are named behind it.
SOAK = "soak:"

_LEADERSHIP_TEST = "packages/dotterelgrade-routing/tests/test_leadership.py"
_ADMISSION_TEST = "packages/dotterelgrade-routing/tests/test_admission.py"
_PLACEMENT_TEST = "packages/dotterelgrade-routing/tests/test_placement.py"
_RESERVATIONS_TEST = "packages/dotterelgrade-routing/tests/test_reservations.py"
_KEPT_TEST = "packages/dotterelgrade/tests/test_kept_connections.py"
_STREAM_TEST = "packages/dotterelgrade-front/tests/test_model_stream.py"
_LAYERS_ONCE = "each layer once, in order"
_OWN_ANSWER = "the whole answer to its own caller"
_LEAVING = "a leaving backend server gets no new work"
_STOP = "a planned stop cuts nothing"
_ONCE = "a non-idempotent call runs at most once"
_NOT_RUN = "`not_run` means not run"
_IN_FORCE = "accepted lines stay in force"
_ENOUGH_ROOM = "who is let in finds room"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutant:
    """A text replaced in one module.

    Attributes:
        name: Name on the command line.
        promise: The promise that the place holds.
        module: Dotted name of the module.
        old: The text, which stands there once.
        new: What replaces it.
        check: The fuzzing target, the test file, or the soak, that must fail.
        also: Further replaced texts, where two checks hold the promise.
    """

    name: str
    promise: str
    module: str
    old: str
    new: str
    check: str
    also: tuple[tuple[str, str], ...] = ()


MUTANTS = (
    Mutant(
        name="agent-attempt-check",
        promise=_LAYERS_ONCE,
        module=_SEQUENCE,
        old="if self._released or step.attempt != self._attempt:",
        new="if self._released:",
        check=_SEQUENCE_TEST,
    ),
    Mutant(
        name="agent-repeats-positions",
        promise=_LAYERS_ONCE,
        module=_SEQUENCE,
        old="fresh = step.inputs[self._accepted - step.position :]",
        new="fresh = step.inputs",
        check="chain",
    ),
    Mutant(
        name="agent-gap-check",
        promise=_LAYERS_ONCE,
        module=_SEQUENCE,
        old="if step.position > self._accepted:",
        new="if step.position > self._accepted + 10**6:",
        check="chain",
    ),
    Mutant(
        name="agent-mute",
        promise=_LAYERS_ONCE,
        module=_SEQUENCE,
        old="start = max(work.position, self._mute_before)",
        new="start = work.position",
        check=_SEQUENCE_TEST,
    ),
    Mutant(
        name="agent-replay-whole",
        promise=_OWN_ANSWER,
        module=_SEQUENCE,
        old="return result.Success(self._as_outputs(0, self._next_position))",
        new="return result.Success(\n"
        "            self._as_outputs(min(1, self._next_position - 1),"
        " self._next_position)\n        )",
        check="chain",
    ),
    Mutant(
        name="agent-replayable-check",
        promise=_OWN_ANSWER,
        module=_SEQUENCE,
        old="return self._outputs_start == 0",
        new="return True",
        check=_SEQUENCE_TEST,
    ),
    Mutant(
        name="agent-resends-outputs",
        promise=_OWN_ANSWER,
        module=_SEQUENCE,
        old="return result.Success(self._as_outputs(start, end))",
        new="return result.Success(())",
        check="chain",
    ),
    Mutant(
        name="entry-attempt-check",
        promise=_OWN_ANSWER,
        module=_REQUEST,
        old="if self.is_finished or token.attempt != self._attempt:",
        new="if self.is_finished:",
        check=_REQUEST_TEST,
    ),
    Mutant(
        name="entry-token-order",
        promise=_OWN_ANSWER,
        module=_REQUEST,
        old="if token.position != self.next_position:",
        new="if token.position < len(self._order.prompt):",
        check="chain",
    ),
    Mutant(
        name="entry-restart-keeps-tokens",
        promise=_OWN_ANSWER,
        module=_REQUEST,
        old="next_position\n        return self._step(0, self._order.prompt "
        "+ self.emitted)",
        new="next_position\n        return self._step(0, self._order.prompt)",
        check="chain",
    ),
    Mutant(
        name="contract-compare-and-set",
        promise=_IN_FORCE,
        module=_CONTRACT,
        old="if line is not None and line.offset == edit.seen:",
        new="if line is not None:",
        check="contract",
    ),
    Mutant(
        name="contract-whole-edit",
        promise=_IN_FORCE,
        module=_CONTRACT,
        old="        if conflicts:\n",
        new="        if len(conflicts) == len(body.edits):\n",
        check="contract",
    ),
    Mutant(
        name="contract-never-back",
        promise=_IN_FORCE,
        module=_CONTRACT,
        old="        if body.covers <= self._offset:\n"
        "            return self._verdict(record",
        new="        if body.covers < 0:\n"
        "            return self._verdict(record",
        check="contract",
    ),
    Mutant(
        name="contract-gap-check",
        promise=_IN_FORCE,
        module=_CONTRACT,
        old="        if record.offset != self._offset + 1:\n"
        "            return Outcome(kind=OutcomeKind.GAP, offset=record.offset)"
        "\n        conflicts",
        new="        conflicts",
        check="contract",
    ),
    Mutant(
        name="contract-removal-remembered",
        promise=_IN_FORCE,
        module=_CONTRACT,
        old="if line is None and base >= removed_at:",
        new="if line is None:",
        check="contract",
    ),
    Mutant(
        name="contract-ready-when-caught-up",
        promise=_IN_FORCE,
        module="dotterelgrade.contract_feed",
        old="return end is not None and self._contract.offset + 1 >= end",
        new="return end is not None",
        check="contract",
    ),
    Mutant(
        name="claim-order",
        promise=_ONCE,
        module=_LEDGER,
        old="if entry.standing is None:\n            entry.standing = S",
        new="if True:\n            entry.standing = S",
        check="claims",
    ),
    Mutant(
        name="claim-read-back",
        promise=_ONCE,
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
    Mutant(
        name="claim-beaten",
        promise=_ONCE,
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
    Mutant(
        name="claim-still-first",
        promise=_ONCE,
        module=_KEYED,
        old="refusal = self._check_still_first(keyed, claim)",
        new="refusal = None",
        check=_CLAIMS_RUNS,
    ),
    Mutant(
        name="claim-proof-of-absence",
        promise=_ONCE,
        module=_LEDGER,
        old="return key_time_s > self._complete_from_s + skew_s",
        new="return True",
        check="claims",
    ),
    Mutant(
        name="claim-released-for-good",
        promise=_ONCE,
        module=_LEDGER,
        old="if claim.claim in entry.released:",
        new="if False:",
        check=_LEDGER_TEST,
    ),
    Mutant(
        name="claim-outcome-unknown",
        promise=_ONCE,
        module=_KEYED,
        old="if answer.failure().run_state == errors.Run.NOT_RUN:",
        new="if True:",
        check="claims",
    ),
    Mutant(
        name="claim-digest",
        promise=_OWN_ANSWER,
        module=_KEYED,
        old="if standing.digest != keyed.call.digest:",
        new="if False:",
        check="claims",
    ),
    Mutant(
        name="claim-late-answer-is-unknown",
        promise=_NOT_RUN,
        module=_KEYED,
        old="                    run=errors.Run.UNKNOWN,\n",
        new="                    run=errors.Run.NOT_RUN,\n",
        check="claims",
    ),
    Mutant(
        name="key-too-old-may-have-run",
        promise=_NOT_RUN,
        module="dotterelgrade.errors",
        old="ErrorKind.KEY_TOO_OLD: _unknown(409)",
        new="ErrorKind.KEY_TOO_OLD: _not_run(409)",
        check="claims",
    ),
    Mutant(
        name="claim-unresolved-is-unknown",
        promise=_NOT_RUN,
        module=_KEYED,
        old='return _unresolved(errors.Run.UNKNOWN, "its outcome is unknown")',
        new='return _unresolved(errors.Run.NOT_RUN, "its outcome is unknown")',
        check="claims",
    ),
    Mutant(
        name="key-age",
        promise=_ONCE,
        module="dotterelgrade_agent.idempotency_key",
        old="if time_s < now_s - settings.window_s:",
        new="if False:",
        check=_KEYED_TEST,
    ),
    Mutant(
        name="entry-drain-waits",
        promise=_STOP,
        module="dotterelgrade_entry.entry",
        old="while self.in_flight and time.monotonic() < ends_at:",
        new="while False:",
        check="fleet",
    ),
    Mutant(
        name="agent-drain-refuses",
        promise=_LEAVING,
        module="dotterelgrade_agent.stages",
        old="if self._leaving:",
        new="if False:",
        check=_AGENT_TEST,
    ),
    Mutant(
        name="service-may-have-run",
        promise=_NOT_RUN,
        module="dotterelgrade_agent.service_client",
        old="return _failed(error, may_have_run=client.is_connected)",
        new="return _failed(error, may_have_run=False)",
        check="fleet",
    ),
    Mutant(
        name="entry-sends-unkeyed-once",
        promise=_ONCE,
        module="dotterelgrade_entry.service_calls",
        old='return bool(self.key) or self.rule.repeat == "safe"',
        new="return True",
        check="fleet",
    ),
    Mutant(
        name="agent-own-result",
        promise=_OWN_ANSWER,
        module="dotterelgrade_agent.engine_backend",
        old="zip(batch.entries, answer.results, strict=True)",
        new="zip(\n            batch.entries, answer.results[::-1], "
        "strict=True\n        )",
        check="fleet",
    ),
    Mutant(
        name="front-repeats-unknown",
        promise=_ONCE,
        module="dotterelgrade_routing.attempt",
        old="return repeatable or knowledge <= Knowledge.REFUSED",
        new="return repeatable or knowledge <= Knowledge.RAN",
        check=SOAK + "answers_lost,backend_reset",
    ),
    Mutant(
        name="front-promises-unknown",
        promise=_NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="    if knowledge >= Knowledge.UNKNOWN:",
        new="    if knowledge > Knowledge.RAN:",
        check=SOAK + "answers_lost,backend_reset",
    ),
    Mutant(
        name="front-passes-torn-events",
        promise=_OWN_ANSWER,
        module="dotterelgrade_front.event_stream",
        old="whole, self._partial = data[:end], data[end:]",
        new='whole, self._partial = data, b""',
        check=_EVENTS_TEST,
    ),
    Mutant(
        name="front-resumes-from-the-start",
        promise=_OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="            resume_after=self._last_id,",
        new='            resume_after="",',
        check=SOAK + "answers_lost,backend_crashes",
    ),
    Mutant(
        name="front-passes-the-key-on",
        promise=_OWN_ANSWER,
        module="dotterelgrade_platform.headers",
        old="        PRIORITY,\n        AUTHORIZATION,",
        new="        PRIORITY,",
        check=SOAK + "front_reloads",
    ),
    Mutant(
        name="front-stop-cuts",
        promise=_STOP,
        module="dotterelgrade_front.front",
        old="        while self._handler.connections and",
        new="        while False and",
        check=SOAK + "front_stopped",
    ),
    Mutant(
        name="front-uses-the-leaving",
        promise=_LEAVING,
        module="dotterelgrade_routing.fleet",
        old="if server.service == service and server.ready",
        new="if server.service == service",
        check=SOAK + "backend_leaves",
    ),
    Mutant(
        name="front-mixes-answers",
        promise=_OWN_ANSWER,
        module="dotterelgrade.http_connection",
        old="        if self.complete:\n            return\n        status",
        new="        status",
        check=_UPSTREAM_TEST,
    ),
    Mutant(
        name="front-takes-older-versions",
        promise=_IN_FORCE,
        module="dotterelgrade_front.beliefs",
        old="newer.version <= known.version",
        new="newer.version == known.version",
        check=_FOLLOWER_TEST,
    ),
    Mutant(
        name="front-trusts-a-lagging-planner",
        promise=_IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="if self._end is None or self._relayed_end != self._end:",
        new="if self._end is None:",
        check=_POSITION_TEST,
    ),
    Mutant(
        name="front-old-work-clears-refusals",
        promise=_LEAVING,
        module="dotterelgrade_routing.trust",
        old="if record is None or began_at < record.last_failure:",
        new="if record is None:",
        check=_TRUST_TEST,
    ),
    Mutant(
        name="plan-moves-both-holders",
        promise=_LAYERS_ONCE,
        module="dotterelgrade_routing.placement",
        old="            kept.remove(candidate)\n",
        new="",
        check=_PLACEMENT_RUNS,
    ),
    Mutant(
        name="relay-accepts-gaps",
        promise=_IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="return self._end is not None and start <= self._end",
        new="return self._end is not None",
        check=_RELAY_RUNS,
    ),
    Mutant(
        name="relay-repeats-old-records",
        promise=_IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="            if record.offset >= self._position.end:\n",
        new="            if True:\n",
        check=_RELAY_RUNS,
    ),
    Mutant(
        name="attempt-forgets-the-worst-try",
        promise=_NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="return max(tries, default=Knowledge.NEVER_SENT)",
        new="return min(tries, default=Knowledge.NEVER_SENT)",
        check=_ATTEMPT_RUNS,
    ),
    Mutant(
        name="term-ended-before-its-planner-was-asked",
        promise=_LEAVING,
        module="dotterelgrade_routing.leadership",
        old=" or self._unanswered != self._term.number:",
        new=":",
        check=_LEADERSHIP_TEST,
    ),
    Mutant(
        name="chains-all-drawn-alike",
        promise=_ENOUGH_ROOM,
        module="dotterelgrade_routing.admission",
        old="free = max(1.0 - offer.fill, LEAST_FREE)",
        new="free = 1.0",
        check=_ADMISSION_TEST,
    ),
    Mutant(
        name="no-reserve",
        promise=_ENOUGH_ROOM,
        module="dotterelgrade_routing.placement",
        old="for candidate in idle[RESERVE:]:",
        new="for candidate in idle:",
        check=_PLACEMENT_TEST,
    ),
    Mutant(
        name="own-part-counted-twice",
        promise=_ENOUGH_ROOM,
        module="dotterelgrade_routing.reservations",
        old="own = {} if report is None else report.reserved",
        new="own = {}",
        check=_RESERVATIONS_TEST,
    ),
    Mutant(
        name="kept-connection-with-surplus-bytes",
        promise=_OWN_ANSWER,
        module="dotterelgrade.http_connection",
        old="return answer.framed and answer.keeps_alive and self._quiet()",
        new="return answer.framed and answer.keeps_alive",
        check=_KEPT_TEST,
    ),
    Mutant(
        name="bytes-count-as-events",
        promise=_OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="            if self._pass_on(head, piece):\n",
        new="            if self._pass_on(head, piece) or True:\n",
        check=_STREAM_TEST,
    ),
)
