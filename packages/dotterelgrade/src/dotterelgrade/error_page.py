"""Generates docs/ERRORS.md from the table of errors.

python -m dotterelgrade.error_page > docs/ERRORS.md
"""

from collections.abc import Mapping
import sys

from dotterelgrade import errors

_KIND = errors.ErrorKind
DESCRIPTIONS: Mapping[errors.ErrorKind, tuple[str, str]] = {
    _KIND.BAD_REQUEST: (
        "The body or a header is malformed.",
        "Correct the request.",
    ),
    _KIND.UNAUTHORIZED: (
        "The bearer key is missing or does not belong to a workspace.",
        "Send the workspace's key.",
    ),
    _KIND.NOT_FOUND: ("No such path.", "Correct the path."),
    _KIND.UNKNOWN_MODEL: (
        "The contract has no model of that name.",
        "List the models with `GET /v1/models`.",
    ),
    _KIND.UNKNOWN_SERVICE: (
        "The contract has no service of that name.",
        "Correct the path.",
    ),
    _KIND.METHOD_NOT_ALLOWED: (
        "The path does not support this HTTP method.",
        "Correct the request.",
    ),
    _KIND.BODY_TOO_LARGE: (
        "The body is larger than the entry accepts.",
        "Send a smaller body.",
    ),
    _KIND.HEAD_TOO_LARGE: (
        "The request head exceeds the configured limit.",
        "Send fewer or shorter headers.",
    ),
    _KIND.REQUEST_TIMEOUT: (
        "The caller took too long to send the request.",
        "Send the request again, faster.",
    ),
    _KIND.RATE_LIMITED: (
        "The workspace exceeds its request rate limit.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.CONCURRENCY_LIMITED: (
        "The workspace has reached its limit of requests in flight.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.OVER_BOUND: (
        "The predicted first-token latency exceeds the bound.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.NO_CAPACITY: (
        "No backend server has free capacity.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.NO_MEMORY: (
        "The process has no memory left for the body of the request.",
        "Retry after `retry_after_s`; another process may accept it.",
    ),
    _KIND.QUARANTINED: (
        "Backend servers crashed under requests that share a segment of their "
        "prompt with this one, or equal it.",
        "Do not repeat it before `retry_after_s`; change the prompt, or ask "
        "the operators.",
    ),
    _KIND.LEAVING: (
        "The process is shutting down and accepts no new requests.",
        "Retry; another process accepts the request.",
    ),
    _KIND.NOT_READY: (
        "The entry has not caught up with the contract log yet.",
        "Retry; another entry accepts the request.",
    ),
    _KIND.LOG_UNAVAILABLE: (
        "A keyed call can't be claimed while the log is unavailable.",
        "Retry with the same key after `retry_after_s`.",
    ),
    _KIND.KEY_INVALID: (
        "The idempotency key is not a UUIDv7, or its time is in the future.",
        "Generate a UUIDv7 with a synchronized clock.",
    ),
    _KIND.KEY_TOO_OLD: (
        "The idempotency key is older than the claim window.",
        "Look up the outcome of the call before using a new key.",
    ),
    _KIND.KEY_REUSED: (
        "The idempotency key was used for a call with different content.",
        "Use a new key for a new call.",
    ),
    _KIND.CLAIM_UNRESOLVED: (
        "The key was claimed before, and the outcome of that call is unknown.",
        "Retry with the same key; if the error persists, look up the outcome.",
    ),
    _KIND.OUTCOME_UNKNOWN: (
        "The service was called and did not respond.",
        "With a key, retry; without one, look up the outcome.",
    ),
    _KIND.DEADLINE_EXCEEDED: (
        "No complete response arrived before the deadline.",
        "See `run`; retry a keyed call with the same key.",
    ),
    _KIND.INTERRUPTED: (
        "Stages failed and could not be replaced in time, or the process had "
        "to exit.",
        "Send the request again.",
    ),
    _KIND.CALLER_GONE: (
        "The caller closed its connection.",
        "None; the error appears only in logs.",
    ),
    _KIND.CONTRACT_INVALID: (
        "A line of the contract is invalid.",
        "Correct the line at the reported position.",
    ),
    _KIND.CONTRACT_CONFLICT: (
        "The line was changed concurrently.",
        "Review the current line, then apply again.",
    ),
    _KIND.SETTINGS_INVALID: (
        "The settings are invalid; each fault is reported with its path.",
        "Correct the settings.",
    ),
    _KIND.FRAME_INVALID: (
        "A peer sent an invalid frame.",
        "Check for a process of another version.",
    ),
    _KIND.PEER_UNAUTHENTICATED: (
        "A peer does not know the shared key or uses another protocol version.",
        "Check its settings and version.",
    ),
    _KIND.PEER_UNREACHABLE: (
        "A peer or a backend server could not be reached.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.RECORD_INVALID: (
        "A record of the log is invalid and was skipped.",
        "Find the process that appended it.",
    ),
    _KIND.RECORD_EXPIRED: (
        "The log no longer retains a requested record.",
        "None; a snapshot is used instead.",
    ),
    _KIND.ENGINE_FAILED: (
        "An engine failed during a step.",
        "Send the request again.",
    ),
    _KIND.ENGINE_REFUSED: (
        "An engine is unusable or rejected a command.",
        "Retry after `retry_after_s`.",
    ),
    _KIND.INTERNAL: (
        "An internal error; the log of the process has the details.",
        "Report it with the request ID.",
    ),
    _KIND.INTERNAL_NOT_RUN: (
        "An internal error before a backend server was reached.",
        "Retry after `retry_after_s`; report it with the request ID.",
    ),
}

_HEAD = """# Errors

Generated from `dotterelgrade/errors.py` by
`python -m dotterelgrade.error_page`; a test checks that it is current. The list
is complete: every error that a process sends, logs or returns has one of these
kinds.

A caller receives

    {"error": {"kind", "message", "run", "request_id", "retry_after_s"}}

and, where `retry_after_s` is set, a `Retry-After` header. If a stream
has already begun, the same object is sent as its last event.

`run` tells whether the request was run: `not_run` (nothing of it ran or will
run), `unknown` or `ran`. The column shows the default; a process that knows
more reports a more precise value. It covers this HTTP request only: if a retry
of a keyed call is rejected with `not_run`, an earlier request with the same key
may still have run, so retry until the outcome is returned.

| kind | status | run | retryable | cause | action |
|---|---|---|---|---|---|
"""


def as_markdown() -> str:
    """Returns the page as Markdown."""
    rows = []
    for kind, response in errors.RESPONSES.items():
        cause, action = DESCRIPTIONS[kind]
        retryable = "yes" if response.retryable else "no"
        rows.append(
            f"| `{kind.value}` | {response.status.value} | "
            f"`{response.run.value}` | {retryable} | {cause} | {action} |\n"
        )
    return _HEAD + "".join(rows)


if __name__ == "__main__":
    sys.stdout.write(as_markdown())
