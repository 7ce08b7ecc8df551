"""Mutants of the feeds, the planner and the choices of a front."""

from dotterelgrade_standins import mutant

_FOLLOWER_TEST = "packages/dotterelgrade-front/tests/test_feed_follower.py"
_FOLLOWED_RELAY_TEST = (
    "packages/dotterelgrade-front/tests/test_feed_follower_relay.py"
)
_PLACEMENT_RUNS = (
    "packages/dotterelgrade-routing/tests/test_placement_machine.py"
)
_RELAY_RUNS = "packages/dotterelgrade-front/tests/test_relay_machine.py"
_ATTEMPT_RUNS = "packages/dotterelgrade-routing/tests/test_attempt_machine.py"
_POSITION_TEST = "packages/dotterelgrade-routing/tests/test_feed_position.py"
_EXCLUSIONS_TEST = "packages/dotterelgrade-routing/tests/test_exclusions.py"
_LEADERSHIP_TEST = "packages/dotterelgrade-routing/tests/test_leadership.py"
_ADMISSION_TEST = "packages/dotterelgrade-routing/tests/test_admission.py"
_POLICIES_TEST = (
    "packages/dotterelgrade-routing/tests/test_admission_policies.py"
)
_PLACEMENT_TEST = "packages/dotterelgrade-routing/tests/test_placement.py"
_RESERVATIONS_TEST = "packages/dotterelgrade-routing/tests/test_reservations.py"
_PLAIN_TEST = "packages/dotterelgrade-front/tests/test_plain_call.py"
_STORE_TEST = "packages/dotterelgrade-front/tests/adapter/test_store.py"
_FLEET_TEST = "packages/dotterelgrade-routing/tests/test_fleet.py"
_HOLDOFF_TEST = "packages/dotterelgrade-routing/tests/test_holdoff.py"
_CHAIN_TEST = "packages/dotterelgrade-routing/tests/test_chain_choice.py"
_DIRECTORY_TEST = "packages/dotterelgrade-front/tests/test_chain_directory.py"
_DELTA_TEST = "packages/dotterelgrade-routing/tests/test_record_delta.py"
_COPIED_FEED_TEST = "packages/dotterelgrade-front/tests/test_copied_feed.py"
_HANDLER_TEST = "packages/dotterelgrade-front/tests/test_request_handler.py"
_LINK_TEST = "packages/dotterelgrade-front/tests/test_planner_link.py"
_HUB_TEST = "packages/dotterelgrade-front/tests/test_planner_hub.py"
_SCHEDULE_TEST = "packages/dotterelgrade-routing/tests/test_poll_schedule.py"

MUTANTS = (
    mutant.Mutant(
        name="report-of-another-process-counts",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.planner",
        old="if report.started_ms != server.started_ms:",
        new="if False:",
        check="packages/dotterelgrade-front/tests/test_planner.py",
    ),
    mutant.Mutant(
        name="front-repeats-unknown",
        promise=mutant.ONCE,
        module="dotterelgrade_routing.attempt",
        old="return repeatable or execution <= ExecutionStatus.REFUSED",
        new="return repeatable or execution <= ExecutionStatus.RAN",
        check=mutant.SOAK + "answers_lost,backend_reset",
    ),
    mutant.Mutant(
        name="front-promises-unknown",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="    if execution >= ExecutionStatus.UNKNOWN:",
        new="    if execution > ExecutionStatus.RAN:",
        check=mutant.SOAK + "answers_lost,backend_reset",
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
        name="front-uses-the-leaving",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.fleet",
        old="if server.service == service and server.ready",
        new="if server.service == service",
        check=mutant.SOAK + "backend_leaves",
    ),
    mutant.Mutant(
        name="front-takes-older-versions",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_sinks",
        old="newer.version <= known.version",
        new="newer.version == known.version",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="front-trusts-a-lagging-planner",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="if self._end is None or self._planner_end != self._end:",
        new="if self._end is None:",
        check=_POSITION_TEST,
    ),
    mutant.Mutant(
        name="front-old-work-clears-refusals",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.exclusions",
        old="if record is None or began_at < record.last_failure:",
        new="if record is None:",
        check=_EXCLUSIONS_TEST,
    ),
    mutant.Mutant(
        name="plan-moves-both-holders",
        promise=mutant.LAYERS_ONCE,
        module="dotterelgrade_routing.layer_coverage",
        old="[count - 1 for count in self._counts[part]]",
        new="self._counts[part]",
        check=_PLACEMENT_RUNS,
    ),
    mutant.Mutant(
        name="relay-accepts-gaps",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="return start <= self._end",
        new="return True",
        check=_RELAY_RUNS,
    ),
    mutant.Mutant(
        name="relay-repeats-old-records",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="for r in page.records if r.offset >= end)",
        new="for r in page.records)",
        check=_FOLLOWED_RELAY_TEST,
    ),
    mutant.Mutant(
        name="attempt-forgets-the-worst-try",
        promise=mutant.NOT_RUN,
        module="dotterelgrade_routing.attempt",
        old="return max(attempts, default=ExecutionStatus.NEVER_SENT)",
        new="return min(attempts, default=ExecutionStatus.NEVER_SENT)",
        check=_ATTEMPT_RUNS,
    ),
    mutant.Mutant(
        name="term-ended-before-its-planner-was-asked",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old=" or self._missing_rank != self._term.rank:",
        new=":",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="chains-all-drawn-alike",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.admission",
        old="free_share = max(1.0 - option.utilization, MIN_FREE_SHARE)",
        new="free_share = 1.0",
        check=_ADMISSION_TEST,
    ),
    mutant.Mutant(
        name="no-headroom-for-urgent-requests",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.priority_headroom",
        old="return max(admission.MAX_UTILIZATION - headroom, MIN_LIMIT)",
        new="return admission.MAX_UTILIZATION",
        check=_POLICIES_TEST,
    ),
    mutant.Mutant(
        name="lowest-rank-starved",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.admission_shares",
        old="return min(lacks / max(ask.size, _MIN_SIZE), 1.0)",
        new="return 0.0 * lacks",
        check=_POLICIES_TEST,
    ),
    mutant.Mutant(
        name="no-reserve",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.placement",
        old="for candidate in idle[RESERVE_SERVERS:]:",
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
        name="answers-of-an-ended-era",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.store_era",
        old="        if era < self._newest:",
        new="        if era < UNCOUNTED:",
        check=_STORE_TEST,
    ),
    mutant.Mutant(
        name="offsets-compared-across-eras",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_position",
        old="        if era != self._era or self._end is None:",
        new="        if self._end is None:",
        check=_POSITION_TEST,
    ),
    mutant.Mutant(
        name="records-skipped-at-a-new-era",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="        if not self._position.is_contiguous(start, era=page.era):",
        new="        if False:",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="claim-lost-with-the-store",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old="return self.leads and not own and term.number < known.number",
        new="return False",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="two-planners-of-one-number",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old="return self.leads and not own and term.number < known.number",
        new="return self.leads and not own",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="successor-yields-to-the-ended-term",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old=" and term.rank <= self._ended_term.rank:",
        new=" and False:",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="planner-without-the-store-stays",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.leadership",
        old="lags = heard_store_at - own_heard_at > STORE_CONTACT_TIMEOUT_S",
        new="lags = False",
        check=_LEADERSHIP_TEST,
    ),
    mutant.Mutant(
        name="leaving-mark-forgotten",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.fleet",
        old="if self._leaving.get(server.id) == server.started_ms:",
        new="if False:",
        check=_FLEET_TEST,
    ),
    mutant.Mutant(
        name="copy-brings-back-who-left",
        promise=mutant.LEAVING,
        module="dotterelgrade_routing.fleet",
        old="if self._departed.get(server.id, -1) >= server.started_ms:",
        new="if False:",
        check=_FLEET_TEST,
    ),
    mutant.Mutant(
        name="mark-of-another-incarnation",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.server_notices",
        old="        if server is None or facts.misdirected:",
        new="        if server is None:",
        check=_PLAIN_TEST,
    ),
    mutant.Mutant(
        name="full-server-asked-on",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_routing.holdoff",
        old="return max(0.0, holdoff.until - now)",
        new="return 0.0",
        check=_HOLDOFF_TEST,
    ),
    mutant.Mutant(
        name="full-stage-taken-for-lost",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.chain_directory",
        old="left_out = excluded if include_busy else excluded | busy",
        new="left_out = excluded | busy",
        check=_DIRECTORY_TEST,
    ),
    mutant.Mutant(
        name="forged-delta-applied",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.record_delta",
        old="    if _digest(body) != delta.digest:",
        new="    if False:",
        check=_DELTA_TEST,
    ),
    mutant.Mutant(
        name="outdated-copy-used",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.copied_feed",
        old="    if (others.end, others.era) != (copy.end, copy.era):",
        new="    if others.era != copy.era:",
        check=_COPIED_FEED_TEST,
    ),
    mutant.Mutant(
        name="late-state-replaces-a-newer-one",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="page.era != self._position.era or page.end <= known_end",
        new="page.era != self._position.era",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="silent-front-counted",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.planner_hub",
        old="            if report.received_at >= oldest",
        new="            if True",
        check=_HUB_TEST,
    ),
    mutant.Mutant(
        name="relayed-records-after-a-gap-lost",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.feed_follower",
        old="        self._apply_pending()\n        if changed:",
        new="        if changed:",
        check=_FOLLOWED_RELAY_TEST,
    ),
    mutant.Mutant(
        name="snapshot-dated-by-arrival",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.planner_link",
        old="current_at=self._report_times.counted_at - progress.age_s",
        new="current_at=now - progress.age_s",
        check=_LINK_TEST,
    ),
    mutant.Mutant(
        name="answer-dated-by-arrival",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_freshness",
        old="        return asked_at\n",
        new="        return answered_at\n",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="absence-claimed-on-old-knowledge",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.feed_freshness",
        old="now - self.current_at <= feed_timing.CONFIGURATION_BOUND_S",
        new="True",
        check=_HANDLER_TEST,
    ),
    mutant.Mutant(
        name="old-record-with-the-end-of-the-feed",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.copied_feed",
        old="return later == copy.end - copy.offset - 1",
        new="return True",
        check=_COPIED_FEED_TEST,
    ),
    mutant.Mutant(
        name="snapshots-queue-on-a-full-link",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.planner_hub",
        old="            if connection.unsent_bytes:",
        new="            if False:",
        check=_HUB_TEST,
    ),
    mutant.Mutant(
        name="searches-all-engines-of-a-range",
        promise=mutant.NOT_HELD,
        module="dotterelgrade_routing.chain_choice",
        old="sorted(same_range, key=_rank)[:MAX_CHAINS_PER_DOMAIN]",
        new="sorted(same_range, key=_rank)",
        check=_CHAIN_TEST,
    ),
    mutant.Mutant(
        name="polls-all-that-are-due",
        promise=mutant.NOT_HELD,
        module="dotterelgrade_routing.poll_schedule",
        old="ordered[: min(most, int(self._allowed))]",
        new="ordered[:most]",
        check=_SCHEDULE_TEST,
    ),
    mutant.Mutant(
        name="searches-at-each-change",
        promise=mutant.NOT_HELD,
        module="dotterelgrade_front.chain_directory",
        old="max(age_s, min(affordable_s, _MAX_AGE_AFTER_SLOW_SEARCH_S))",
        new="age_s",
        check=_DIRECTORY_TEST,
    ),
)
