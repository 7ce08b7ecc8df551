"""The rules in force, found by what they are about."""

from collections.abc import Mapping
import types
from typing import Any, TypeVar

from dotterelgrade import grammar
from dotterelgrade import rules

_R = TypeVar("_R")


class RuleIndex:
    """Rules by identity and kind; unreadable lines are kept apart."""

    def __init__(self) -> None:
        """Initializes an index without rules."""
        self._rules: dict[str, rules.Rule] = {}
        self._unreadable: dict[str, tuple[grammar.Fault, ...]] = {}
        self._by_kind: dict[type, dict[str, Any]] = {}
        self._by_key: dict[str, rules.WorkspaceRule] | None = None

    @property
    def unreadable(self) -> Mapping[str, tuple[grammar.Fault, ...]]:
        """Lines that this version of the grammar can't read, with why."""
        return types.MappingProxyType(self._unreadable)

    def add_rule(self, identity: str, text: str) -> None:
        """Adds the rule of a line that is not held yet.

        Args:
            identity: Kind and subject that the line was accepted under.
            text: The line.
        """
        parsed = grammar.parse_line(text)
        faults = parsed.swap().value_or(())
        if not faults and parsed.unwrap().identity != identity:
            faults = (_misnamed(parsed.unwrap()),)
        if faults:
            self._unreadable[identity] = faults
            return
        rule = parsed.unwrap().rule
        self._rules[identity] = rule
        self._by_kind.setdefault(type(rule), {})[identity] = rule
        self._by_key = None

    def drop_rule(self, identity: str) -> None:
        """Drops a rule, or what could not be read of it."""
        self._unreadable.pop(identity, None)
        rule = self._rules.pop(identity, None)
        if rule is not None:
            del self._by_kind[type(rule)][identity]
            self._by_key = None

    def _of(self, cls: type[_R]) -> tuple[_R, ...]:
        # Sorted, since the order of a dict depends on the way to this offset.
        held = self._by_kind.get(cls, {})
        return tuple(held[identity] for identity in sorted(held))

    def bound_for(self, workspace: str) -> rules.BoundRule | None:
        """Returns the bound of a workspace, or the one for all."""
        own = self._rules.get(f"bound workspace={workspace}")
        return own or self._rules.get(f"bound workspace={rules.ANY}")

    def model(self, name: str) -> rules.ModelRule | None:
        """Returns the model of that name, or None."""
        return self._rules.get(f"model name={name}")

    def models(self) -> tuple[rules.ModelRule, ...]:
        """Returns every model."""
        return self._of(rules.ModelRule)

    def places(self, model: str) -> tuple[rules.PlaceRule, ...]:
        """Returns where the layers of a model run, by first layer."""
        places = [p for p in self._of(rules.PlaceRule) if p.model == model]
        return tuple(
            sorted(places, key=lambda p: (p.first_layer, p.last_layer))
        )

    def workspace_by_key(self, sha256_hex: str) -> rules.WorkspaceRule | None:
        """Returns the workspace whose bearer key has that digest, or None."""
        if self._by_key is None:
            self._by_key = {w.key_sha256: w for w in self.workspaces()}
        return self._by_key.get(sha256_hex)

    def workspace(self, name: str) -> rules.WorkspaceRule | None:
        """Returns the workspace of that name, or None."""
        return self._rules.get(f"workspace name={name}")

    def workspaces(self) -> tuple[rules.WorkspaceRule, ...]:
        """Returns every workspace."""
        return self._of(rules.WorkspaceRule)

    def service(self, name: str) -> rules.ServiceRule | None:
        """Returns the plain service of that name, or None."""
        return self._rules.get(f"service name={name}")

    def services(self) -> tuple[rules.ServiceRule, ...]:
        """Returns every plain service."""
        return self._of(rules.ServiceRule)

    def is_draining(self, host: str) -> bool:
        """Whether the backend servers of a host get no new work."""
        return f"drain host={host}" in self._rules


def _misnamed(line: grammar.Line) -> grammar.Fault:
    return grammar.Fault(
        line=1,
        column=1,
        message="the record names another rule",
        expected=repr(line.identity),
    )
