"""Checks of a whole contract that no single line can fail."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from dotterelgrade import grammar
from dotterelgrade import rules

Check = Callable[["Lines"], Iterator[grammar.Fault]]

_R = TypeVar("_R")
_CHECKS: list[Check] = []


class Lines:
    """The checked lines of a contract, by the class of their rule."""

    def __init__(self, lines: Iterable[grammar.Line]) -> None:
        """Initializes the index.

        Args:
            lines: Lines that passed the grammar.
        """
        self._by_kind: dict[type, list[grammar.Line]] = {}
        for line in lines:
            self._by_kind.setdefault(type(line.rule), []).append(line)

    def of(self, cls: type[_R]) -> list[tuple[grammar.Line, _R]]:
        """Returns the lines of one kind with their rules."""
        return [(line, line.rule) for line in self._by_kind.get(cls, [])]


def _check(function: Check) -> Check:
    """Registers a check."""
    _CHECKS.append(function)
    return function


def check(lines: Iterable[grammar.Line]) -> tuple[grammar.Fault, ...]:
    """Checks the rules of a contract against each other.

    Args:
        lines: Lines that passed the grammar.

    Returns:
        Every fault, by line.
    """
    index = Lines(lines)
    faults = [fault for each in _CHECKS for fault in each(index)]
    return tuple(sorted(faults, key=lambda fault: fault.line))


def _fault(line: grammar.Line, message: str, expected: str) -> grammar.Fault:
    return grammar.Fault(
        line=line.number, column=1, message=message, expected=expected
    )


def _names(names: Iterable[str]) -> str:
    return "one of " + (
        ", ".join(sorted(names)) or "none, there is no such rule"
    )


@_check
def _places_name_models(lines: Lines) -> Iterator[grammar.Fault]:
    models = {rule.name: rule for _, rule in lines.of(rules.ModelRule)}
    for line, place in lines.of(rules.PlaceRule):
        model = models.get(place.model)
        if model is None:
            yield _fault(
                line, f"no model is named {place.model!r}", _names(models)
            )
        elif place.last_layer >= model.layers:
            yield _fault(
                line,
                f"{place.model} has no layer {place.last_layer}",
                f"layers up to {model.layers - 1}",
            )


@_check
def _models_are_covered(lines: Lines) -> Iterator[grammar.Fault]:
    places = [rule for _, rule in lines.of(rules.PlaceRule)]
    for line, model in lines.of(rules.ModelRule):
        ranges = [
            (place.first_layer, place.last_layer)
            for place in places
            if place.model == model.name
        ]
        reached = reachable_layer(ranges)
        if reached < model.layers:
            yield _fault(
                line,
                f"no chain of place rules runs layer {reached} of {model.name}",
                f"a place whose layers begin at {reached}",
            )


def reachable_layer(ranges: Sequence[tuple[int, int]]) -> int:
    """Returns the first layer that no chain of ranges from layer 0 runs.

    Args:
        ranges: First and last layer of each range, inclusive.
    """
    reached = {0}
    for first, last in sorted(ranges):
        if first in reached:
            reached.add(last + 1)
    return max(reached)


@_check
def _keys_are_distinct(lines: Lines) -> Iterator[grammar.Fault]:
    owners: dict[str, grammar.Line] = {}
    for line, workspace in lines.of(rules.WorkspaceRule):
        owner = owners.setdefault(workspace.key_sha256, line)
        if owner is not line:
            yield _fault(
                line,
                f"the same key as {owner.identity!r} on line {owner.number}",
                "a key of its own for each workspace",
            )


@_check
def _bounds_name_workspaces(lines: Lines) -> Iterator[grammar.Fault]:
    names = {rule.name for _, rule in lines.of(rules.WorkspaceRule)}
    for line, bound in lines.of(rules.BoundRule):
        if bound.workspace not in {*names, rules.ANY}:
            yield _fault(
                line,
                f"no workspace is named {bound.workspace!r}",
                _names({*names, rules.ANY}),
            )
