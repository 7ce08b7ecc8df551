"""Writes docs/ERRORS.md from the table of errors.

python -m dotterelgrade.error_page > docs/ERRORS.md
"""

from collections.abc import Mapping
import sys

from dotterelgrade import errors

_KIND = errors.ErrorKind
MEANINGS: Mapping[errors.ErrorKind, tuple[str, str]] = {
    _KIND.BAD_REQUEST: (
        "The body or a header can't be read as a request.",
        "Mend the request.",
    ),
    _KIND.UNAUTHORIZED: (
        "The bearer key is missing or belongs to no workspace.",
        "Send the workspace's key.",
    ),
    _KIND.NOT_FOUND: ("No such path.", "Mend the path."),
    _KIND.UNKNOWN_MODEL: (
        "The contract has no model of that name.",
        "Ask `GET /v1/models`.",
    ),
    _KIND.UNKNOWN_SERVICE: (
        "The contract has no service of that name.",
        "Mend the path.",
    ),
    _KIND.METHOD_NOT_ALLOWED: (
        "The path takes another HTTP method.",
        "Mend the request.",
    ),
    _KIND.BODY_TOO_LARGE: (
        "The body is larger than the entry accepts.",
        "Send less.",
    ),
    _KIND.HEAD_TOO_LARGE: (
        "The head of the request is larger than the configuration allows.",
        "Send fewer or shorter headers.",
    ),
    _KIND.REQUEST_TIMEOUT: (
        "The caller took too long to send its request.",
        "Send it again, faster.",
    ),
    _KIND.RATE_LIMITED: (
        "The workspace sends more requests a second than its rule allows.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.CONCURRENCY_LIMITED: (
        "The workspace has as many requests in flight as its rule allows.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.OVER_BOUND: (
        "The first token would come later than the bound allows.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.NO_CAPACITY: (
        "No backend server has a free place.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.LEAVING: (
        "The process takes no new work, as it stops.",
        "Send it again; another process takes it.",
    ),
    _KIND.NOT_READY: (
        "The entry has not caught up with the contract yet.",
        "Send it again; another entry takes it.",
    ),
    _KIND.LOG_UNAVAILABLE: (
        "A keyed call can't be claimed while the log does not answer.",
        "Repeat it under the same key after `retry_after_s`.",
    ),
    _KIND.KEY_INVALID: (
        "The idempotency key is no UUIDv7, or comes from the future.",
        "Make a UUIDv7 with a right clock.",
    ),
    _KIND.KEY_TOO_OLD: (
        "The idempotency key is older than the claim window.",
        "Look up what became of the call before making a new key.",
    ),
    _KIND.KEY_REUSED: (
        "The idempotency key belongs to a call with another content.",
        "Make a new key for a new call.",
    ),
    _KIND.CLAIM_UNRESOLVED: (
        "The key was claimed before, and what came of it is not known.",
        "Repeat it under the same key; look it up if that stays so.",
    ),
    _KIND.OUTCOME_UNKNOWN: (
        "The service was called and gave no answer.",
        "With a key, repeat it; without one, look it up.",
    ),
    _KIND.DEADLINE_EXCEEDED: (
        "No whole answer came within the time limit.",
        "See `run`; repeat a keyed call under the same key.",
    ),
    _KIND.INTERRUPTED: (
        "Stages were lost and could not be replaced in time.",
        "Send the request again.",
    ),
    _KIND.CALLER_GONE: (
        "The caller closed its connection.",
        "Nothing; it is seen in logs only.",
    ),
    _KIND.CONTRACT_INVALID: (
        "A line of the contract can't be read.",
        "Mend the line at the place that is named.",
    ),
    _KIND.CONTRACT_CONFLICT: (
        "Somebody else changed the line first.",
        "Look at the winner's line, then apply again.",
    ),
    _KIND.SETTINGS_INVALID: (
        "The settings have faults; each is named with its path.",
        "Mend the settings.",
    ),
    _KIND.FRAME_INVALID: (
        "A peer sent what is no frame.",
        "Look for a process of another version.",
    ),
    _KIND.PEER_UNAUTHENTICATED: (
        "A peer does not know the shared key or speaks another version.",
        "Look at its settings.",
    ),
    _KIND.PEER_UNREACHABLE: (
        "A peer or a backend server could not be reached.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.RECORD_INVALID: (
        "A record of the log can't be read; it is skipped.",
        "Look for who appended it.",
    ),
    _KIND.RECORD_EXPIRED: (
        "The log no longer keeps a record that was asked for.",
        "Nothing; a snapshot stands in for it.",
    ),
    _KIND.ENGINE_FAILED: (
        "An engine failed in the middle of a step.",
        "Send the request again.",
    ),
    _KIND.ENGINE_REFUSED: (
        "An engine is not usable, or refused an order.",
        "Come back after `retry_after_s`.",
    ),
    _KIND.INTERNAL: (
        "A fault in the process; its log has the details.",
        "Report it with the request id.",
    ),
}

_HEAD = """# Errors

Written from `dotterelgrade/errors.py` by `python -m dotterelgrade.error_page`;
a test checks that it is current. The list is closed: every error that a process
answers, logs or returns has one of these kinds.

A caller gets

    {"error": {"kind", "message", "run", "request_id", "retry_after_s"}}

and, where `retry_after_s` is set, a `Retry-After` header. In a stream that has
begun, the same object is the last event.

`run` says what is known about the request that was answered: `not_run` (nothing
of it ran or will run), `unknown` or `ran`. The column shows the usual value; a
process that knows more says more. It speaks of this HTTP request only: a repeat
of a keyed call that is refused with `not_run` says nothing about an earlier
request under the same key, so repeat it until its outcome comes.

| kind | status | run | same call may work later | what happened | what to do |
|---|---|---|---|---|---|
"""


def as_markdown() -> str:
    """Returns the page."""
    rows = []
    for kind, answer in errors.ANSWERS.items():
        happened, remedy = MEANINGS[kind]
        later = "yes" if answer.retryable else "no"
        rows.append(
            f"| `{kind.value}` | {answer.status.value} | "
            f"`{answer.run.value}` | {later} | {happened} | {remedy} |\n"
        )
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(as_markdown())
