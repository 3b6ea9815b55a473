"""Measured points and the linear models fitted to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = ("Fit", "Point", "Series", "fit_points")


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """One measurement: values of the independent variables and measured figures."""

    drivers: Mapping[str, float]
    figures: Mapping[str, float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """A least-squares linear model ``figure = base + slope * driver + …``."""

    figure: str
    base: float
    slopes: Mapping[str, float]
    #: largest absolute residual divided by the largest absolute figure
    error: float

    def predict(self, **drivers: float) -> float:
        """Return the figure that the model predicts."""
        return self.base + sum(
            slope * drivers[name] for name, slope in self.slopes.items()
        )

    def format(self) -> str:
        """Return the model as text."""
        terms = [f"{self.base:.4g}"]
        terms += [f"{slope:.4g} * {name}" for name, slope in self.slopes.items()]
        return f"{self.figure} = {' + '.join(terms)}  (largest error {self.error:.0%})"


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Measurements of one component, with the linear models fitted to them.

    :param lines: drivers of each figure for which a model is fitted
    """

    role: str
    points: Sequence[Point]
    fit_drivers: Mapping[str, Sequence[str]] = field(default_factory=dict)

    def fit(self, figure: str) -> Fit:
        """Return the fitted model of one figure."""
        return fit_points(self.points, figure, self.fit_drivers[figure])

    def format(self) -> str:
        """Return points and models as text."""
        rows = [self.role]
        for point in self.points:
            drivers = ", ".join(f"{k}={v:g}" for k, v in point.drivers.items())
            figures = ", ".join(f"{k}={v:.4g}" for k, v in point.figures.items())
            rows.append(f"  {drivers}: {figures}")
        rows += [f"  {self.fit(figure).format()}" for figure in self.fit_drivers]
        return "\n".join(rows)

    def encode(self) -> dict[str, object]:
        """Return points and models as a JSON-serialisable dict."""
        fits = [self.fit(figure) for figure in self.fit_drivers]
        return {
            "role": self.role,
            "points": [
                {**point.drivers, **{k: round(v, 6) for k, v in point.figures.items()}}
                for point in self.points
            ],
            "fits": {
                fit.figure: {"base": fit.base, **fit.slopes, "error": fit.error}
                for fit in fits
            },
        }


def fit_points(points: Sequence[Point], figure: str, drivers: Sequence[str]) -> Fit:
    """Fit a linear model to the points by ordinary least squares.

    :raises ValueError: if there are too few points, or the drivers are collinear
    """
    rows = [[1.0, *(point.drivers[name] for name in drivers)] for point in points]
    matrix = numpy.array(rows)
    values = numpy.array([point.figures[figure] for point in points])
    # each driver is scaled to at most 1: with values in the tens of thousands beside
    # values of 1, rounding would make the matrix appear rank-deficient
    scales = numpy.abs(matrix).max(axis=0)
    scales[scales == 0] = 1.0
    coefficients, _, rank, _ = numpy.linalg.lstsq(matrix / scales, values, rcond=None)
    if rank < len(drivers) + 1:
        raise ValueError(
            f"{figure}: drivers {drivers} are collinear or have too few points"
        )
    coefficients = coefficients / scales
    max_residual = float(numpy.abs(matrix @ coefficients - values).max())
    max_figure = float(numpy.abs(values).max())
    return Fit(
        figure=figure,
        base=float(coefficients[0]),
        slopes={name: float(coefficients[n + 1]) for n, name in enumerate(drivers)},
        error=max_residual / max_figure if max_figure else 0.0,
    )
