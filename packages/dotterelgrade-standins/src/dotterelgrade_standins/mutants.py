"""Mutation checks: each promise is broken in one place, and a check finds it.

A mutant is one replaced text in a copy of one package, put first on the import
path of a process of its own, which runs a check of CI. The check must fail.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time

from cleo.commands import command as command_lib
from cleo.helpers import option

from dotterelgrade_standins import commands
from dotterelgrade_standins import connection_mutants
from dotterelgrade_standins import entry_mutants
from dotterelgrade_standins import front_mutants
from dotterelgrade_standins import mutant as mutant_lib
from dotterelgrade_standins import record_mutants
from dotterelgrade_standins import stream_mutants

_TIMEOUT_S = 240.0
_FAILURE = re.compile(r"^\s*\w*(Error|Failure|Exception)\b")
_SOAK = ("soak", "--seed", "1", "--minutes", "0")
_ROOT = pathlib.Path(__file__).parents[4]
ALL = (
    *entry_mutants.MUTANTS,
    *connection_mutants.MUTANTS,
    *front_mutants.MUTANTS,
    *stream_mutants.MUTANTS,
    *record_mutants.MUTANTS,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What came of one mutant.

    Attributes:
        mutant: The mutant.
        is_found: Whether the check failed, as it must.
        reason: The failure, in one line, or why there is none.
        spent_s: Duration of the check, s.
    """

    mutant: mutant_lib.Mutant
    is_found: bool
    reason: str
    spent_s: float


def run(mutant: mutant_lib.Mutant) -> Verdict:
    """Breaks a promise in a copy and runs the check that must find it.

    Args:
        mutant: What to break.

    Returns:
        Whether the check found it.
    """
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        try:
            _write_copy(mutant, pathlib.Path(folder))
        except ValueError as error:
            return Verdict(
                mutant=mutant, is_found=False, reason=str(error), spent_s=0.0
            )
        is_found, reason = _check(mutant, folder)
    return Verdict(
        mutant=mutant,
        is_found=is_found,
        reason=reason,
        spent_s=time.monotonic() - started,
    )


def _write_copy(mutant: mutant_lib.Mutant, folder: pathlib.Path) -> None:
    package, _, name = mutant.module.partition(".")
    source = pathlib.Path(__import__(package).__file__).parent
    shutil.copytree(
        source, folder / package, ignore=shutil.ignore_patterns("__pycache__")
    )
    target = folder / package / f"{name}.py"
    text = target.read_text(encoding="utf-8")
    for old, new in ((mutant.old, mutant.new), *mutant.also):
        count = text.count(old)
        if count != 1:
            raise ValueError(f"the text to replace stands there {count} times")
        text = text.replace(old, new)
    target.write_text(text, encoding="utf-8")


def _check(mutant: mutant_lib.Mutant, folder: str) -> tuple[bool, str]:
    try:
        done = subprocess.run(
            [sys.executable, "-m", *_arguments(mutant.check)],
            cwd=_ROOT,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False, f"no verdict within {_TIMEOUT_S:.0f} s"
    if done.returncode == 0:
        return False, "the check passed"
    return True, _reason(done.stdout + done.stderr)


def _arguments(check: str) -> list[str]:
    if check.endswith(".py"):
        return ["pytest", "-x", check]
    if check.startswith(mutant_lib.SOAK):
        only = check.removeprefix(mutant_lib.SOAK)
        return ["dotterelgrade_standins", *_SOAK, "--only", only]
    command = ["fuzz", "--check", "--first", "--only", check]
    return ["dotterelgrade_standins", *command]


def _reason(output: str) -> str:
    lines = [line.strip(" |E") for line in output.splitlines()]
    told = [line for line in lines if line.startswith("AssertionError: ")]
    found = [line for line in lines if _FAILURE.search(line)]
    text = (told or found or [line for line in lines if line] or [""])[0]
    return text.removeprefix("AssertionError: ").replace("|", "/")[:90]


@commands.register
class MutantsCommand(command_lib.Command):
    """Runs every mutant and prints the table of docs/PROOF.md."""

    name = "mutants"
    description = "Breaks one promise at a time and shows what finds it."
    options = [
        option("only", description="Mutant to run.", flag=False, multiple=True),
        option("jobs", description="Mutants run at once.", flag=False),
    ]

    def handle(self) -> int:
        """Runs the mutants.

        Returns:
            0 when every mutant was found, 1 otherwise.
        """
        names = self.option("only")
        chosen = [mutant for mutant in ALL if not names or mutant.name in names]
        jobs = int(self.option("jobs") or 3)
        # Tests of one file use fixed addresses, so they run one at a time.
        tests = [mutant for mutant in chosen if mutant.check.endswith(".py")]
        fuzzed = [mutant for mutant in chosen if mutant not in tests]
        with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
            verdicts = [run(mutant) for mutant in tests]
            verdicts += pool.map(run, fuzzed)
        self.line("| mutant | promise | check | found | seen | time, s |")
        self.line("|---|---|---|---|---|---|")
        for verdict in verdicts:
            self.line(_row(verdict))
        missed = sum(not verdict.is_found for verdict in verdicts)
        self.line(f"mutants: {len(verdicts) - missed} found, {missed} missed")
        return 1 if missed else 0


def _row(verdict: Verdict) -> str:
    mutant = verdict.mutant
    found = "yes" if verdict.is_found else "NO"
    check = pathlib.Path(mutant.check).stem
    return (
        f"| {mutant.name} | {mutant.promise} | {check} | {found} | "
        f"{verdict.reason} | {verdict.spent_s:.0f} |"
    )
