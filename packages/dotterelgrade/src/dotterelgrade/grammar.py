"""The contract's text: one rule a line, each with who asked for it and why.

A line is `KIND key=value ... # WHO: why`. Blank lines and lines that hold only
a comment are skipped.
"""

from collections.abc import Iterator
import dataclasses
import re
from typing import Any

from returns import result

from dotterelgrade import rules

MAX_LINE_LENGTH = 2_000
MAX_LINES = 20_000
_WORD = re.compile(r"\S+")
_COMMENT = re.compile(r"#\s*([^\s:#][^:#]{0,63}?)\s*:\s*(\S.*)")
_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f\x85\u2028\u2029]")
_EXPECTED_COMMENT = "# WHO: why, naming who asked for the rule"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Line:
    """One checked rule with its text.

    Attributes:
        identity: Kind and subject of the rule.
        text: The line without surrounding blanks.
        rule: The checked rule.
        who: The person, desk or team that asked for it.
        why: The reason given.
        number: Number of the line in its file, from 1.
    """

    identity: str
    text: str
    rule: rules.Rule
    who: str
    why: str
    number: int = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One reason why a text is refused.

    Attributes:
        line: Number of the line, from 1.
        column: Number of the character, from 1.
        message: What is wrong.
        expected: What should stand there.
    """

    line: int
    column: int
    message: str
    expected: str

    def __str__(self) -> str:
        """Returns the fault as one line for a person."""
        return (
            f"line {self.line}, column {self.column}: {self.message}; "
            f"expected {self.expected}"
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Word:
    text: str
    column: int


class _LineReader:
    """Reads one line and collects every fault in it."""

    def __init__(self, number: int, raw: str) -> None:
        self._number = number
        self._raw = raw
        self._faults: list[Fault] = []

    @property
    def faults(self) -> list[Fault]:
        return self._faults

    def _fault(self, column: int, message: str, expected: str) -> None:
        self._faults.append(
            Fault(
                line=self._number,
                column=column,
                message=message,
                expected=expected,
            )
        )

    def read(self) -> Line | None:
        """Returns the checked line, or None when it has faults."""
        if not self._is_plain():
            return None
        body, hash_sign, _ = self._raw.partition("#")
        who, why = self._comment(len(body), bool(hash_sign))
        words = [
            _Word(text=match[0], column=match.start() + 1)
            for match in _WORD.finditer(body)
        ]
        rule = self._rule(words[0], words[1:])
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

    def _is_plain(self) -> bool:
        if len(self._raw) > MAX_LINE_LENGTH:
            self._fault(
                MAX_LINE_LENGTH + 1,
                f"the line has {len(self._raw)} characters",
                f"at most {MAX_LINE_LENGTH}",
            )
        control = _CONTROL.search(self._raw)
        if control is not None:
            self._fault(
                control.start() + 1,
                f"control character {control[0]!r}",
                "printable text",
            )
        return not self._faults

    def _comment(self, start: int, present: bool) -> tuple[str, str]:
        match = _COMMENT.fullmatch(self._raw[start:].rstrip())
        if match is not None:
            return match[1], match[2]
        message = "the comment names no one" if present else "no comment"
        self._fault(start + 1, message, _EXPECTED_COMMENT)
        return "", ""

    def _rule(self, kind: _Word, words: list[_Word]) -> rules.Rule | None:
        known = rules.kinds()
        cls = known.get(kind.text)
        if cls is None:
            self._fault(
                kind.column,
                f"unknown kind {kind.text!r}",
                "one of " + ", ".join(known),
            )
            return None
        keys = {key.name: key for key in rules.keys(cls)}
        given = self._values(words, keys)
        for key in keys.values():
            if key.required and key.name not in given:
                self._fault(
                    kind.column,
                    f"{kind.text} lacks {key.name}",
                    f"{key.name}=, {key.reader.expected}",
                )
        if self._faults:
            return None
        return cls(**_fields(given, keys))

    def _values(
        self, words: list[_Word], keys: dict[str, rules.Key]
    ) -> dict[str, Any]:
        given: dict[str, Any] = {}
        for word in words:
            name, equals, text = word.text.partition("=")
            key = keys.get(name)
            if not equals or key is None:
                self._fault(
                    word.column,
                    f"unknown word {word.text!r}",
                    "one of " + ", ".join(f"{name}=" for name in keys),
                )
            elif name in given:
                self._fault(word.column, f"{name} again", f"{name}= once")
            else:
                given[name] = self._value(key, text, word.column)
        return given

    def _value(self, key: rules.Key, text: str, column: int) -> Any:
        try:
            return key.reader.read(text)
        except ValueError:
            self._fault(
                column + len(key.name) + 1,
                f"{key.name} can't be {text!r}",
                key.reader.expected,
            )
            return None


def _fields(
    given: dict[str, Any], keys: dict[str, rules.Key]
) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, value in given.items():
        targets = keys[name].fields
        values = value if len(targets) > 1 else (value,)
        fields.update(zip(targets, values, strict=True))
    return fields


def _numbered(text: str) -> Iterator[tuple[int, str]]:
    for number, raw in enumerate(text.split("\n"), start=1):
        line = raw.removesuffix("\r")
        stripped = line.strip()
        if stripped and not stripped.startswith("#"):
            yield number, line


def parse(text: str) -> result.Result[tuple[Line, ...], tuple[Fault, ...]]:
    """Checks the text of a contract.

    Args:
        text: The lines, whole.

    Returns:
        The rules in the order of their lines, or every fault found.
    """
    lines: list[Line] = []
    faults: list[Fault] = []
    first_seen: dict[str, int] = {}
    for number, raw in _numbered(text.removeprefix("\ufeff")):
        if number > MAX_LINES:
            faults.append(_too_many(number))
            break
        reader = _LineReader(number, raw)
        line = reader.read()
        faults.extend(reader.faults)
        if line is None:
            continue
        if line.identity in first_seen:
            faults.append(_duplicate(number, line, first_seen))
            continue
        first_seen[line.identity] = number
        lines.append(line)
    if faults:
        return result.Failure(tuple(faults))
    return result.Success(tuple(lines))


def _too_many(number: int) -> Fault:
    return Fault(
        line=number,
        column=1,
        message="too many lines",
        expected=f"at most {MAX_LINES}",
    )


def _duplicate(number: int, line: Line, first_seen: dict[str, int]) -> Fault:
    return Fault(
        line=number,
        column=1,
        message=(
            f"{line.identity!r} again, first on line "
            f"{first_seen[line.identity]}"
        ),
        expected="each kind and subject once",
    )


def parse_line(text: str) -> result.Result[Line, tuple[Fault, ...]]:
    """Checks the text of a single rule.

    Args:
        text: One line without its line break.

    Returns:
        The rule, or every fault found.
    """
    if not text.strip() or text.lstrip().startswith("#"):
        return result.Failure(
            (Fault(line=1, column=1, message="no rule", expected="a rule"),)
        )
    reader = _LineReader(1, text)
    line = reader.read()
    if line is None:
        return result.Failure(tuple(reader.faults))
    return result.Success(line)


def is_framed(text: str, *, identity: str) -> bool:
    """Whether a text has the form that every version of the grammar keeps.

    The outcome of an edit depends on this alone, so that processes of
    different versions agree on it even when one of them can't read the rule.

    Args:
        text: Text of a rule.
        identity: The identity it claims.

    Returns:
        Whether it is one line of bounded length, begins with the kind, holds
        every word of the identity and ends in a comment that names someone.
    """
    if len(text) > MAX_LINE_LENGTH or _CONTROL.search(text):
        return False
    body, _, _ = text.partition("#")
    if _COMMENT.fullmatch(text[len(body) :].rstrip()) is None:
        return False
    words = body.split()
    wanted = identity.split()
    return (
        bool(wanted) and words[:1] == wanted[:1] and set(wanted) <= set(words)
    )
