"""Parses the contract text: one rule per line, with requester and reason.

A line is `KIND key=value ... # WHO: why`. Blank lines and lines with only a
comment are skipped.
"""

from collections.abc import Iterator
import dataclasses
import re
from typing import Any

from returns import result

from dotterelgrade import rules

MAX_LINE_LENGTH = 2_000
MAX_LINES = 20_000
_TOKEN_PATTERN = re.compile(r"\S+")
_COMMENT_PATTERN = re.compile(r"#\s*([^\s:#][^:#]{0,63}?)\s*:\s*(\S.*)")
_CONTROL_PATTERN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x85\u2028\u2029]")
_EXPECTED_COMMENT = "# WHO: why, naming the requester of the rule"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """A parsed rule with its text.

    Attributes:
        identity: Kind and subject of the rule.
        text: The line without surrounding whitespace.
        rule: The parsed rule.
        who: The person, desk or team that requested it.
        why: The reason for the rule.
        number: Line number in the file, from 1.
    """

    identity: str
    text: str
    rule: rules.Rule
    who: str
    why: str
    number: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A syntax error in the contract text.

    Attributes:
        line: Line number, from 1.
        column: Character number, from 1.
        message: Description of the error.
        expected: Description of valid text at this position.
    """

    line: int
    column: int
    message: str
    expected: str

    def __str__(self) -> str:
        """Formats the fault as one line."""
        return (
            f"line {self.line}, column {self.column}: {self.message}; "
            f"expected {self.expected}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Token:
    text: str
    column: int


class _LineParser:
    """Parses one line and collects its faults."""

    def __init__(self, number: int, raw: str) -> None:
        self._number = number
        self._raw = raw
        self._faults: list[Fault] = []

    @property
    def faults(self) -> list[Fault]:
        return self._faults

    def _add_fault(self, column: int, message: str, expected: str) -> None:
        self._faults.append(
            Fault(
                line=self._number,
                column=column,
                message=message,
                expected=expected,
            )
        )

    def parse(self) -> Line | None:
        """Returns the parsed line, or None if it has faults."""
        if not self._check_characters():
            return None
        body, hash_sign, _ = self._raw.partition("#")
        who, why = self._parse_comment(len(body), bool(hash_sign))
        tokens = [
            _Token(text=match[0], column=match.start() + 1)
            for match in _TOKEN_PATTERN.finditer(body)
        ]
        rule = self._parse_rule(tokens[0], tokens[1:])
        if self._faults or rule is None:
            return None
        return Line(
            identity=rule.identity,
            text=self._raw.strip(),
            rule=rule,
            who=who,
            why=why,
            number=self._number,
        )

    def _check_characters(self) -> bool:
        if len(self._raw) > MAX_LINE_LENGTH:
            self._add_fault(
                MAX_LINE_LENGTH + 1,
                f"the line has {len(self._raw)} characters",
                f"at most {MAX_LINE_LENGTH}",
            )
        control = _CONTROL_PATTERN.search(self._raw)
        if control is not None:
            self._add_fault(
                control.start() + 1,
                f"control character {control[0]!r}",
                "printable text",
            )
        return not self._faults

    def _parse_comment(self, start: int, present: bool) -> tuple[str, str]:
        match = _COMMENT_PATTERN.fullmatch(self._raw[start:].rstrip())
        if match is not None:
            return match[1], match[2]
        message = "the comment names no requester" if present else "no comment"
        self._add_fault(start + 1, message, _EXPECTED_COMMENT)
        return "", ""

    def _parse_rule(
        self, kind: _Token, tokens: list[_Token]
    ) -> rules.Rule | None:
        rule_types = rules.kinds()
        cls = rule_types.get(kind.text)
        if cls is None:
            self._add_fault(
                kind.column,
                f"unknown kind {kind.text!r}",
                "one of " + ", ".join(rule_types),
            )
            return None
        keys = {key.name: key for key in rules.keys(cls)}
        given = self._parse_values(tokens, keys)
        for key in keys.values():
            if key.required and key.name not in given:
                self._add_fault(
                    kind.column,
                    f"{kind.text} lacks {key.name}",
                    f"{key.name}=, {key.reader.expected}",
                )
        if self._faults:
            return None
        return cls(**_to_fields(given, keys))

    def _parse_values(
        self, tokens: list[_Token], keys: dict[str, rules.Key]
    ) -> dict[str, Any]:
        given: dict[str, Any] = {}
        for token in tokens:
            name, equals_sign, text = token.text.partition("=")
            key = keys.get(name)
            if not equals_sign or key is None:
                self._add_fault(
                    token.column,
                    f"unknown key {token.text!r}",
                    "one of " + ", ".join(f"{name}=" for name in keys),
                )
            elif name in given:
                self._add_fault(
                    token.column, f"duplicate {name}", f"{name}= once"
                )
            else:
                given[name] = self._parse_value(key, text, token.column)
        return given

    def _parse_value(self, key: rules.Key, text: str, column: int) -> Any:
        try:
            return key.reader.read(text)
        except ValueError:
            self._add_fault(
                column + len(key.name) + 1,
                f"invalid {key.name}: {text!r}",
                key.reader.expected,
            )
            return None


def _to_fields(
    given: dict[str, Any], keys: dict[str, rules.Key]
) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in given.items():
        targets = keys[name].fields
        values = value if len(targets) > 1 else (value,)
        fields.update(zip(targets, values, strict=True))
    return fields


def _numbered_rules(text: str) -> Iterator[tuple[int, str]]:
    for number, raw in enumerate(text.split("\n"), start=1):
        line = raw.removesuffix("\r")
        stripped = line.strip()
        if stripped and not stripped.startswith("#"):
            yield number, line


def parse(text: str) -> result.Result[tuple[Line, ...], tuple[Fault, ...]]:
    """Parses the text of a contract.

    Args:
        text: The whole text.

    Returns:
        The parsed lines in order, or all faults found.
    """
    lines: list[Line] = []
    faults: list[Fault] = []
    first_seen: dict[str, int] = {}
    for number, raw in _numbered_rules(text.removeprefix("\ufeff")):
        if number > MAX_LINES:
            faults.append(_too_many_lines_fault(number))
            break
        parser = _LineParser(number, raw)
        line = parser.parse()
        faults.extend(parser.faults)
        if line is None:
            continue
        if line.identity in first_seen:
            faults.append(_duplicate_fault(number, line, first_seen))
            continue
        first_seen[line.identity] = number
        lines.append(line)
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(tuple(lines))


def _too_many_lines_fault(number: int) -> Fault:
    return Fault(
        line=number,
        column=1,
        message="too many lines",
        expected=f"at most {MAX_LINES}",
    )


def _duplicate_fault(
    number: int, line: Line, first_seen: dict[str, int]
) -> Fault:
    return Fault(
        line=number,
        column=1,
        message=(
            f"duplicate {line.identity!r}, first on line "
            f"{first_seen[line.identity]}"
        ),
        expected="one rule per kind and subject",
    )


def parse_line(text: str) -> result.Result[Line, tuple[Fault, ...]]:
    """Parses a single rule.

    Args:
        text: One line without its line break.

    Returns:
        The parsed line, or all faults found.
    """
    if not text.strip() or text.lstrip().startswith("#"):
        return result.Failure(
            (Fault(line=1, column=1, message="no rule", expected="a rule"),)
        )
    parser = _LineParser(1, text)
    line = parser.parse()
    if line is None:
        return result.Failure(tuple(parser.faults))
    return result.Success(line)


def is_well_formed(text: str, *, identity: str) -> bool:
    """Whether a text has the form common to all versions of the grammar.

    The outcome of an edit depends on this check, not on parsing the rule, so
    that processes of different versions agree even if one can't parse it.

    Args:
        text: The text of a rule.
        identity: The rule's declared kind and subject.

    Returns:
        Whether it is one line of bounded length that begins with the kind,
        contains every word of the identity and ends in a comment that names the
        requester.
    """
    if len(text) > MAX_LINE_LENGTH or _CONTROL_PATTERN.search(text):
        return False
    body, _, _ = text.partition("#")
    if _COMMENT_PATTERN.fullmatch(text[len(body) :].rstrip()) is None:
        return False
    words = body.split()
    required = identity.split()
    return (
        bool(required)
        and words[:1] == required[:1]
        and set(required) <= set(words)
    )
