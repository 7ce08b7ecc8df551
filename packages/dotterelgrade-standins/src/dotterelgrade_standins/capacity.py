"""The subcommand that computes docs/CAPACITY.md from the measured slopes."""

from collections.abc import Iterable, Iterator
import dataclasses
import pathlib
from typing import ClassVar

from cleo import helpers
from cleo.commands import command as command_lib

from dotterelgrade_standins import capacity_future
from dotterelgrade_standins import capacity_model
from dotterelgrade_standins import commands
from dotterelgrade_standins import platform_load
from dotterelgrade_standins import slope_fit

SLOPES = pathlib.Path("benchmarks/slopes.json")
SWEEPS = pathlib.Path("benchmarks/sweeps.json")
PAGE = pathlib.Path("docs/CAPACITY.md")
BUDGET_CORE_PERCENT = 4.8
BUDGET_MB = 128.0
BUDGET_KB_PER_S = 3.0

_INTRO = """# Capacity

What each role costs at the size to design for, next to what a node may spend
on control: {core} % of a core, {memory:g} MB and {rate:g} KB a second. Every
number below is computed from the slopes in `benchmarks/slopes.json` by `make
capacity`; `python -m dotterelgrade_standins slopes` measures them anew. The
defaults of the settings (subset, intervals) are read from the code. Written
{note}

KB and MB are powers of ten. Bytes are those of the frames and bodies, without
TCP/IP headers. Processor time is of the machine that measured, under Python
3.11, with other work running on it.
"""
_NOTE = (
    "by the program: change the model in `capacity_model.py`, not this page."
)
_UNKNOWN = """## What is not measured

- Growth beyond 63 agents per entry and 6 entries per agent: the lines are
  extended 12 to 70 times.
- Network stacks of real hosts, TCP/IP headers, and links between regions.
- The log service, host list and weight store of the platform; their stand-ins
  only show how often they are called.
- Prompt lengths and the share of keyed calls, which the letter does not give.
- Repeatability: other work ran on the machine. In three runs of `log_http` an
  append cost 0.23 to 0.57 ms, in four runs of `contract` a record cost 44 to
  77 us; the others were run once or twice.
- Bursts: a day's changes are spread evenly, and failures of whole failure
  domains make many reports and repairs at once.
- Fronts on the users' platform under other work than the shifted one: the other
  deployments were not swept.
"""
_OVERLOAD = """## Decisions under overload, for one front

Measured once, on a shared machine.

- Admission by rank, for services with ranks alone: 103 us of processor time
  instead of 44 us for a decision among 12 chains. A report or a snapshot
  grows by 204 bytes for three ranks of one service, by 4.4 KB at the limit of
  64 rows, four times a second. The planner adds up 43 reports of three rows
  in 0.07 ms, 300 of 64 rows in 7.6 ms. Arrivals, shares and moves of ten
  ranks and 350 workspaces hold 122 KB.
- Spillover: 19 us for the loads and 135 us for the plan, twice a second for a
  service of six chains in three failure domains (0.03 % of a core), 0.4 us for
  each request, 2.7 KB for each service, and no bytes to other processes.
"""


def _table(headers: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    headers = list(headers)
    lines = [headers, ["---"] * len(headers), *[list(row) for row in rows]]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def _number(value: float) -> str:
    if value == 0:
        return "-"
    if value >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _size_section(size: capacity_model.Size) -> Iterator[str]:
    yield "## The size\n"
    yield _table(
        ("what", "value"),
        [
            (field.name.replace("_", " "), f"{getattr(size, field.name):,}")
            for field in dataclasses.fields(size)
        ],
    )
    yield (
        "`stages`, `places per model`, `keyed calls per s` and"
        " `service workers` are\nassumed. Requests in flight are arrivals times"
        f" their duration at the bound:\n{size.in_flight:,.0f}. The contract"
        f" has {size.lines:,} lines.\n"
    )


def _role_section(
    model: capacity_model.Model, name: str, figures: list[capacity_model.Figure]
) -> Iterator[str]:
    yield f"## Control, for one {name}\n"
    rows = [_figure_row(figure) for figure in figures]
    rows.append(_total_row(figures))
    rows.append(
        (
            "**budget**",
            f"{BUDGET_CORE_PERCENT}",
            f"{BUDGET_KB_PER_S:g}",
            f"{BUDGET_MB:g}",
            "",
            "",
        )
    )
    yield _table(
        ("what", "% of a core", "KB/s", "MB", "formula", "mechanism"), rows
    )
    links = model.links_per_entry if name == "entry" else model.links_per_agent
    yield f"Links: {links:,.0f}. {_verdict(figures)}\n"


def _figure_row(figure: capacity_model.Figure) -> tuple[str, ...]:
    return (
        figure.what,
        _number(figure.core_percent),
        _number(figure.kb_per_s),
        _number(figure.memory_mb),
        figure.formula,
        figure.mechanism,
    )


def _total_row(figures: list[capacity_model.Figure]) -> tuple[str, ...]:
    return (
        "**all**",
        _number(sum(f.core_percent for f in figures)),
        _number(sum(f.kb_per_s for f in figures)),
        _number(sum(f.memory_mb for f in figures)),
        "",
        "",
    )


def _verdict(figures: list[capacity_model.Figure]) -> str:
    totals = (
        (
            "processor time",
            sum(f.core_percent for f in figures),
            BUDGET_CORE_PERCENT,
        ),
        ("bytes", sum(f.kb_per_s for f in figures), BUDGET_KB_PER_S),
        ("memory", sum(f.memory_mb for f in figures), BUDGET_MB),
    )
    words = [
        f"{name}: fits, {total / budget:.0%} of the budget"
        if total <= budget
        else f"{name}: does **not** fit, {total / budget:,.1f} times the budget"
        for name, total, budget in totals
    ]
    return "; ".join(words).capitalize() + "."


def _data_section(model: capacity_model.Model) -> Iterator[str]:
    size = model.size
    tokens = size.tokens_per_s / size.entries
    hops = size.tokens_per_s * size.stages / size.workers
    entry_us = model.last("load_by_concurrency", "entry_cpu_us_per_token")
    agent_us = model.last("load_by_concurrency", "agent_cpu_us_per_token_hop")
    step = model.last("step_frames", "bytes_per_step")
    per_entry = size.in_flight / size.entries
    per_agent = size.in_flight * size.stages / size.workers
    entry_mb = per_entry * model.slope(
        "memory_by_sequences", "entry_memory_kib"
    )
    agent_mb = per_agent * model.slope(
        "memory_by_sequences", "agent_memory_kib"
    )
    claim_ms = model.slope("claims_by_workers", "agents_cpu_ms_per_call")
    claim = model.last("claims_by_workers", "log_bytes_per_call") * 4 / 3
    yield "## Callers' work, for one process\n"
    yield _table(
        ("role", "rate", "cores", "KB/s in and out", "in flight", "MB"),
        [
            (
                "entry",
                f"{tokens:,.0f} tokens/s",
                _number(tokens * entry_us / 1e6),
                _number(2 * tokens * step / 1e3),
                f"{per_entry:,.0f} requests",
                _number(entry_mb * 1024 / 1e6),
            ),
            (
                "agent",
                f"{hops:,.0f} token hops/s",
                _number(hops * agent_us / 1e6),
                _number(2 * hops * step / 1e3),
                f"{per_agent:,.0f} sequences",
                _number(agent_mb * 1024 / 1e6),
            ),
            (
                "agent of a plain service",
                f"{size.keyed_calls_per_s:,.0f} claims/s read",
                _number(size.keyed_calls_per_s * claim_ms / 1e3),
                _number(size.keyed_calls_per_s * claim / 1e3),
                "-",
                "-",
            ),
        ],
    )
    yield (
        "Processor time is that of the largest concurrency measured"
        f" ({entry_us:,.0f} us a token at the\nentry, {agent_us:,.0f} us a"
        " token hop at the agent); bytes are those of `step_frames`.\nEvery"
        " agent of a plain service reads every claim"
        " (`claims_by_workers.agents_cpu`).\nThis work is not control and has"
        " no budget.\n"
    )


def _platform_section(model: capacity_model.Model) -> Iterator[str]:
    yield "## Load on the platform\n"
    appends = platform_load.log_appends(model)
    reads = platform_load.log_reads(model)
    hosts = [platform_load.host_list_reads(model)]
    rows = [
        (service, rate.what, _number(rate.per_s), _number(rate.mb_per_s))
        + (rate.formula,)
        for service, rates in (
            ("log, appends", appends),
            ("log, reads", reads),
            ("host list, reads", hosts),
        )
        for rate in rates
    ]
    yield _table(("service", "cause", "per s", "MB/s", "formula"), rows)
    total = sum(rate.per_s for rate in appends)
    yield (
        f"Appends add up to {total:,.0f} a second; the log takes several"
        " hundred. The letter gives no\nlimit for reads, but those of"
        " `placement` are out of proportion.\n"
    )


def _sweeps_section(sweeps: capacity_model.Measured) -> Iterator[str]:
    yield "## Fronts on the platform\n"
    yield (
        "From the users' bench, which plays one day with 30, 100 and 300 hosts"
        " of a deployment of\neach kind, with ten engines a host;"
        " `benchmarks/sweeps.json` holds what it showed. All\ndays are clean."
        " What grows fastest is what the planner sends: each snapshot lists"
        " the\nreservations of all engines in use, several times a second, to"
        " every front, and a front\nthat connects gets a row of every engine."
        " Differences to the snapshot before, and no\nrows that say what the"
        " list of backend servers says, would carry it. The time until\n"
        "requests are served after the loss of all processes grows next on"
        " sites with weak hosts.\n"
    )
    yield (
        "Retry times cost a front 27 to 33 us of processor time for each"
        " refusal while many are\nrefused, 7 to 8 us otherwise, and 0.8 us for"
        " each request that is started; 65 KB for one\nservice, at most 350 KB"
        " for all, and nothing on the network (measured without one, in a\n"
        "process of its own).\n"
    )
    yield _lines_table(sweeps)


def _slopes_section(measured: capacity_model.Measured) -> Iterator[str]:
    yield "## The slopes\n"
    yield _lines_table(measured)


def _lines_table(measured: capacity_model.Measured) -> str:
    """Returns each cost at each size, with the line through them."""
    rows = []
    for name, probe in measured.items():
        for cost in probe.samples[0].values:
            line = probe.line(cost)
            seen = ", ".join(
                f"{s.size:g}: {s.values[cost]:.4g}" for s in probe.samples
            )
            rows.append(
                (
                    f"`{name}.{cost}`",
                    probe.varied,
                    seen,
                    f"{line.slope:.4g}",
                    f"{line.intercept:.4g}",
                )
            )
    return _table(("cost", "size", "measured", "one more", "none"), rows)


def page(
    measured: capacity_model.Measured, sweeps: capacity_model.Measured
) -> str:
    """Returns the whole page.

    Args:
        measured: Results of the probes.
        sweeps: What the users' bench showed at growing numbers of hosts.
    """
    model = capacity_model.Model(measured, capacity_model.Size())
    sections = [
        _INTRO.format(
            core=BUDGET_CORE_PERCENT,
            memory=BUDGET_MB,
            rate=BUDGET_KB_PER_S,
            note=_NOTE,
        ),
        *_size_section(model.size),
    ]
    for name, role in capacity_model.roles().items():
        sections += _role_section(model, name, list(role(model)))
    sections += _data_section(model)
    sections += _platform_section(model)
    sections.append(capacity_future.section(model))
    sections += _sweeps_section(sweeps)
    sections.append(_OVERLOAD)
    sections += _slopes_section(measured)
    sections.append(_UNKNOWN)
    return "\n".join(sections)


@commands.register
class CapacityCommand(command_lib.Command):
    """Computes the page from the committed slopes."""

    name = "capacity"
    description = "compute docs/CAPACITY.md from the measured slopes"
    options: ClassVar = [
        helpers.option(
            "slopes", None, "Results.", flag=False, default=str(SLOPES)
        ),
        helpers.option(
            "output", None, "The page.", flag=False, default=str(PAGE)
        ),
    ]

    def handle(self) -> int:
        """Writes the page."""
        try:
            measured = slope_fit.read(pathlib.Path(self.option("slopes")))
            sweeps = slope_fit.read(SWEEPS)
        except (OSError, ValueError) as error:
            self.line_error(f"cannot read the slopes: {error}")
            return 1
        output = pathlib.Path(self.option("output"))
        output.write_text(page(measured, sweeps), encoding="utf-8")
        self.line(f"wrote {output}")
        return 0
