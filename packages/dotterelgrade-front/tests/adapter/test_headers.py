import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade_platform import headers
from dotterelgrade_routing import chain_choice
from dotterelgrade_routing import layer_range
from dotterelgrade_routing import request_metadata

_CLIENT_HEADERS = [
    (b"host", b"shop.example"),
    (b"x-dotterelgrade-attempt-id", b"9c41"),
    (b"x-dotterelgrade-deadline-ms", b"20002"),
    (b"x-dotterelgrade-model", b"m"),
    (b"x-dotterelgrade-token-counts", b"1460,80"),
    (b"x-dotterelgrade-prompt-prefix", b"5c1e:800,91bd:410"),
    (b"x-dotterelgrade-length-hint", b"33"),
    (b"x-dotterelgrade-tenant", b"forged"),
    (b"x-dotterelgrade-hops", b"forged"),
    (b"authorization", b"Bearer abc"),
    (b"last-event-id", b"12"),
]


def _stages():
    return tuple(
        chain_choice.Stage(
            server_id=f"s{first}",
            address=f"10.0.0.{first}:80",
            failure_domain="a",
            layers=layer_range.LayerRange(first, end),
        )
        for first, end in ((0, 20), (20, 80))
    )


def _forwarding_orders(**rest):
    rest.setdefault("time_left_s", 1.5)
    rest.setdefault("instance_id", "i-1")
    rest.setdefault("workspace", "bench")
    rest.setdefault("priority", 1)
    return request_metadata.ForwardingMetadata(**rest)


def test_request_headers_are_parsed():
    facts = headers.read_request(_CLIENT_HEADERS)
    assert facts.request_id == "9c41"
    assert facts.caller_timeout_s == 20.002
    assert facts.api_key == "abc"
    assert (facts.prompt_tokens, facts.max_answer_tokens) == (1460, 80)
    assert facts.expected_answer_tokens == 33
    assert facts.last_event_id == "12"


@pytest.mark.parametrize("value", [b"", b"soon", b"-1", b"nan", b"inf"])
def test_malformed_numbers_are_ignored(value):
    facts = headers.read_request(
        [
            (b"x-dotterelgrade-deadline-ms", value),
            (b"x-dotterelgrade-token-counts", value),
        ]
    )
    assert facts.caller_timeout_s is None
    assert facts.prompt_tokens == 0


def test_a_stated_number_of_tokens_is_bounded():
    """The sum of all reservations did not fit into a frame of the planner."""
    counts = [(b"x-dotterelgrade-token-counts", b"1e300,1e300")]
    facts = headers.read_request(counts)
    assert round(facts.prompt_tokens + facts.max_answer_tokens) < 2**53


_NAMES = (
    headers.ATTEMPT_ID,
    headers.DEADLINE_MS,
    headers.TOKEN_COUNTS,
    headers.LENGTH_HINT,
    headers.NOT_EXECUTED,
    headers.AT_SERVER,
    headers.LEAVING,
    headers.RETRY_AFTER,
    headers.LAST_EVENT_ID,
    headers.AUTHORIZATION,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(_NAMES),
            strategies.binary(max_size=30)
            | strategies.sampled_from([b"1e400", b"-0", b"9" * 5_000]),
        )
    ),
    strategies.integers(200, 599),
)
def test_header_values_of_any_bytes_are_parsed(rows, status):
    """An exception would end the request, or every request to a server."""
    facts = headers.read_request(rows)
    assert facts.caller_timeout_s is None or facts.caller_timeout_s >= 0
    answer = headers.read_answer(status=status, headers=rows)
    assert answer.not_run or status != 421


def test_the_fronts_headers_replace_the_clients():
    sent = dict(
        headers.write_request(
            _CLIENT_HEADERS, _forwarding_orders(stages=_stages())
        )
    )
    assert sent[b"x-dotterelgrade-tenant"] == b"bench"
    assert sent[b"x-dotterelgrade-deadline-ms"] == b"1500"
    assert sent[b"x-dotterelgrade-expect-instance"] == b"i-1"
    assert (
        sent[b"x-dotterelgrade-hops"] == b"10.0.0.0:80=0-20,10.0.0.20:80=20-80"
    )
    assert b"authorization" not in sent


def test_headers_that_identify_the_request_are_unchanged():
    sent = headers.write_request(_CLIENT_HEADERS, _forwarding_orders())
    for name in (
        b"x-dotterelgrade-attempt-id",
        b"x-dotterelgrade-model",
        b"x-dotterelgrade-token-counts",
        b"x-dotterelgrade-prompt-prefix",
        b"last-event-id",
    ):
        assert [v for n, v in sent if n == name] == [
            dict(_CLIENT_HEADERS)[name]
        ]


def test_without_a_workspace_no_tenant_header_is_sent():
    sent = dict(
        headers.write_request(_CLIENT_HEADERS, _forwarding_orders(workspace=""))
    )
    assert b"x-dotterelgrade-tenant" not in sent


def test_a_resumed_stream_names_the_last_event_once():
    sent = headers.write_request(
        _CLIENT_HEADERS, _forwarding_orders(resume_after="40")
    )
    values = [v for n, v in sent if n == b"last-event-id"]
    assert values == [b"40"]


@pytest.mark.parametrize(
    ("status", "rows", "not_run"),
    [
        (503, [(b"x-dotterelgrade-not-executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (200, [], False),
        (500, [], False),
    ],
)
def test_not_run_needs_an_explicit_header_or_status(status, rows, not_run):
    facts = headers.read_answer(status=status, headers=rows)
    assert facts.not_run == not_run


def test_the_server_at_fault_is_parsed():
    facts = headers.read_answer(
        status=503, headers=[(b"at-server", b"10.0.0.2:80")]
    )
    assert facts.faulty_address == "10.0.0.2:80"


@pytest.mark.parametrize(
    ("values", "segments"),
    [
        ([], ()),
        ([b""], ()),
        ([b"5C1e:800, 91bd:410 ,e4402b7d:250"], ("5c1e", "91bd", "e4402b7d")),
        ([b"a", b"b:1"], ("a", "b")),
        ([b":12,,x:y:z"], ("x",)),
        ([b"\xff\x00:1"], ("\xff\x00",)),
        ([b"a" * 10_000 + b":1"], ("a" * 10_000,)),
    ],
)
def test_segments_of_a_prompt_are_read(values, segments):
    rows = [(headers.PROMPT_PREFIX, value) for value in values]
    assert headers.read_request(rows).prompt_segments == segments
