"""The operators' commands for the contract: check, apply, show and log."""

import getpass
import pathlib
from typing import Any, ClassVar

from cleo import exceptions
from cleo import helpers
from returns import pipeline
from returns import result

from dotterelgrade import console
from dotterelgrade import contract as contract_lib
from dotterelgrade import contract_checks
from dotterelgrade import contract_records
from dotterelgrade import errors
from dotterelgrade import grammar
from dotterelgrade import host_list
from dotterelgrade import log_client
from dotterelgrade import settings as settings_lib
from dotterelgrade import settings_options
from dotterelgrade_entry import contract_session
from dotterelgrade_entry import in_force

MAX_FILE_BYTES = 4 * 1024 * 1024

_Faults = tuple[grammar.Fault, ...]
_FILE = helpers.argument("file", "The contract file.")


def read_file(
    path: str,
) -> result.Result[tuple[grammar.Line, ...], errors.Error | _Faults]:
    """Reads and checks a contract file.

    Args:
        path: The file.

    Returns:
        The lines, every fault in them, or why the file can't be read.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        if len(data) > MAX_FILE_BYTES:
            raise ValueError(f"expected at most {MAX_FILE_BYTES} bytes")
        text = data.decode("utf-8")
    except (OSError, ValueError) as error:
        return result.Failure(
            errors.Error(
                kind=errors.ErrorKind.CONTRACT_INVALID,
                message=f"cannot read {path}: {error}",
            )
        )
    parsed = grammar.parse(text)
    if not pipeline.is_successful(parsed):
        return result.Failure(parsed.failure())
    faults = contract_checks.check(parsed.unwrap())
    return result.Failure(faults) if faults else parsed


def _fault_report(path: str, faults: _Faults) -> console.CommandResult:
    return console.CommandResult(
        text="\n".join(f"{path}: {fault}" for fault in faults),
        data={
            "file": path,
            "faults": [
                {
                    "line": fault.line,
                    "column": fault.column,
                    "message": fault.message,
                    "expected": fault.expected,
                }
                for fault in faults
            ],
        },
        refused=True,
    )


class _ContractCommand(console.OperatorCommand):
    """A command that may read a contract file or follow the log."""

    def _lines(
        self,
    ) -> result.Result[tuple[grammar.Line, ...], errors.Error | _Faults]:
        return read_file(self.argument("file"))

    def _report_failure(
        self, failure: errors.Error | _Faults
    ) -> result.Result[console.CommandResult, errors.Error]:
        if isinstance(failure, errors.Error):
            return result.Failure(failure)
        return result.Success(_fault_report(self.argument("file"), failure))

    def _session(
        self,
    ) -> result.Result[contract_session.ContractSession, errors.Error]:
        return self._platform().bind(_open_session)

    def _platform(
        self,
    ) -> result.Result[settings_lib.PlatformSettings, errors.Error]:
        return settings_options.read_platform_settings(self.option("settings"))


def _open_session(
    platform: settings_lib.PlatformSettings,
) -> result.Result[contract_session.ContractSession, errors.Error]:
    session = contract_session.ContractSession(log_client.LogClient(platform))
    return session.catch_up().map(lambda _: session)


class CheckCommand(_ContractCommand):
    """Checks a contract file."""

    name = "contract check"
    description = "Check a contract file and list every fault."
    arguments: ClassVar[list[Any]] = [_FILE]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Checks the file without reading the log."""
        lines = self._lines()
        if not pipeline.is_successful(lines):
            return self._report_failure(lines.failure())
        count = len(lines.unwrap())
        return result.Success(
            console.CommandResult(
                text=f"{self.argument('file')}: {count} rules, no faults",
                data={"file": self.argument("file"), "rules": count},
            )
        )


class _PublishCommand(_ContractCommand):
    """A command that makes a file the contract."""

    arguments: ClassVar[list[Any]] = [_FILE]
    options: ClassVar[list[Any]] = [
        *console.OperatorCommand.options,
        settings_options.settings_option(),
        helpers.option("author", "a", "Who asks for it.", flag=False),
        helpers.option(
            "wait",
            "w",
            "Longest wait until it is in force everywhere, s.",
            flag=False,
            default=str(in_force.WAIT_S),
        ),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Publishes the file whole or not at all."""
        lines = self._lines()
        if not pipeline.is_successful(lines):
            return self._report_failure(lines.failure())
        wait_s = _to_seconds(self.option("wait"))
        author = self.option("author") or getpass.getuser()
        if len(author) > contract_records.MAX_AUTHOR_LENGTH:
            raise exceptions.CleoUserError("--author: expected a shorter name")
        return self._publish(lines.unwrap(), author).bind(
            lambda done: self._wait(done, wait_s)
        )

    def _publish(
        self, lines: tuple[grammar.Line, ...], author: str
    ) -> result.Result[contract_session.Accepted, errors.Error]:
        raise NotImplementedError

    def _wait(
        self, done: contract_session.Accepted, wait_s: float
    ) -> result.Result[console.CommandResult, errors.Error]:
        if done.changed:
            accepted = (
                f"accepted at offset {done.offset}: {len(done.changed)} lines"
            )
        else:
            accepted = f"nothing to change at offset {done.offset}"
        self.progress(accepted)
        data = {"offset": done.offset, "changed": list(done.changed)}
        hosts = self._platform().map(host_list.HostListClient)
        answer = hosts.bind(
            lambda h: in_force.wait(h, offset=done.offset, timeout_s=wait_s)
        )
        if not pipeline.is_successful(answer):
            return result.Success(
                console.CommandResult(
                    text=f"in force unknown: {answer.failure().message}",
                    data={**data, "in_force": None},
                    refused=True,
                )
            )
        return result.Success(_spread_report(answer.unwrap(), data))


def _spread_report(
    spread: in_force.Spread, data: dict[str, Any]
) -> console.CommandResult:
    total = len(spread.reached) + len(spread.missing)
    return console.CommandResult(
        text=str(spread),
        data={
            **data,
            "in_force": len(spread.reached),
            "of": total,
            "missing": list(spread.missing),
        },
        refused=not spread.is_everywhere,
    )


def _to_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if 0 <= seconds <= 3600:
        return seconds
    raise exceptions.CleoUserError(
        f"--wait {text!r}: expected seconds from 0 to 3600"
    )


class ApplyCommand(_PublishCommand):
    """Makes a file the contract, compared with the one in force."""

    name = "contract apply"
    description = (
        "Make a file the whole contract and wait until it is in force."
    )

    def _publish(
        self, lines: tuple[grammar.Line, ...], author: str
    ) -> result.Result[contract_session.Accepted, errors.Error]:
        return self._session().bind(lambda s: s.apply(lines, author=author))


class RestoreCommand(_PublishCommand):
    """Begins the contract anew after the log and every process lost it."""

    name = "contract restore"
    description = (
        "Begin the contract anew when neither the log nor a process holds it."
    )

    def _publish(
        self, lines: tuple[grammar.Line, ...], author: str
    ) -> result.Result[contract_session.Accepted, errors.Error]:
        return self._platform().bind(
            lambda platform: _restore(platform, lines, author)
        )


def _restore(
    platform: settings_lib.PlatformSettings,
    lines: tuple[grammar.Line, ...],
    author: str,
) -> result.Result[contract_session.Accepted, errors.Error]:
    session = contract_session.ContractSession(log_client.LogClient(platform))
    if not pipeline.is_successful(session.catch_up(timeout_s=0)):
        free = _check_none_holds(platform)
        if not pipeline.is_successful(free):
            return result.Failure(free.failure())
    return session.restore(lines, author=author)


def _check_none_holds(
    platform: settings_lib.PlatformSettings,
) -> result.Result[None, errors.Error]:
    """Refuses when a running process can still append a snapshot."""
    hosts = host_list.HostListClient(platform).read()
    if not pipeline.is_successful(hosts):
        return result.Failure(hosts.failure())
    for process in in_force.ask(hosts.unwrap()):
        if process.contract_offset > 0:
            return result.Failure(
                errors.Error(
                    kind=errors.ErrorKind.CONTRACT_CONFLICT,
                    message=(
                        f"the {process.role} on {process.host} holds the"
                        f" contract at offset {process.contract_offset};"
                        " it appends a snapshot, after which `contract apply`"
                        " works"
                    ),
                )
            )
    return result.Success(None)


class ShowCommand(_ContractCommand):
    """Prints the contract in force."""

    name = "contract show"
    description = "Print the contract as the log holds it."
    options: ClassVar[list[Any]] = [
        *console.OperatorCommand.options,
        settings_options.settings_option(),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Reads the log to its end and prints every line."""
        return self._session().map(lambda s: _show(s.contract))


def _show(contract: contract_lib.Contract) -> console.CommandResult:
    return console.CommandResult(
        text="\n".join(line.text for line in contract.lines),
        data={
            "offset": contract.offset,
            "digest": contract.digest,
            "lines": [
                {
                    "identity": line.identity,
                    "text": line.text,
                    "offset": line.offset,
                    "author": line.author,
                }
                for line in contract.lines
            ],
            "unreadable": {
                identity: [str(fault) for fault in faults]
                for identity, faults in contract.unreadable.items()
            },
        },
    )


class LogCommand(_ContractCommand):
    """Prints what each record of the log did."""

    name = "contract log"
    description = "Print the records that the log keeps and what each did."
    options: ClassVar[list[Any]] = [
        *console.OperatorCommand.options,
        settings_options.settings_option(),
    ]

    def perform(self) -> result.Result[console.CommandResult, errors.Error]:
        """Reads the log to its end and prints each verdict."""
        return self._session().map(lambda s: _history(s.history))


def _history(
    outcomes: tuple[contract_lib.Outcome, ...],
) -> console.CommandResult:
    rows = [
        [outcome.offset, outcome.kind, outcome.author, _details(outcome)]
        for outcome in outcomes
    ]
    return console.CommandResult(
        text=console.table(["OFFSET", "VERDICT", "AUTHOR", "LINES"], rows),
        data={
            "records": [
                {
                    "offset": outcome.offset,
                    "verdict": outcome.kind.value,
                    "id": outcome.id,
                    "author": outcome.author,
                    "lines": list(outcome.changed),
                    "reason": _details(outcome),
                }
                for outcome in outcomes
            ]
        },
    )


def _details(outcome: contract_lib.Outcome) -> str:
    if outcome.conflicts:
        return "; ".join(
            contract_session.describe_conflict(c) for c in outcome.conflicts
        )
    return outcome.reason or ", ".join(outcome.changed)
