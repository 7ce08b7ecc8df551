from dotterelgrade import decision_log
from dotterelgrade import journal as journal_lib
from dotterelgrade_front import client_notices
from dotterelgrade_front import front_metrics


def test_each_limit_writes_at_most_one_line_a_second():
    """A crowd of thousands must not fill the log."""
    now = 0.0
    journal = journal_lib.Journal(capacity=100)
    metrics = front_metrics.FrontMetrics()
    notices = client_notices.ClientNotices(
        decisions=decision_log.DecisionLog(journal=journal),
        metrics=metrics,
        clock=lambda: now,
    )
    for _ in range(1_000):
        now += 0.01
        notices.record(client_notices.Reason.SLOW_BODY, address="a")
        notices.record(client_notices.Reason.EVICTED, address="b")
    assert len(journal.latest(1_000)) <= 2 * 11
    text = metrics.as_text().decode()
    assert 'front_limited_clients_total{limit="slow_body"} 1000.0' in text
