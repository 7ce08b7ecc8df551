"""Guards against a log that a crowd of clients fills."""

from dotterelgrade import client_refusals
from dotterelgrade import metrics as metrics_lib


def test_every_refusal_counts_and_few_are_logged(caplog):
    metrics = metrics_lib.Metrics()
    refusals = client_refusals.ClientRefusals(metrics)
    for _ in range(50):
        refusals.note("admin", client_refusals.Reason.FULL, "127.0.0.1")
    refusals.note("admin", client_refusals.Reason.HEAD_TIMEOUT, "127.0.0.1")
    assert b'reason="full"} 50.0' in metrics.as_text()
    assert len(caplog.records) < 10
    assert {r.reason for r in caplog.records} == {"full", "head_timeout"}


def test_the_next_line_says_how_many_were_left_out():
    now = [0.0]
    lines = client_refusals.BoundedLines(clock=lambda: now[0])
    assert [lines.admit("a") for _ in range(3)] == [0, None, None]
    assert lines.admit("b") == 0
    now[0] = 1.0
    assert lines.admit("a") == 2
