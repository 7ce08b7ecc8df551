"""Case 9: a part of long prompts crashes each worker that answers.

See claim.txt.
"""

import random
import sys
import time

import callers
import deployment
import gevent

FRONTS = 2
ENGINES = 8
BAD_PART = "bad0bad0"
# Parts that all prompts have in common, before the one that differs.
COMMON_PARTS = 64
SOUND_PER_S = 8.0
BAD_PER_S = 2.0
CALM_S = 4.0
TROUBLE_S = 25.0
STABILITY_WINDOW_S = 3.0
# The crash from which the time counts, and the requests that may reach workers.
COUNTED_CRASH = 5
ALLOWED = 3
STREAM_GAP_S = 2.0
DEADLINE_MS = 20_000


def prefix(bad: bool) -> str:
    """Returns the parts of a prompt; the last one is its own."""
    own = f"{random.randrange(16**8):08x}"
    other = f"{random.randrange(16**8):08x}"
    parts = [f"5a{number:06x}" for number in range(COMMON_PARTS)]
    parts += [BAD_PART if bad else "600d600d", other, own]
    return ",".join(f"{part}:10" for part in parts)


def make_stream(found: deployment.Deployment, bad: bool) -> None:
    """Makes a streamed request as a sound client does."""
    request_id = callers.new_id("bad" if bad else "sound")
    data = callers.head(
        "POST",
        "/stream/x",
        request_id,
        "X-Dotterelgrade-Model: model",
        "X-Dotterelgrade-Token-Counts: 750,80",
        f"X-Dotterelgrade-Prompt-Prefix: {prefix(bad)}",
        "Content-Length: 0",
        deadline_ms=DEADLINE_MS,
    )
    front = random.choice(found.fronts)
    answer = callers.stream(
        front.address,
        request_id,
        data,
        gap_s=STREAM_GAP_S,
        patience_s=DEADLINE_MS / 1_000,
    )
    found.note(
        f"{request_id} at {front.name}: status {answer.status}, complete "
        f"{answer.complete}, {answer.seconds:.3f} s {answer.error}"
    )


def repeat(found: deployment.Deployment, per_s: float, bad: bool) -> None:
    """Starts requests at a steady rate until it is killed."""
    while True:
        gevent.spawn(make_stream, found, bad)
        gevent.sleep(1 / per_s)


def judge(found: deployment.Deployment, events: list[dict]) -> int:
    """Returns the exit code."""
    crashed_at = sorted(e["at"] for e in events if e["kind"] == "crashed")
    arrived = [e for e in events if e["kind"] == "run" and e.get("bad")]
    found.note(f"{len(crashed_at)} crashes, {len(arrived)} bad requests ran")
    late = []
    if len(crashed_at) >= COUNTED_CRASH:
        # Requests are sent within milliseconds of their arrival.
        counted_from = crashed_at[COUNTED_CRASH - 1] + STABILITY_WINDOW_S
        late = [e for e in arrived if e["at"] > counted_from]
    found.note(f"{len(late)} reached workers too late, {ALLOWED} may")
    broken = len(late) > ALLOWED
    found.note("BUDGET broken" if broken else "BUDGET held")
    return deployment.BROKEN if broken else deployment.HELD


def main(trouble: bool) -> int:
    """Runs the case; returns its exit code."""
    with (
        deployment.temporary_folder() as folder,
        deployment.Deployment(folder) as found,
    ):
        found.configure(
            7,
            [
                deployment.route(
                    "stream",
                    "model",
                    "streaming",
                    resumable=True,
                    sticky=True,
                    gap_target_ms=250,
                )
            ],
        )
        engines = found.start_workers(
            {
                f"engine-{n}": f"{found.ip(110 + n)}:8080"
                for n in range(ENGINES)
            },
            "--bad-part",
            BAD_PART,
        )
        for _ in range(FRONTS):
            found.add_front().start()
        if not found.wait_until_ready():
            return deployment.COULD_NOT_RUN
        gevent.sleep(3.0)
        callers_of = [gevent.spawn(repeat, found, SOUND_PER_S, False)]
        gevent.sleep(CALM_S)
        if trouble:
            engines.set_trouble(True)
        callers_of.append(gevent.spawn(repeat, found, BAD_PER_S, True))
        until = time.monotonic() + TROUBLE_S
        while time.monotonic() < until:
            gevent.sleep(1.0)
        gevent.killall(callers_of)
        gevent.sleep(STREAM_GAP_S)
        found.note_runs()
        return judge(found, engines.events())


if __name__ == "__main__":
    sys.exit(deployment.run(main))
