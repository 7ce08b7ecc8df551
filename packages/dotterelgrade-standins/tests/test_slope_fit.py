import pytest

from dotterelgrade_standins import slope_fit


def _measured(*points):
    return slope_fit.Measured(
        varied="things",
        samples=tuple(
            slope_fit.Sample(size=size, values={"cost_us": cost})
            for size, cost in points
        ),
    )


def test_a_line_through_points_on_a_line():
    line = _measured((1, 5.0), (2, 7.0), (10, 23.0)).line("cost_us")
    assert line.slope == pytest.approx(2.0)
    assert line.intercept == pytest.approx(3.0)


def test_a_line_has_the_least_squares():
    line = slope_fit.fit([(0, 0.0), (1, 2.0), (2, 1.0)])
    assert line.slope == pytest.approx(0.5)
    assert line.intercept == pytest.approx(0.5)


def test_results_survive_their_file(tmp_path):
    path = tmp_path / "deeper" / "slopes.json"
    measured = {"probe": _measured((1, 5.0), (2, 7.0))}
    slope_fit.write(path, measured)
    assert slope_fit.read(path) == measured
    assert measured["probe"].last("cost_us") == 7.0


@pytest.mark.parametrize("text", ["", "[", '{"probe": {"varied": 1}}'])
def test_a_broken_file_is_refused(tmp_path, text):
    path = tmp_path / "slopes.json"
    path.write_text(text)
    with pytest.raises(ValueError, match="."):
        slope_fit.read(path)
