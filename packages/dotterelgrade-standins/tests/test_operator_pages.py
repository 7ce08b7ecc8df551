import pathlib
import re

import pytest

from dotterelgrade import grammar
from dotterelgrade import settings as settings_lib
from dotterelgrade_agent import agent_settings
from dotterelgrade_entry import entry_settings

_ROOT = pathlib.Path(__file__).parents[3]
_SOURCES = [
    path
    for path in _ROOT.glob("packages/*/src/*/*.py")
    if path.parent.name != "dotterelgrade_standins"
]
_WATCHING = (_ROOT / "docs/operators/watching.md").read_text()
_NAMED = re.compile(
    r'(?:record|_record|_note|note)\(\s*(?:\w+,\s*)?"([a-z]+(?:_[a-z]+)*)"'
)
_LOGGED = re.compile(
    r'_LOG\.(?:info|warning|error|exception)\(\s*"([^"]+)"', re.MULTILINE
)
_METRIC = re.compile(r'\.(?:counter|gauge|latency)\(\s*f?"([a-z_]+)')


def _found(pattern):
    return sorted(
        {
            name
            for path in _SOURCES
            for name in pattern.findall(path.read_text())
        }
    )


@pytest.mark.parametrize("name", _found(_NAMED))
def test_page_explains_every_decision(name):
    assert f"`{name}`" in _WATCHING


@pytest.mark.parametrize("event", _found(_LOGGED))
def test_page_explains_every_log_event(event):
    assert f"`{event}`" in _WATCHING


@pytest.mark.parametrize("name", _found(_METRIC))
def test_page_explains_every_metric(name):
    assert f"`{name}" in _WATCHING


def test_something_was_found():
    assert len(_found(_NAMED)) > 20
    assert len(_found(_LOGGED)) > 5
    assert len(_found(_METRIC)) > 10


@pytest.mark.parametrize(
    ("name", "cls"),
    [
        ("entry.json", entry_settings.EntrySettings),
        ("agent.json", agent_settings.AgentSettings),
        ("agent-orders.json", agent_settings.AgentSettings),
    ],
)
def test_example_settings_are_valid(name, cls):
    settings_lib.load(_ROOT / "examples" / name, cls).unwrap()


@pytest.mark.parametrize("name", ["tabuleiro", "isimbi"])
def test_example_contracts_are_valid(name):
    text = (_ROOT / "examples" / f"{name}.contract").read_text()
    assert grammar.parse(text).unwrap()


@pytest.mark.parametrize(
    "page", sorted(_ROOT.glob("docs/**/*.md")), ids=lambda path: path.name
)
def test_links_between_pages_lead_somewhere(page):
    for target in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
        assert (page.parent / target).exists(), target


def test_every_design_note_is_in_the_index():
    index = (_ROOT / "docs/design/README.md").read_text()
    notes = {path.name for path in _ROOT.glob("docs/design/*.md")}
    missing = {name for name in notes if f"({name})" not in index}
    assert missing == {"README.md"}


def test_files_of_the_newcomers_map_exist():
    page = (_ROOT / "docs/ARCHITECTURE.md").read_text()
    sources = [
        *_ROOT.glob("packages/*/src/*/*.py"),
        *_ROOT.glob("platform/src/*/*.py"),
    ]
    known = {path.name for path in sources}
    named = set(re.findall(r"([a-z_]+\.py)", page))
    assert len(named) > 30
    assert named <= known
