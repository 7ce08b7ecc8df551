import pytest

from dotterelgrade import rule_index
from dotterelgrade import rules

_KEYS = ("0a" * 32, "0b" * 32)
_TEXTS = {
    "bound workspace=*": "first_token_p95=1s between_tokens_p95=1s",
    "bound workspace=b": "first_token_p95=2s between_tokens_p95=1s",
    "workspace name=b": f"key=sha256:{_KEYS[0]}",
    "workspace name=a": f"key=sha256:{_KEYS[0]}",
    "model name=m": "layers=24",
    "place model=m layers=12-23": "failure_domain=a replicas=1",
    "place model=m layers=0-11": "failure_domain=a replicas=1",
    "service name=deposits": "to=order",
    "drain host=10.0.0.7": "",
}


@pytest.fixture
def index():
    index = rule_index.RuleIndex()
    for identity, rest in _TEXTS.items():
        index.add_rule(identity, f"{identity} {rest} # ops: why")
    return index


def test_rules_are_found_by_kind_and_subject(index):
    assert index.bound_for("a").first_token_p95_s == 1.0
    assert index.bound_for("b").first_token_p95_s == 2.0
    assert [p.first_layer for p in index.placements("m")] == [0, 12]
    assert index.placements("other") == ()
    assert index.model("m").layers == 24
    assert [m.name for m in index.models()] == ["m"]
    assert index.workspace("a").weight == 1.0
    assert index.service("deposits").repeat == rules.REPEAT_NEVER
    assert [s.name for s in index.services()] == ["deposits"]
    assert index.is_draining("10.0.0.7")
    assert not index.is_draining("10.0.0.8")


def test_duplicate_key_resolves_to_the_same_workspace(index):
    assert index.workspace_by_key(_KEYS[0]).name == "b"
    assert index.workspace_by_key(_KEYS[1]) is None
    index.remove_rule("workspace name=b")
    assert index.workspace_by_key(_KEYS[0]).name == "a"


def test_removed_rule_is_not_found(index):
    for identity in _TEXTS:
        index.remove_rule(identity)
    assert index.bound_for("a") is None
    assert index.models() == index.workspaces() == index.services() == ()
    assert not index.is_draining("10.0.0.7")


def test_unreadable_lines_are_listed_separately(index):
    index.add_rule("quota name=x", "quota name=x # ops: why")
    index.add_rule("drain host=10.0.0.8", "drain host=10.0.0.9 # ops: why")
    unknown_kind, mismatch = index.unreadable.values()
    assert "unknown kind" in unknown_kind[0].message
    assert "another rule" in mismatch[0].message
    assert not index.is_draining("10.0.0.9")
    index.remove_rule("quota name=x")
    assert list(index.unreadable) == ["drain host=10.0.0.8"]
