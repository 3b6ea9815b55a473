import pytest

from greengagelatch_lab.capacity.fits import Point, Series, fit_points


def create_points(*rows):
    return [
        Point(drivers={"a": a, "b": b}, figures={"cost": cost}) for a, b, cost in rows
    ]


def test_linear_model_is_fitted():
    points = create_points((1, 0, 5), (2, 10_000, 57), (3, 0, 9), (4, 20_000, 111))
    fit = fit_points(points, "cost", ("a", "b"))
    assert fit.base == pytest.approx(3)
    assert fit.slopes == pytest.approx({"a": 2, "b": 0.005})
    assert fit.error == pytest.approx(0, abs=1e-9)
    assert fit.predict(a=10, b=1000) == pytest.approx(28)


def test_residuals_are_reported_as_error():
    points = create_points((0, 0, 0), (1, 0, 10), (2, 0, 0))
    fit = fit_points(points, "cost", ("a",))
    assert fit.error > 0.3


def test_collinear_drivers_are_rejected():
    points = create_points((1, 2, 5), (2, 4, 7), (3, 6, 9))
    with pytest.raises(ValueError, match=r"cost: drivers \('a', 'b'\) are collinear"):
        fit_points(points, "cost", ("a", "b"))


def test_series_contains_points_and_models():
    points = create_points((1, 0, 2), (2, 0, 4))
    series = Series(role="role", points=points, fit_drivers={"cost": ("a",)})
    assert "a=2, b=0: cost=4" in series.format()
    encoded = series.encode()
    assert encoded["points"][0] == {"a": 1, "b": 0, "cost": 2}
    assert encoded["fits"]["cost"]["a"] == pytest.approx(2)
