"""Mutants of the front and of the decisions of routing."""

from dotterelgrade_standins import mutant

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
_LEADERSHIP_TEST = "packages/dotterelgrade-routing/tests/test_leadership.py"
_ADMISSION_TEST = "packages/dotterelgrade-routing/tests/test_admission.py"
_PLACEMENT_TEST = "packages/dotterelgrade-routing/tests/test_placement.py"
_RESERVATIONS_TEST = "packages/dotterelgrade-routing/tests/test_reservations.py"
_KEPT_TEST = "packages/dotterelgrade/tests/test_kept_connections.py"
_STREAM_TEST = "packages/dotterelgrade-front/tests/test_model_stream.py"

MUTANTS = (
    mutant.Mutant(
        name="front-repeats-unknown",
        promise=mutant.ONCE,
        module="dotterelgrade_routing.attempt",
        old="return repeatable or knowledge <= Knowledge.REFUSED",
        new="return repeatable or knowledge <= Knowledge.RAN",
        check=mutant.SOAK + "answers_lost,backend_reset",
    ),
    mutant.Mutant(
        name="front-promises-unknown",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="    if knowledge >= Knowledge.UNKNOWN:",
        new="    if knowledge > Knowledge.RAN:",
        check=mutant.SOAK + "answers_lost,backend_reset",
    ),
    mutant.Mutant(
        name="front-passes-torn-events",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.event_stream",
        old="whole, self._partial = data[:end], data[end:]",
        new='whole, self._partial = data, b""',
        check=_EVENTS_TEST,
    ),
    mutant.Mutant(
        name="front-resumes-from-the-start",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="            resume_after=self._last_id,",
        new='            resume_after="",',
        check=mutant.SOAK + "answers_lost,backend_crashes",
    ),
    mutant.Mutant(
        name="front-passes-the-key-on",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_platform.headers",
        old="        PRIORITY,\n        AUTHORIZATION,",
        new="        PRIORITY,",
        check=mutant.SOAK + "front_reloads",
    ),
    mutant.Mutant(
        name="front-stop-cuts",
        promise=mutant.STOP,
        module="dotterelgrade_front.front",
        old="        while self._handler.connections and",
        new="        while False and",
        check=mutant.SOAK + "front_stopped",
    ),
    mutant.Mutant(
        name="front-uses-the-leaving",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.fleet",
        old="if server.service == service and server.ready",
        new="if server.service == service",
        check=mutant.SOAK + "backend_leaves",
    ),
    mutant.Mutant(
        name="front-mixes-answers",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade.http_connection",
        old="        if self.complete:\n            return\n        status",
        new="        status",
        check=_UPSTREAM_TEST,
    ),
    mutant.Mutant(
        name="front-takes-older-versions",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.beliefs",
        old="newer.version <= known.version",
        new="newer.version == known.version",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="front-trusts-a-lagging-planner",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="if self._end is None or self._relayed_end != self._end:",
        new="if self._end is None:",
        check=_POSITION_TEST,
    ),
    mutant.Mutant(
        name="front-old-work-clears-refusals",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.trust",
        old="if record is None or began_at < record.last_failure:",
        new="if record is None:",
        check=_TRUST_TEST,
    ),
    mutant.Mutant(
        name="plan-moves-both-holders",
        promise=mutant.LAYERS_ONCE,
        module="dotterelgrade_routing.placement",
        old="            kept.remove(candidate)\n",
        new="",
        check=_PLACEMENT_RUNS,
    ),
    mutant.Mutant(
        name="relay-accepts-gaps",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="return self._end is not None and start <= self._end",
        new="return self._end is not None",
        check=_RELAY_RUNS,
    ),
    mutant.Mutant(
        name="relay-repeats-old-records",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="            if record.offset >= self._position.end:\n",
        new="            if True:\n",
        check=_RELAY_RUNS,
    ),
    mutant.Mutant(
        name="attempt-forgets-the-worst-try",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="return max(tries, default=Knowledge.NEVER_SENT)",
        new="return min(tries, default=Knowledge.NEVER_SENT)",
        check=_ATTEMPT_RUNS,
    ),
    mutant.Mutant(
        name="term-ended-before-its-planner-was-asked",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old=" or self._unanswered != self._term.number:",
        new=":",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="chains-all-drawn-alike",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.admission",
        old="free = max(1.0 - offer.fill, LEAST_FREE)",
        new="free = 1.0",
        check=_ADMISSION_TEST,
    ),
    mutant.Mutant(
        name="no-reserve",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.placement",
        old="for candidate in idle[RESERVE:]:",
        new="for candidate in idle:",
        check=_PLACEMENT_TEST,
    ),
    mutant.Mutant(
        name="own-part-counted-twice",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.reservations",
        old="own = {} if report is None else report.reserved",
        new="own = {}",
        check=_RESERVATIONS_TEST,
    ),
    mutant.Mutant(
        name="kept-connection-with-surplus-bytes",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade.http_connection",
        old="return answer.framed and answer.keeps_alive and self._quiet()",
        new="return answer.framed and answer.keeps_alive",
        check=_KEPT_TEST,
    ),
    mutant.Mutant(
        name="bytes-count-as-events",
        promise=mutant.OWN_ANSWER,
        module="dotterelgrade_front.model_stream",
        old="            if self._pass_on(head, piece):\n",
        new="            if self._pass_on(head, piece) or True:\n",
        check=_STREAM_TEST,
    ),
)
