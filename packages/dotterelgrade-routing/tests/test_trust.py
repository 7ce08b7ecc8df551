from dotterelgrade_routing import trust as trust_lib


def test_exclusion_grows_with_repeated_failures():
    """Load pattern: a backend server fails and recovers repeatedly."""
    trust = trust_lib.Trust()
    now, exclusions_s = 0.0, []
    for _ in range(6):
        left_s = trust.note_failure("s", now=now)
        exclusions_s.append(left_s)
        now += left_s + 0.1
    assert exclusions_s == sorted(exclusions_s)
    assert exclusions_s[0] == trust_lib.FIRST_EXCLUSION_S
    assert exclusions_s[-1] == trust_lib.MAX_EXCLUSION_S


def test_failures_of_one_incident_count_once():
    trust = trust_lib.Trust()
    trust.note_failure("s", now=0.0)
    for _ in range(50):
        trust.note_failure("s", now=0.1)
    assert not trust.excluded("s", now=trust_lib.FIRST_EXCLUSION_S)


def test_success_resets_the_failures():
    trust = trust_lib.Trust()
    trust.note_failure("s", now=0.0)
    trust.note_success("s", now=1.0, began_at=0.5)
    again_s = trust.note_failure("s", now=2.0)
    assert again_s == trust_lib.FIRST_EXCLUSION_S


def test_success_during_an_exclusion_does_not_end_it():
    trust = trust_lib.Trust()
    trust.note_failure("s", now=0.0)
    trust.note_success("s", now=0.1, began_at=0.05)
    assert trust.excluded("s", now=0.2)


def test_single_timeout_is_not_a_failure():
    """Load pattern: a route's timeout is shorter than the service's answers."""
    trust = trust_lib.Trust()
    for _ in range(20):
        assert not trust.note_silence("s", now=0.0)
        trust.note_success("s", now=0.0, began_at=0.0)
    assert not trust.excluded("s", now=0.0)
    failed = [trust.note_silence("s", now=1.0) for _ in range(3)]
    assert failed == [False, False, True]
    assert trust.excluded("s", now=1.0)


def test_busy_server_is_the_last_choice_for_a_short_time():
    """Load pattern: some memory is full, and streams end all the time."""
    trust = trust_lib.Trust()
    trust.note_busy("s", now=0.0)
    assert trust.busy_ids(now=0.1) == {"s"}
    assert trust.excluded_ids(now=0.1) == frozenset()
    assert not trust.excluded("s", now=trust_lib.BUSY_S)
    left_s = trust.note_failure("s", now=1.0)
    assert left_s == trust_lib.FIRST_EXCLUSION_S


def test_forgiven_server_is_not_excluded():
    trust = trust_lib.Trust()
    trust.note_failure("s", now=0.0)
    trust.forgive("s")
    assert not trust.excluded("s", now=0.0)


def test_exclusion_grows_with_unexplained_refusals():
    """Load pattern: a backend server leaves during an outage of the list."""
    trust = trust_lib.Trust()
    now, tries = 0.0, 0
    while now < 10.0:
        if not trust.excluded("s", now=now):
            trust.note_refusal("s", now=now)
            tries += 1
        # Streams from before its shutdown still end successfully.
        trust.note_success("s", now=now, began_at=-1.0)
        now += 0.05
    assert trust.refusing_ids(now=now) == {"s"}
    assert tries <= 7


def test_simultaneous_refusals_count_once():
    """Load pattern: a burst reaches a server whose report is outdated."""
    trust = trust_lib.Trust()
    for _ in range(40):
        trust.note_refusal("s", now=1.0)
    assert not trust.excluded("s", now=1.0 + trust_lib.BUSY_S)
    assert trust.refusing_ids(now=1.0) == frozenset()


def test_request_started_after_a_refusal_resets_refusals():
    trust = trust_lib.Trust()
    for now in (0.0, 1.0):
        trust.note_refusal("s", now=now)
    trust.note_success("s", now=3.0, began_at=2.5)
    assert trust.refusing_ids(now=3.0) == frozenset()


def test_lost_answer_does_not_confirm_a_fault():
    """Load pattern: most backend servers lose answers at the same time."""
    trust = trust_lib.Trust()
    trust.note_failure("s", now=0.0, firm=False)
    assert trust.excluded_ids(now=0.1) == {"s"}
    assert not trust.excluded_ids(now=0.1, only_firm=True)
    trust.note_failure("s", now=0.1)
    trust.note_failure("s", now=0.2, firm=False)
    assert trust.excluded_ids(now=0.2, only_firm=True) == {"s"}


def test_leaving_status_expires_without_further_refusals():
    """Load pattern: an engine refuses a part of its requests for 3 s."""
    trust = trust_lib.Trust()
    for now in (0.0, 1.0):
        trust.note_refusal("s", now=now)
    # Other failures do not count as refusals.
    trust.note_failure("s", now=5.0)
    assert trust.refusing_ids(now=7.9) == {"s"}
    assert not trust.refusing_ids(now=8.1)
    # An old refusal does not count together with a new one.
    trust.note_refusal("s", now=30.0)
    assert not trust.refusing_ids(now=30.0)
