"""Measurement of memory and processor time, and series of costs."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import gc
import statistics
import time
import tracemalloc
from typing import TypeVar

from tamarack_lab.capacity import slopes

REPEATS = 5
US_PER_S = 1_000_000.0
COMMAND = "make slopes"

Subject = TypeVar("Subject")


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Costs that a probe measured at several sizes.

    Attributes:
        name: Name of the slope.
        unit: Unit of the slope.
        source: Origin of the costs.
        points: Cost at each size.
    """

    name: str
    unit: str
    source: slopes.Source
    points: tuple[slopes.Point, ...]

    def fit(self) -> slopes.Slope:
        """Returns the slope of the line fitted through the points."""
        return slopes.fit(
            self.name, self.unit, self.source, self.points, COMMAND, today()
        )

    def constant(self) -> slopes.Slope:
        """Returns the cost at the largest size as a slope.

        Meant for costs that don't depend on the size.
        """
        largest = max(self.points, key=lambda point: point.size)
        return slopes.Slope(
            name=self.name,
            value=largest.cost,
            unit=self.unit,
            source=self.source,
            sizes=tuple(point.size for point in self.points),
            command=COMMAND,
            date=today(),
        )


def today() -> str:
    """Returns the current UTC date in ISO format."""
    return datetime.datetime.now(datetime.UTC).date().isoformat()


def memory_bytes(build: Callable[[], Subject]) -> float:
    """Returns the memory that an object retains, in bytes.

    Args:
        build: Builds the object; it must not keep another reference to it.
    """
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    subject = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # Deleted only here, so that the measurement includes it.
    del subject
    return float(after - before)


def processor_us(
    prepare: Callable[[], Subject], work: Callable[[Subject], None]
) -> float:
    """Returns the median processor time of a piece of work in microseconds.

    Args:
        prepare: Returns the input of one repeat; not included in the time.
        work: The work to measure.
    """
    times_us = []
    for _ in range(REPEATS):
        subject = prepare()
        start_s = time.process_time()
        work(subject)
        times_us.append((time.process_time() - start_s) * US_PER_S)
    return statistics.median(times_us)


def series(
    name: str,
    unit: str,
    source: slopes.Source,
    sizes: Sequence[int],
    measure: Callable[[int], float],
) -> Series:
    """Measures a cost at several sizes.

    Args:
        name: Name of the slope.
        unit: Unit of the slope.
        source: Origin of the costs.
        sizes: Sizes to measure.
        measure: Returns the cost at a size.
    """
    points = tuple(slopes.Point(size, measure(size)) for size in sizes)
    return Series(name, unit, source, points)
