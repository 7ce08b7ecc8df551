"""Consistency checks across the lines of a contract."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from dotterelgrade import grammar
from dotterelgrade import rules

Check = Callable[["LineIndex"], Iterator[grammar.Fault]]

_R = TypeVar("_R")
_CHECKS: list[Check] = []


class LineIndex:
    """Index of the valid lines of a contract by rule class."""

    def __init__(self, lines: Iterable[grammar.Line]) -> None:
        """Initializes the index.

        Args:
            lines: Lines that conform to the grammar.
        """
        self._by_kind: dict[type, list[grammar.Line]] = {}
        for line in lines:
            self._by_kind.setdefault(type(line.rule), []).append(line)

    def with_rule(self, cls: type[_R]) -> list[tuple[grammar.Line, _R]]:
        """Returns the lines of one rule class with their rules."""
        return [(line, line.rule) for line in self._by_kind.get(cls, [])]


def _register(function: Check) -> Check:
    """Registers a check."""
    _CHECKS.append(function)
    return function


def check(lines: Iterable[grammar.Line]) -> tuple[grammar.Fault, ...]:
    """Checks the rules of a contract for mutual consistency.

    Args:
        lines: Lines that conform to the grammar.

    Returns:
        All faults, sorted by line.
    """
    index = LineIndex(lines)
    faults = [fault for run_check in _CHECKS for fault in run_check(index)]
    return tuple(sorted(faults, key=lambda fault: fault.line))


def _fault(line: grammar.Line, message: str, expected: str) -> grammar.Fault:
    return grammar.Fault(
        line=line.number, column=1, message=message, expected=expected
    )


def _one_of(names: Iterable[str]) -> str:
    return "one of " + (
        ", ".join(sorted(names)) or "none, no such rule is defined"
    )


@_register
def _check_place_models(lines: LineIndex) -> Iterator[grammar.Fault]:
    models = {rule.name: rule for _, rule in lines.with_rule(rules.ModelRule)}
    for line, place in lines.with_rule(rules.PlacementRule):
        model = models.get(place.model)
        if model is None:
            yield _fault(
                line, f"no model is named {place.model!r}", _one_of(models)
            )
        elif place.last_layer >= model.layers:
            yield _fault(
                line,
                f"{place.model} has no layer {place.last_layer}",
                f"layers up to {model.layers - 1}",
            )


@_register
def _check_layer_coverage(lines: LineIndex) -> Iterator[grammar.Fault]:
    places = [rule for _, rule in lines.with_rule(rules.PlacementRule)]
    for line, model in lines.with_rule(rules.ModelRule):
        ranges = [
            (place.first_layer, place.last_layer)
            for place in places
            if place.model == model.name
        ]
        uncovered = first_uncovered_layer(ranges)
        if uncovered < model.layers:
            yield _fault(
                line,
                f"no chain of place rules runs layer {uncovered}"
                f" of {model.name}",
                f"a place whose layers begin at {uncovered}",
            )


def first_uncovered_layer(ranges: Sequence[tuple[int, int]]) -> int:
    """Returns the first layer that no chain of ranges from layer 0 covers.

    Args:
        ranges: First and last layer of each range, inclusive.
    """
    reachable = {0}
    for first, last in sorted(ranges):
        if first in reachable:
            reachable.add(last + 1)
    return max(reachable)


@_register
def _check_unique_keys(lines: LineIndex) -> Iterator[grammar.Fault]:
    line_by_key: dict[str, grammar.Line] = {}
    for line, workspace in lines.with_rule(rules.WorkspaceRule):
        first_line = line_by_key.setdefault(workspace.key_sha256, line)
        if first_line is not line:
            yield _fault(
                line,
                f"the same key as {first_line.identity!r}"
                f" on line {first_line.number}",
                "a key of its own for each workspace",
            )


@_register
def _check_bound_workspaces(lines: LineIndex) -> Iterator[grammar.Fault]:
    names = {rule.name for _, rule in lines.with_rule(rules.WorkspaceRule)}
    for line, bound in lines.with_rule(rules.LatencyBoundRule):
        if bound.workspace not in {*names, rules.ANY}:
            yield _fault(
                line,
                f"no workspace is named {bound.workspace!r}",
                _one_of({*names, rules.ANY}),
            )
