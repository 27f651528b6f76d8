"""Renders the results of the capacity model as Markdown tables."""

from collections.abc import Sequence

import tabulate

from tamarack_lab.capacity import bursts as bursts_lib
from tamarack_lab.capacity import model
from tamarack_lab.capacity import sizes
from tamarack_lab.capacity import slopes as slopes_lib

MEGABYTE = 1_000_000.0
KILOBYTE = 1_000.0
PERCENT = 100.0


def report(sizes_file: sizes.SizesFile, slopes: slopes_lib.SlopeFile) -> str:
    """Returns all tables in Markdown.

    Args:
        sizes_file: Sizes and budget.
        slopes: The slopes.
    """
    values = slopes.values()
    parts = ["## Totals\n", _totals(sizes_file, values)]
    for size in sizes_file.sizes:
        parts.append(f"\n## Terms at size {size.name}\n")
        parts.append(_terms(model.terms(size, values)))
    largest = sizes_file.sizes[-1]
    parts.append(f"\n## Bursts at size {largest.name}\n")
    parts.append(_bursts(bursts_lib.bursts(largest, sizes_file.budget, values)))
    parts.append("\n## Slopes\n")
    parts.append(_slopes(slopes.slopes))
    return "\n".join(parts) + "\n"


def _totals(sizes_file: sizes.SizesFile, values: dict[str, float]) -> str:
    """Returns the table of totals of all sizes."""
    rows = [
        [
            size.name,
            total.role,
            total.resource,
            format_amount(total.resource, total.amount),
            format_amount(total.resource, total.budget),
            "exceeded" if total.is_exceeded else "within",
            total.dominant,
        ]
        for size in sizes_file.sizes
        for total in model.totals(model.terms(size, values), sizes_file.budget)
    ]
    headers = ("size", "role", "resource", "cost", "budget", "", "largest term")
    return _table(headers, rows)


def _terms(terms: Sequence[model.Term]) -> str:
    """Returns the table of terms of one size."""
    rows = [
        [
            term.role,
            term.resource,
            term.name,
            format_amount(term.resource, term.amount),
            term.mechanism,
        ]
        for term in terms
    ]
    return _table(("role", "resource", "term", "cost", "mechanism"), rows)


def _bursts(bursts: Sequence[bursts_lib.Burst]) -> str:
    """Returns the table of bursts."""
    rows = [
        [
            burst.name,
            f"{burst.bytes / KILOBYTE:,.1f} KB",
            f"{burst.seconds:,.1f} s",
            burst.note,
        ]
        for burst in bursts
    ]
    headers = ("burst", "bytes to one host", "at the budget", "meaning")
    return _table(headers, rows)


def _slopes(slopes: Sequence[slopes_lib.Slope]) -> str:
    """Returns the table of slopes with their sources."""
    rows = [
        [
            slope.name,
            f"{slope.value:,.2f}",
            slope.unit,
            slope.source,
            f"{slope.residual * PERCENT:.1f}%" if slope.sizes else "",
            slope.command,
            slope.date,
        ]
        for slope in slopes
    ]
    headers = (
        "slope",
        "value",
        "unit",
        "source",
        "residual",
        "command",
        "date",
    )
    return _table(headers, rows)


def format_amount(resource: model.Resource, amount: float) -> str:
    """Returns an amount with its unit.

    Args:
        resource: Resource that determines the unit.
        amount: Bytes, share of a core, or bytes per second.
    """
    match resource:
        case model.Resource.MEMORY:
            return f"{amount / MEGABYTE:,.2f} MB"
        case model.Resource.PROCESSOR:
            return f"{amount * PERCENT:.3f}%"
        case model.Resource.TRAFFIC:
            return f"{amount / KILOBYTE:,.3f} KB/s"


def _table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Returns a Markdown table."""
    return tabulate.tabulate(
        rows, headers=headers, tablefmt="github", disable_numparse=True
    )
