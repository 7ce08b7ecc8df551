import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
from returns import pipeline

from dotterelgrade import grammar
from dotterelgrade import rules

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_KEY = "sha256:" + "0a" * 32
_VALID_LINES = (
    "bound workspace=* first_token_p95=340ms between_tokens_p95=25ms"
    "   # bench: veneer dries",
    "model name=inlay layers=24  # studio: drafts",
    "place model=inlay layers=0-11 failure_domain=recife-a,recife-b replicas=4"
    "  # operations: cost",
    f"workspace name=bench key={_KEY} weight=4 rate=40/s concurrent=32"
    " priority=1  # bench: craftsmen first",
    "service name=deposits to=order repeat=never  # orders: money",
    "drain host=10.0.0.7  # operations: new fan",
)


def _faults(text):
    return grammar.parse(text).failure()


def test_every_kind_of_rule_is_parsed():
    lines = grammar.parse("\n".join(_VALID_LINES)).unwrap()
    assert [line.rule.keyword for line in lines] == list(rules.kinds())
    assert lines[0].rule == rules.LatencyBoundRule(
        workspace="*", first_token_p95_s=0.34, between_tokens_p95_s=0.025
    )
    assert lines[2].rule == rules.PlacementRule(
        model="inlay",
        first_layer=0,
        last_layer=11,
        failure_domains=("recife-a", "recife-b"),
        replicas=4,
    )
    assert lines[3].rule.rate_per_s == 40.0
    assert lines[2].identity == "place model=inlay layers=0-11"
    assert (lines[5].who, lines[5].why) == ("operations", "new fan")
    assert lines[5].number == 6


@pytest.mark.parametrize("name", ["tabuleiro", "isimbi"])
def test_examples_are_valid(name):
    text = (_EXAMPLES / f"{name}.contract").read_text()
    assert len(grammar.parse(text).unwrap()) == 23


def test_blank_lines_and_comments_are_skipped():
    text = f"\ufeff# a title\r\n\r\n{_VALID_LINES[1]}\r\n   # more\n"
    (line,) = grammar.parse(text).unwrap()
    assert (line.text, line.number) == (_VALID_LINES[1], 3)


@pytest.mark.parametrize(
    ("text", "column", "message", "expected"),
    [
        ("drain host=10.0.0.7", 20, "no comment", "# WHO: why"),
        ("drain host=10.0.0.7 # fan", 21, "names no requester", "# WHO: why"),
        ("drain host=10.0.0.7 # : fan", 21, "names no requester", "# WHO: why"),
        ("drain host=10.0.0.7 # ops:", 21, "names no requester", "# WHO: why"),
        ("  drian host=10.0.0.7 # o: p", 3, "unknown kind", "bound, model"),
        ("drain host=10.0.0 # o: p", 12, "invalid host", "an IP number"),
        ("drain hots=10.0.0.7 # o: p", 7, "unknown key", "host="),
        ("drain host=::1 10 # o: p", 16, "unknown key", "host="),
        ("drain # o: p", 1, "lacks host", "host=, an IP number"),
        ("drain host=::1 host=::2 # o: p", 16, "duplicate host", "once"),
        ("model name=a layers=0 # o: p", 21, "invalid layers", "from 1 to"),
        (
            "model name=a layers=1e3 # o: p",
            21,
            "invalid layers",
            "whole number",
        ),
        ("model name=a layers=٣ # o: p", 21, "invalid layers", "whole number"),
        ("model name=-a layers=1 # o: p", 12, "invalid name", "a name"),
        ("drain host=::1\x00 # o: p", 15, "control character", "printable"),
        ("drain host=::1 # o: " + "p" * 2_000, 2_001, "characters", "at most"),
    ],
)
def test_fault_has_column_and_expected_text(text, column, message, expected):
    fault = _faults(text)[0]
    assert (fault.line, fault.column) == (1, column)
    assert message in fault.message
    assert expected in fault.expected


@pytest.mark.parametrize(
    "value",
    ["340", "0ms", "-1ms", "1e3ms", "nanms", "999999999s", "340 ms", ""],
)
def test_invalid_durations_are_rejected(value):
    text = (
        f"bound workspace=* first_token_p95={value} between_tokens_p95=1s"
        " # o: p"
    )
    assert any("first_token_p95" in f.message for f in _faults(text))


@pytest.mark.parametrize(
    "value", ["11-0", "0-10000", "00-11", "0", "0-", "-1-2", "a-b"]
)
def test_non_canonical_layer_ranges_are_rejected(value):
    text = f"place model=m layers={value} failure_domain=a replicas=1 # o: p"
    assert "a range of layers" in _faults(text)[0].expected


def test_all_faults_of_all_lines_are_returned_together():
    faults = _faults("bound x=1\nmodel name=? layers=0\ndrain # o: p")
    assert [fault.line for fault in faults] == [1, 1, 1, 1, 1, 2, 2, 2, 3]


def test_duplicate_identity_is_rejected():
    other = _VALID_LINES[2].replace("replicas=4", "replicas=5")
    (fault,) = _faults(f"{_VALID_LINES[2]}\n\n{other}")
    assert fault.line == 3
    assert "first on line 1" in fault.message


def test_framed_text_contains_its_identity_and_a_requester():
    for text in _VALID_LINES:
        line = grammar.parse_line(text).unwrap()
        assert grammar.is_well_formed(text, identity=line.identity)
    assert grammar.is_well_formed(
        "later name=x new=1 # o: p", identity="later name=x"
    )
    assert not grammar.is_well_formed(
        _VALID_LINES[5], identity="drain host=10.0.0.8"
    )
    assert not grammar.is_well_formed(
        "drain host=::1", identity="drain host=::1"
    )
    assert not grammar.is_well_formed(
        "drain\nhost=::1 # o: p", identity="drain"
    )
    assert not grammar.is_well_formed("drain host=::1 # o: p", identity="")


_TOKENS = st.sampled_from(
    ["bound", "model", "place", "name=", "layers=", "0-11", "340ms"]
    + ["#", ":", "*", ",", "\n", "\t"]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.one_of(
        st.binary(max_size=300).map(lambda b: b.decode(errors="replace")),
        st.text(max_size=300),
        st.lists(_TOKENS | st.text(max_size=3), max_size=30).map(" ".join),
    )
)
def test_any_text_is_parsed_or_has_faults(text):
    outcome = grammar.parse(text)
    if pipeline.is_successful(outcome):
        for line in outcome.unwrap():
            assert grammar.parse_line(line.text).unwrap().rule == line.rule
            assert grammar.is_well_formed(line.text, identity=line.identity)
    else:
        assert all(fault.expected for fault in outcome.failure())


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    st.sampled_from(_VALID_LINES), st.integers(0, 200), st.binary(max_size=3)
)
def test_corrupted_line_keeps_its_text_or_is_rejected(
    text, position, replacement
):
    data = text.encode()
    position %= len(data)
    corrupted = (data[:position] + replacement + data[position + 1 :]).decode(
        errors="replace"
    )
    for line in grammar.parse(corrupted).value_or(()):
        assert line.text in corrupted
