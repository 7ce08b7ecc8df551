import json
import subprocess
import sys

import pytest

_FORBIDDEN_IMPORTS = (
    "dotterelgrade_agent",
    "dotterelgrade_entry",
    "dotterelgrade_standins",
    "hypothesis",
    "matplotlib",
    "numpy",
    "openai",
    "pytest",
)


def _program(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "dotterelgrade_platform", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_a_front_imports_no_other_programs_or_test_tools():
    code = (
        "import sys, json, dotterelgrade_platform.__main__;"
        "import dotterelgrade_platform.front_program;"
        "print(json.dumps(sorted(sys.modules)))"
    )
    out = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in json.loads(out.stdout)}
    assert not loaded & set(_FORBIDDEN_IMPORTS)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--help"], 0),
        (["check", "--settings", "/nowhere"], 1),
        (["serve", "--settings", "/nowhere"], 1),
        (["explain"], 2),
        (["fly"], 2),
    ],
)
def test_exit_codes(arguments, code):
    assert _program(*arguments).returncode == code


def test_explain_prints_the_decisions_on_one_request(tmp_path):
    log = tmp_path / "fronts.log"
    log.write_text(
        '  1.2 front-1 {"event": "refused", "request_id": "r1", "chains": 0}\n'
        "no json at all r1\n"
        '{"event": "refused", "request_id": "r2", "chains": 4}\n'
        '{"event": "request_ended", "request_id": "r1", "reason": "late"}\n'
    )
    done = _program("explain", "r1", str(log))
    assert done.returncode == 0
    first, second = done.stdout.splitlines()
    assert "refused" in first
    assert "chains=0" in first
    assert "reason=late" in second
    assert _program("explain", "r9", str(log)).returncode == 1
