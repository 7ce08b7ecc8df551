import pathlib

from cleo.testers import command_tester
import pytest

from dotterelgrade_standins import bench
from dotterelgrade_standins import throughput


@pytest.fixture
def run_bench(monkeypatch, tmp_path):
    """Runs the command on experiments that are over at once."""

    def run(values):
        monkeypatch.setattr(
            bench.experiment,
            "run_one",
            lambda name, **_: values.get(name, {}),
        )
        tester = command_tester.CommandTester(bench.BenchCommand())
        code = tester.execute(f"--results {pathlib.Path(tmp_path)}")
        return code, tester.io.fetch_output().splitlines()

    return run


def test_the_last_line_is_the_ratio_to_the_best_baseline(run_bench):
    code, lines = run_bench({"throughput": {throughput.RATIO: 2.756}})
    assert code == 0
    assert lines[-1] == "ratio 2.76x"


def test_a_faulty_experiment_file_has_no_ratio(monkeypatch):
    def fail(name, **_):
        raise ValueError("no such field")

    monkeypatch.setattr(bench.experiment, "run_one", fail)
    tester = command_tester.CommandTester(bench.BenchCommand())
    assert tester.execute("") == 2
    assert "ratio" not in tester.io.fetch_output()
