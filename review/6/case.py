"""Case 6: an engine sends bytes without end in place of the rest of a stream.

See claim.txt.
"""

from collections.abc import Callable
import sys
import time

import callers
import deployment
import gevent

SAFE_TIMEOUT_MS = 1_000
# Further time after which an unanswered request breaks the rule, s.
LATE_S = 0.5
SAFE_PATIENCE_S = 6.0
SAFE_PER_S = 10.0
STREAMS_PER_S = 60.0
OBJECTIVE_MS = 1_004
PAUSE_MS = 250
# A client leaves after a gap of four times the objective.
STREAM_GAP_S = 4 * OBJECTIVE_MS / 1_000
STREAM_DEADLINE_MS = 20_000
CALM_S = 4.0
TROUBLE_S = 5.5
AFTER_S = 6.0
ENGINES = 5
# Engines in trouble; each spoils one in so many of its answers.
SICK = 3
EVERY = 33
COUNTS = "X-Dotterelgrade-Token-Counts: 100,160"
PREFIX = "X-Dotterelgrade-Prompt-Prefix: 1a:40,2b:60"


def make_call(found: deployment.Deployment, answers: list) -> None:
    """Makes a call to the plain service and records what became of it."""
    request_id = callers.new_id("safe")
    data = callers.head("GET", "/safe/x", request_id, deadline_ms=5_000)
    answer = callers.call(
        found.fronts[0].address, request_id, data, patience_s=SAFE_PATIENCE_S
    )
    answers.append(answer)
    found.note(
        f"{request_id}: status {answer.status} after {answer.seconds:.3f} s "
        f"{answer.error}"
    )


def make_stream(found: deployment.Deployment) -> None:
    """Makes a streamed request as a sound client does."""
    request_id = callers.new_id("stream")
    data = callers.head(
        "POST",
        "/stream/x",
        request_id,
        "X-Dotterelgrade-Model: model",
        COUNTS,
        PREFIX,
        "Content-Length: 0",
        deadline_ms=STREAM_DEADLINE_MS,
    )
    answer = callers.stream(
        found.fronts[0].address,
        request_id,
        data,
        gap_s=STREAM_GAP_S,
        patience_s=STREAM_DEADLINE_MS / 1_000,
    )
    found.note(
        f"{request_id}: status {answer.status}, complete {answer.complete}, "
        f"{answer.seconds:.3f} s {answer.error}"
    )


def repeat(
    per_s: float,
    until: float,
    action: Callable[..., None],
    *args: object,
) -> list[gevent.Greenlet]:
    """Starts an action at a steady rate; returns its greenlets."""
    started = []
    while time.monotonic() < until:
        started.append(gevent.spawn(action, *args))
        gevent.sleep(1 / per_s)
    return started


def judge(found: deployment.Deployment, answers: list) -> int:
    """Returns the exit code."""
    timeout_s = SAFE_TIMEOUT_MS / 1_000
    # The time until the answer is complete is an upper bound of the delay of
    # its first byte; these answers take one packet.
    # A call that never got a connection was not sent, and one that ended
    # sooner than the timeout was not unanswered then.
    sent = [a for a in answers if not a.error.startswith("connect")]
    unanswered = [a for a in sent if a.seconds > timeout_s]
    still = [a for a in unanswered if a.seconds > timeout_s + LATE_S]
    found.note(
        f"{len(sent)} calls with a timeout of {SAFE_TIMEOUT_MS} ms: "
        f"{len(unanswered)} unanswered then, {len(still)} of them "
        f"{LATE_S} s later"
    )
    broken = 2 * len(still) > len(unanswered)
    found.note("CONFIG broken" if broken else "CONFIG held")
    return deployment.BROKEN if broken else deployment.HELD


def main(trouble: bool) -> int:
    """Runs the case; returns its exit code."""
    with (
        deployment.temporary_folder() as folder,
        deployment.Deployment(folder) as found,
    ):
        safe = deployment.route(
            "safe", "plain", "safe", timeout_ms=SAFE_TIMEOUT_MS
        )
        stream = deployment.route(
            "stream",
            "model",
            "streaming",
            resumable=False,
            sticky=True,
            target_latency_ms=OBJECTIVE_MS,
            gap_target_ms=PAUSE_MS,
        )
        found.configure(7, [safe, stream])
        found.start_workers(
            {f"plain-{n}": f"{found.ip(100 + n)}:8080" for n in range(2)}
        )
        sick = found.start_workers(
            {f"engine-{n}": f"{found.ip(110 + n)}:8080" for n in range(SICK)},
            "--every",
            str(EVERY),
        )
        found.start_workers(
            {
                f"engine-{n}": f"{found.ip(110 + n)}:8080"
                for n in range(SICK, ENGINES)
            }
        )
        found.add_front().start()
        if not found.wait_until_ready():
            found.note("the front did not get ready")
            return deployment.COULD_NOT_RUN
        gevent.sleep(3.0)
        answers = []
        until = time.monotonic() + CALM_S + TROUBLE_S + AFTER_S
        sources = [
            gevent.spawn(repeat, SAFE_PER_S, until, make_call, found, answers),
            gevent.spawn(repeat, STREAMS_PER_S, until, make_stream, found),
        ]
        gevent.sleep(CALM_S)
        if trouble:
            found.note(f"trouble begins at {SICK} of {ENGINES} engines")
            sick.set_trouble(True)
        gevent.sleep(TROUBLE_S)
        sick.set_trouble(False)
        found.note("trouble ends")
        gevent.joinall(sources)
        waiting = [g for source in sources for g in source.value]
        gevent.joinall(waiting, timeout=SAFE_PATIENCE_S + STREAM_GAP_S)
        found.note_runs()
        return judge(found, answers)


if __name__ == "__main__":
    sys.exit(deployment.run(main))
