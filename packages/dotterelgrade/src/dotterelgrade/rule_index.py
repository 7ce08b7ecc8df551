"""An index of the contract rules in force, by kind and subject."""

from collections.abc import Mapping
import types
from typing import Any, TypeVar

from dotterelgrade import grammar
from dotterelgrade import rules

_R = TypeVar("_R")


class RuleIndex:
    """Rules by identity and kind; unreadable lines are listed separately."""

    def __init__(self) -> None:
        """Initializes an empty index."""
        self._rules: dict[str, rules.Rule] = {}
        self._unreadable: dict[str, tuple[grammar.Fault, ...]] = {}
        self._by_kind: dict[type, dict[str, Any]] = {}
        self._workspaces_by_key: dict[str, rules.WorkspaceRule] | None = None

    @property
    def unreadable(self) -> Mapping[str, tuple[grammar.Fault, ...]]:
        """Faults of the lines that this version of the grammar can't parse."""
        return types.MappingProxyType(self._unreadable)

    def add_rule(self, identity: str, text: str) -> None:
        """Adds the rule of a line that is not in the index yet.

        Args:
            identity: Kind and subject under which the line was accepted.
            text: The line.
        """
        parsed = grammar.parse_line(text)
        faults = parsed.swap().value_or(())
        if not faults and parsed.unwrap().identity != identity:
            faults = (_identity_mismatch(parsed.unwrap()),)
        if faults:
            self._unreadable[identity] = faults
            return
        rule = parsed.unwrap().rule
        self._rules[identity] = rule
        self._by_kind.setdefault(type(rule), {})[identity] = rule
        self._workspaces_by_key = None

    def remove_rule(self, identity: str) -> None:
        """Removes a rule, or the faults of its unreadable line."""
        self._unreadable.pop(identity, None)
        rule = self._rules.pop(identity, None)
        if rule is not None:
            del self._by_kind[type(rule)][identity]
            self._workspaces_by_key = None

    def _rules_of(self, cls: type[_R]) -> tuple[_R, ...]:
        # Sorted, because the dict order depends on the history of edits.
        by_identity = self._by_kind.get(cls, {})
        return tuple(by_identity[identity] for identity in sorted(by_identity))

    def bound_for(self, workspace: str) -> rules.LatencyBoundRule | None:
        """Returns the bound of a workspace, or the default bound."""
        specific = self._rules.get(f"bound workspace={workspace}")
        return specific or self._rules.get(f"bound workspace={rules.ANY}")

    def model(self, name: str) -> rules.ModelRule | None:
        """Returns the model of that name, or None."""
        return self._rules.get(f"model name={name}")

    def models(self) -> tuple[rules.ModelRule, ...]:
        """Returns every model."""
        return self._rules_of(rules.ModelRule)

    def placements(self, model: str) -> tuple[rules.PlacementRule, ...]:
        """Returns the placement rules of a model, ordered by first layer."""
        places = [
            p for p in self._rules_of(rules.PlacementRule) if p.model == model
        ]
        return tuple(
            sorted(places, key=lambda p: (p.first_layer, p.last_layer))
        )

    def workspace_by_key(self, sha256_hex: str) -> rules.WorkspaceRule | None:
        """Returns the workspace whose bearer key has that digest, or None."""
        if self._workspaces_by_key is None:
            self._workspaces_by_key = {
                w.key_sha256: w for w in self.workspaces()
            }
        return self._workspaces_by_key.get(sha256_hex)

    def workspace(self, name: str) -> rules.WorkspaceRule | None:
        """Returns the workspace of that name, or None."""
        return self._rules.get(f"workspace name={name}")

    def workspaces(self) -> tuple[rules.WorkspaceRule, ...]:
        """Returns every workspace."""
        return self._rules_of(rules.WorkspaceRule)

    def service(self, name: str) -> rules.ServiceRule | None:
        """Returns the plain service of that name, or None."""
        return self._rules.get(f"service name={name}")

    def services(self) -> tuple[rules.ServiceRule, ...]:
        """Returns every plain service."""
        return self._rules_of(rules.ServiceRule)

    def is_draining(self, host: str) -> bool:
        """Whether the host is draining: its backend servers get no new work."""
        return f"drain host={host}" in self._rules


def _identity_mismatch(line: grammar.Line) -> grammar.Fault:
    return grammar.Fault(
        line=1,
        column=1,
        message="the record names another rule",
        expected=repr(line.identity),
    )
