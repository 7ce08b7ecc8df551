import json

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest
from returns import result

from dotterelgrade import console
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_agent import cli

SETTINGS = {
    "process": {
        "host": "127.30.251.1",
        "failure_domain": "recife-a",
        "shared_key": "k" * 16,
    },
    "platform": {
        "log_url": "http://127.30.251.2:1",
        "hosts_url": "http://127.30.251.2:1",
    },
    "backends": [{"name": "e", "kind": "engine", "url": "http://127.0.0.1:1"}],
}


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["--help"], console.EXIT_SUCCESS),
        (["bogus"], console.EXIT_USAGE),
        (["serve"], console.EXIT_USAGE),
        (["drain"], console.EXIT_USAGE),
        (["drain", "host:port"], console.EXIT_USAGE),
        (["drain", "127.30.251.9:17499"], console.EXIT_FAILURE),
        (["serve", "--settings", "/nowhere"], console.EXIT_FAILURE),
    ],
)
def test_exit_codes(arguments, code):
    assert cli.run(arguments) == code


def test_drain_asks_the_agent(fleet, capsys):
    target = fleet.engine_agent(0)
    process = target.settings.process
    address = f"{process.host}:{process.admin_port}"
    assert cli.run(["drain", address, "--json"]) == console.EXIT_SUCCESS
    assert "leaving" in json.loads(capsys.readouterr().out)["message"]
    assert target.departure.reason


@pytest.mark.parametrize(
    ("path", "value", "fault"),
    [
        (("backends",), [], "expected at least one"),
        (("backends", 0, "kind"), "cluster", 'expected "engine" or "service"'),
        (("backends", 0, "url"), "127.0.0.1", "expected a URL"),
        (("backends", 0, "service"), "order", "expected for a service"),
        (("backends", 0, "max_sequences"), 0, "expected a positive number"),
        (("backends", 0, "max_sequences"), "9", "expected a whole number"),
        (("report_busy_s",), -1, "expected a positive number"),
        (("spare",), 1, "unknown keys"),
    ],
)
def test_faults_in_settings_are_named(path, value, fault):
    changed = json.loads(json.dumps(SETTINGS))
    place = changed
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = value
    answer = settings_lib.structure(changed, agent_settings.AgentSettings)
    assert fault in answer.failure().message


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(sorted(SETTINGS)), inner)
        ),
    )
)
def test_any_json_is_checked(value):
    answer = settings_lib.structure(value, agent_settings.AgentSettings)
    assert isinstance(answer, result.Failure)
