import pytest

from dotterelgrade import contract_checks
from dotterelgrade import grammar

_KEY = "key=sha256:" + "0a" * 32


def _faults_of(*lines):
    text = "\n".join(f"{line} # ops: why" for line in lines)
    return contract_checks.check(grammar.parse(text).unwrap())


def _place(layers, model="m"):
    return f"place model={model} layers={layers} failure_domain=a replicas=1"


def test_fully_covered_model_has_no_fault():
    assert (
        _faults_of("model name=m layers=24", _place("0-11"), _place("12-23"))
        == ()
    )


@pytest.mark.parametrize(
    ("ranges", "layer"),
    [
        ([], 0),
        (["1-23"], 0),
        (["0-11"], 12),
        (["0-11", "13-23"], 12),
        (["0-11", "8-23"], 12),
    ],
)
def test_first_uncovered_layer_is_reported(ranges, layer):
    (fault,) = _faults_of("model name=m layers=24", *map(_place, ranges))
    assert f"layer {layer} of m" in fault.message
    assert fault.line == 1


def test_overlapping_ranges_can_form_several_chains():
    ranges = ["0-7", "0-11", "8-15", "12-23", "16-23"]
    assert _faults_of("model name=m layers=24", *map(_place, ranges)) == ()


def test_place_requires_a_model_with_its_layers():
    unknown_model, out_of_range = _faults_of(
        "model name=m layers=2",
        _place("0-1"),
        _place("0-1", "x"),
        _place("2-3"),
    )
    assert "no model is named 'x'" in unknown_model.message
    assert unknown_model.expected == "one of m"
    assert "no layer 3" in out_of_range.message


def test_workspaces_cannot_share_a_key():
    (fault,) = _faults_of(
        f"workspace name=a {_KEY}", f"workspace name=b {_KEY}"
    )
    assert (fault.line, "line 1" in fault.message) == (2, True)


def test_bound_requires_an_existing_workspace():
    bound = "bound workspace=b first_token_p95=1s between_tokens_p95=1s"
    (fault,) = _faults_of(f"workspace name=a {_KEY}", bound)
    assert "no workspace is named 'b'" in fault.message
