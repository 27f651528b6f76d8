"""Slopes: marginal costs of a role per additional unit."""

from collections.abc import Sequence
import enum
import pathlib
import statistics

import msgspec

DATA_FILE = pathlib.Path(__file__).with_name("slopes.json")


class Source(enum.StrEnum):
    """Origin of the value of a slope."""

    MEASURED = "measured"
    COUNTED = "counted"
    ESTIMATED = "estimated"


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Marginal cost of one unit.

    Attributes:
        name: Name that the model uses.
        value: Cost of one unit.
        unit: Unit of the value.
        source: Measured (time or memory), counted (bytes or messages in the
            effects of the core) or estimated.
        intercept: Cost at size zero, in the same unit.
        residual: Largest deviation of a point from the fit, as a fraction of
            the largest cost; 0 for a slope without a fit.
        sizes: Sizes that were measured.
        command: Command that produced the value.
        date: Date of the run.
    """

    name: str
    value: float
    unit: str
    source: Source
    intercept: float = 0.0
    residual: float = 0.0
    sizes: tuple[int, ...] = ()
    command: str = ""
    date: str = ""


class SlopeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a slopes file.

    Attributes:
        slopes: All slopes.
    """

    slopes: tuple[Slope, ...]

    def values(self) -> dict[str, float]:
        """Returns the value of each slope by name."""
        return {slope.name: slope.value for slope in self.slopes}


def load(path: pathlib.Path = DATA_FILE) -> SlopeFile:
    """Returns the slopes in a file.

    Args:
        path: File in the format that `save` writes.

    Raises:
        msgspec.ValidationError: A field is missing, unknown or of another
            type.
        OSError: The file can't be read.
    """
    return msgspec.json.decode(path.read_bytes(), type=SlopeFile)


def save(slopes: Sequence[Slope], path: pathlib.Path) -> None:
    """Writes slopes to a file.

    Args:
        slopes: The slopes.
        path: Output file; its folder is created if it is missing.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.encode(SlopeFile(tuple(slopes)))
    path.write_bytes(msgspec.json.format(data, indent=2) + b"\n")


class Point(msgspec.Struct, frozen=True):
    """Cost at one size.

    Attributes:
        size: Number of units.
        cost: Cost at this size; the median if the measurement was repeated.
    """

    size: int
    cost: float


def fit(
    name: str,
    unit: str,
    source: Source,
    points: Sequence[Point],
    command: str,
    date: str,
) -> Slope:
    """Fits a line through points by least squares and returns its slope.

    Args:
        name: Name of the slope.
        unit: Unit of the slope.
        source: Origin of the costs.
        points: At least two points of different size.
        command: Command that measured the points.
        date: Date of the run.

    Raises:
        ValueError: There are fewer than two points.
    """
    if len(points) < 2:
        raise ValueError(
            f"{name}: {len(points)} points; a fit needs at least two"
        )
    line = statistics.linear_regression(
        [point.size for point in points], [point.cost for point in points]
    )
    largest = max(abs(point.cost) for point in points) or 1.0
    residual = max(
        abs(point.cost - line.intercept - line.slope * point.size)
        for point in points
    )
    return Slope(
        name=name,
        value=line.slope,
        unit=unit,
        source=source,
        intercept=line.intercept,
        residual=residual / largest,
        sizes=tuple(point.size for point in points),
        command=command,
        date=date,
    )
