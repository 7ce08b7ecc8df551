from dotterelgrade_routing import exclusions as exclusions_lib


def test_exclusion_grows_with_repeated_failures():
    """Load pattern: a backend server fails and recovers repeatedly."""
    exclusions = exclusions_lib.ExclusionTracker()
    now, exclusions_s = 0.0, []
    for _ in range(6):
        left_s = exclusions.note_failure("s", now=now)
        exclusions_s.append(left_s)
        now += left_s + 0.1
    assert exclusions_s == sorted(exclusions_s)
    assert exclusions_s[0] == exclusions_lib.FIRST_EXCLUSION_S
    assert exclusions_s[-1] == exclusions_lib.MAX_EXCLUSION_S


def test_failures_of_one_incident_count_once():
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_failure("s", now=0.0)
    for _ in range(50):
        exclusions.note_failure("s", now=0.1)
    assert not exclusions.excluded("s", now=exclusions_lib.FIRST_EXCLUSION_S)


def test_success_resets_the_failures():
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_failure("s", now=0.0)
    exclusions.note_success("s", now=1.0, began_at=0.5)
    again_s = exclusions.note_failure("s", now=2.0)
    assert again_s == exclusions_lib.FIRST_EXCLUSION_S


def test_success_during_an_exclusion_does_not_end_it():
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_failure("s", now=0.0)
    exclusions.note_success("s", now=0.1, began_at=0.05)
    assert exclusions.excluded("s", now=0.2)


def test_single_timeout_is_not_a_failure():
    """Load pattern: a route's timeout is shorter than the service's answers."""
    exclusions = exclusions_lib.ExclusionTracker()
    for _ in range(20):
        assert not exclusions.note_timeout("s", now=0.0)
        exclusions.note_success("s", now=0.0, began_at=0.0)
    assert not exclusions.excluded("s", now=0.0)
    failed = [exclusions.note_timeout("s", now=1.0) for _ in range(3)]
    assert failed == [False, False, True]
    assert exclusions.excluded("s", now=1.0)


def test_busy_server_is_the_last_choice_for_a_short_time():
    """Load pattern: some memory is full, and streams end all the time."""
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_busy("s", now=0.0)
    assert exclusions.busy_ids(now=0.1) == {"s"}
    assert exclusions.excluded_ids(now=0.1) == frozenset()
    assert not exclusions.excluded("s", now=exclusions_lib.BUSY_S)
    left_s = exclusions.note_failure("s", now=1.0)
    assert left_s == exclusions_lib.FIRST_EXCLUSION_S


def test_forgiven_server_is_not_excluded():
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_failure("s", now=0.0)
    exclusions.reset("s")
    assert not exclusions.excluded("s", now=0.0)


def test_exclusion_grows_with_unexplained_refusals():
    """Load pattern: a backend server leaves during an outage of the list."""
    exclusions = exclusions_lib.ExclusionTracker()
    now, tries = 0.0, 0
    while now < 10.0:
        if not exclusions.excluded("s", now=now):
            exclusions.note_refusal("s", now=now)
            tries += 1
        # Streams from before its shutdown still end successfully.
        exclusions.note_success("s", now=now, began_at=-1.0)
        now += 0.05
    assert exclusions.refusing_ids(now=now) == {"s"}
    assert tries <= 7


def test_simultaneous_refusals_count_once():
    """Load pattern: a burst reaches a server whose report is outdated."""
    exclusions = exclusions_lib.ExclusionTracker()
    for _ in range(40):
        exclusions.note_refusal("s", now=1.0)
    assert not exclusions.excluded("s", now=1.0 + exclusions_lib.BUSY_S)
    assert exclusions.refusing_ids(now=1.0) == frozenset()


def test_request_started_after_a_refusal_resets_refusals():
    exclusions = exclusions_lib.ExclusionTracker()
    for now in (0.0, 1.0):
        exclusions.note_refusal("s", now=now)
    exclusions.note_success("s", now=3.0, began_at=2.5)
    assert exclusions.refusing_ids(now=3.0) == frozenset()


def test_lost_answer_does_not_confirm_a_fault():
    """Load pattern: most backend servers lose answers at the same time."""
    exclusions = exclusions_lib.ExclusionTracker()
    exclusions.note_failure("s", now=0.0, confirmed=False)
    assert exclusions.excluded_ids(now=0.1) == {"s"}
    assert not exclusions.excluded_ids(now=0.1, confirmed_only=True)
    exclusions.note_failure("s", now=0.1)
    exclusions.note_failure("s", now=0.2, confirmed=False)
    assert exclusions.excluded_ids(now=0.2, confirmed_only=True) == {"s"}


def test_leaving_status_expires_without_further_refusals():
    """Load pattern: an engine refuses a part of its requests for 3 s."""
    exclusions = exclusions_lib.ExclusionTracker()
    for now in (0.0, 1.0):
        exclusions.note_refusal("s", now=now)
    # Other failures do not count as refusals.
    exclusions.note_failure("s", now=5.0)
    assert exclusions.refusing_ids(now=7.9) == {"s"}
    assert not exclusions.refusing_ids(now=8.1)
    # An old refusal does not count together with a new one.
    exclusions.note_refusal("s", now=30.0)
    assert not exclusions.refusing_ids(now=30.0)
