"""Mutants of the streams of a front."""

from dotterelgrade_standins import mutant

_EVENTS_TEST = "packages/dotterelgrade-front/tests/test_event_stream.py"
_SEQUENCE_TEST = "packages/dotterelgrade-front/tests/test_event_sequence.py"
_ATTEMPT_TEST = "packages/dotterelgrade-front/tests/test_upstream.py"
_STREAM_TEST = "packages/dotterelgrade-front/tests/test_model_stream.py"
_REPAIR_TEST = "packages/dotterelgrade-front/tests/test_stream_repair.py"
_GUARD_TEST = "packages/dotterelgrade-front/tests/test_stall_guard.py"
_STANDBY_TEST = "packages/dotterelgrade-front/tests/test_standby_set.py"
_ACTIONS_TEST = "packages/dotterelgrade-routing/tests/test_stall_actions.py"
_DIAGNOSIS_TEST = "packages/dotterelgrade-routing/tests/test_stall_diagnosis.py"
_HANDLER_TEST = "packages/dotterelgrade-front/tests/test_request_handler.py"
_SILENCE_TEST = "packages/dotterelgrade-routing/tests/test_silence_bounds.py"

MUTANTS = (
    mutant.Mutant(
        name="front-believes-the-refusal-of-another-request",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_front.upstream",
        old="    if facts.request_id and facts.request_id != call.request_id:",
        new="    if False:",
        check=_ATTEMPT_TEST,
    ),
    mutant.Mutant(
        name="front-passes-an-unfounded-refusal-on",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_front.upstream",
        old="if head.status in _NOT_RUN_STATUSES and not",
        new="if False and not",
        check=_ATTEMPT_TEST,
    ),
    mutant.Mutant(
        name="front-promises-after-a-fault",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_front.call",
        old="        if self.sent_to:",
        new="        if False:",
        check=_HANDLER_TEST,
    ),
    mutant.Mutant(
        name="front-passes-torn-events",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_stream",
        old="complete, self._partial = data[:end], data[end:]",
        new='complete, self._partial = data, b""',
        check=_EVENTS_TEST,
    ),
    mutant.Mutant(
        name="front-resumes-from-the-start",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.stream_attempt",
        old="            resume_after=self._sequence.last_id,",
        new='            resume_after="",',
        check=mutant.SOAK + "answers_lost,backend_crashes",
    ),
    mutant.Mutant(
        name="front-passes-events-twice",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_sequence",
        old="    if number <= last:",
        new="    if False:",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="front-joins-a-gap",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_sequence",
        old="    if position.consecutive and not position.in_response:",
        new="    if False:",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="front-passes-text-in-a-stream",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_sequence",
        old="        if numbered or position.resumed or undeclared:",
        new="        if undeclared:",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="front-passes-an-error-in-an-event",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_stream",
        old="        elif line and ",
        new="        elif False and ",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="front-ends-a-stream-on-nothing",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_sequence",
        old="        if self._position.in_response or (",
        new="        if True or (",
        check=_SEQUENCE_TEST,
    ),
    mutant.Mutant(
        name="bytes-count-as-events",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="            if self._output.forward(attempt, events):\n",
        new="            if self._output.forward(attempt, events) or True:\n",
        check=_REPAIR_TEST,
    ),
    mutant.Mutant(
        name="own-link-never-doubted",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_routing.stall_diagnosis",
        old="    if not others or answered < MIN_ANSWERING_SHARE * others:",
        new="    if False:",
        check=_DIAGNOSIS_TEST,
    ),
    mutant.Mutant(
        name="begun-stream-does-not-wait",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="                if self._wait_for_capacity():",
        new="                if False:",
        check=_STREAM_TEST,
    ),
    mutant.Mutant(
        name="silence-ends-an-attempt",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.stall_guard",
        old="self._repair.record_wait(silent_s=silent_s, faulty=faulty)",
        new="raise upstream.AttemptFailedError("
        'attempt_lib.ExecutionStatus.UNKNOWN, "silent")',
        check=_GUARD_TEST,
    ),
    mutant.Mutant(
        name="pausing-stage-taken-for-lost",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.stream_repair",
        old="firm=not self._detector.is_silent(address)",
        new="firm=True",
        check=_GUARD_TEST,
    ),
    mutant.Mutant(
        name="second-attempt-of-a-call-that-runs-once",
        promise=mutant.ONCE,
        module="dotterelgrade_routing.stall_actions",
        old="    if repeatable and (faulty or",
        new="    if (faulty or",
        check=_ACTIONS_TEST,
    ),
    mutant.Mutant(
        name="second-attempt-left-open",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.standby_set",
        old="                self._standbys.pop().close()\n",
        new="                self._standbys.pop()\n",
        check=_STANDBY_TEST,
    ),
    mutant.Mutant(
        name="events-of-two-attempts",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.stall_guard",
        old="if self._standbys.any_open:\n            self._standbys.close",
        new="if False:\n            self._standbys.close",
        check=_STANDBY_TEST,
    ),
    mutant.Mutant(
        name="second-attempt-at-the-same-server",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.stream_admission",
        old="c for c in sound if c.first.server_id not in attempts.server_ids",
        new="c for c in sound",
        check=_GUARD_TEST,
    ),
    mutant.Mutant(
        name="retry-paid-for-nothing",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.stream_admission",
        old="        if admitted and is_retry and not self._budget.spend(",
        new="        if is_retry and not self._budget.spend(",
        check=_STREAM_TEST,
    ),
    mutant.Mutant(
        name="begun-stream-held-for-nothing",
        promise=mutant.NOT_HELD,
        module="dotterelgrade_front.model_stream",
        old="        if not attempts_left and",
        new="        if False and",
        check=_STREAM_TEST,
    ),
    mutant.Mutant(
        name="resent-replies-ignored",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_routing.silence_bounds",
        old="        self._mean_s += _MEAN_GAIN * error_s",
        new="        self._mean_s += 0.0",
        check=_SILENCE_TEST,
    ),
    mutant.Mutant(
        name="empty-second-answer-ends-the-stream",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.standby_set",
        old="            if standby.ended_empty:\n                continue\n",
        new="",
        check=_STANDBY_TEST,
    ),
    mutant.Mutant(
        name="one-server-gets-many-attempts",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.standby_set",
        old="            left_out=self._servers_left_out(),",
        new="            left_out=frozenset(),",
        check=_STANDBY_TEST,
    ),
    mutant.Mutant(
        name="pausing-engines-replace-each-other",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_routing.stall_actions",
        old="    return STANDBY_SILENCE_S * 2**replaced",
        new="    return STANDBY_SILENCE_S",
        check=_ACTIONS_TEST,
    ),
    mutant.Mutant(
        name="error-of-a-server-dropped-too-soon",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="if attempt.server_failed and self._may_do_better:",
        new="if attempt.server_failed:",
        check=_STREAM_TEST,
    ),
)
