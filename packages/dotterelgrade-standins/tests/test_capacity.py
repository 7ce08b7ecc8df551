import pathlib

import pytest

from dotterelgrade_standins import capacity
from dotterelgrade_standins import capacity_future
from dotterelgrade_standins import capacity_model
from dotterelgrade_standins import platform_load
from dotterelgrade_standins import slope_fit

_ROOT = pathlib.Path(__file__).parents[3]


@pytest.fixture(scope="module")
def measured():
    return slope_fit.read(_ROOT / capacity.SLOPES)


@pytest.fixture(scope="module")
def model(measured):
    return capacity_model.Model(measured, capacity_model.Size())


def test_the_page_is_the_one_that_the_slopes_give(measured):
    page = (_ROOT / capacity.PAGE).read_text(encoding="utf-8")
    sweeps = slope_fit.read(_ROOT / capacity.SWEEPS)
    assert page == capacity.page(measured, sweeps)


def test_the_size_is_that_of_the_letter():
    size = capacity_model.Size()
    assert size.changes_per_s == pytest.approx(0.775, abs=0.001)
    # 13,000 a second, each 0.34 s and 323 tokens of 25 ms.
    assert size.in_flight == pytest.approx(109_420, rel=0.001)


def test_every_role_has_figures(model):
    assert set(capacity_model.roles()) == {"entry", "agent"}
    for role in capacity_model.roles().values():
        figures = list(role(model))
        assert len({figure.what for figure in figures}) == len(figures)
        for figure in figures:
            assert figure.formula
            assert figure.mechanism
            assert figure.core_percent + figure.memory_mb > 0


def test_twice_the_links_cost_twice(measured):
    def reports(model):
        entry = capacity_model.roles()["entry"](model)
        return next(f for f in entry if f.what == "reports of agents")

    few = capacity_model.Size(failure_domains=2)
    many = capacity_model.Size(failure_domains=4)
    one = reports(capacity_model.Model(measured, few))
    two = reports(capacity_model.Model(measured, many))
    assert two.kb_per_s == pytest.approx(2 * one.kb_per_s)
    assert two.core_percent == pytest.approx(2 * one.core_percent)
    assert two.memory_mb == pytest.approx(2 * one.memory_mb)


def test_charges_leave_the_log_its_rate(model):
    appends = {r.what: r.per_s for r in platform_load.log_appends(model)}
    assert appends["charges"] <= 100.0


def test_what_is_proposed_fits_the_budget_for_bytes(model):
    future = capacity_future.compute(model)
    assert future.report_kb_per_s < capacity.BUDGET_KB_PER_S
    assert future.host_list_kb_per_s < capacity.BUDGET_KB_PER_S
