"""Online least-squares fit of a straight line with positive coefficients."""

import attrs

__all__ = ["LinearFit"]

_DECAY = 0.98  # weight of a point relative to the next one: about the last fifty points count
# The expected slope counts as one point at this part of the mean x from the others.
_RIDGE_SHARE = 0.1


@attrs.define(kw_only=True)
class LinearFit:
    """Weighted fit of ``y = intercept + slope * x``; older points count less.

    Neither coefficient becomes negative. Where the points say little about the slope, it tends to
    the one through the origin if `is_proportional`, else to zero.

    Parameters
    ----------
    is_proportional : bool
        Whether ``y`` is taken as proportional to ``x`` until the points show otherwise.
    weight : float
        Sum of the weights of the points.
    mean_x, mean_y, variance_x, covariance : float
        Weighted means, and weighted sums of squared deviations and products.
    slope : float
        Slope of the line; it follows from the other values and is kept as it is read often.

    Examples
    --------
    >>> fit = LinearFit(is_proportional=True)
    >>> fit.predict(100.0) is None
    True
    >>> for x, y in [(1000.0, 0.13), (3000.0, 0.33), (5000.0, 0.53)]:
    ...     fit.add(x, y)
    >>> round(fit.predict(4000.0), 2)
    0.43
    """

    is_proportional: bool = False
    weight: float = 0.0
    mean_x: float = 0.0
    mean_y: float = 0.0
    variance_x: float = 0.0
    covariance: float = 0.0
    slope: float = 0.0

    def add(self, x: float, y: float) -> None:
        """Add a point."""
        decayed = _DECAY * self.weight
        self.weight = decayed + 1
        delta_x, delta_y = x - self.mean_x, y - self.mean_y
        gain = 1 / self.weight
        self.mean_x += gain * delta_x
        self.mean_y += gain * delta_y
        self.variance_x = _DECAY * self.variance_x + decayed * gain * delta_x * delta_x
        self.covariance = _DECAY * self.covariance + decayed * gain * delta_x * delta_y
        self.slope = self._fitted_slope()

    def predict(self, x: float) -> float | None:
        """Return the value of the line at `x`, or None if there is no point yet."""
        if not self.weight:
            return None
        return max(0.0, self.mean_y + self.slope * (x - self.mean_x))

    def _fitted_slope(self) -> float:
        if self.mean_x <= 0:
            return 0.0
        through_origin = self.mean_y / self.mean_x
        expected = through_origin if self.is_proportional else 0.0
        ridge = (_RIDGE_SHARE * self.mean_x) ** 2
        slope = (self.covariance + ridge * expected) / (self.variance_x + ridge)
        return min(max(slope, 0.0), through_origin)
