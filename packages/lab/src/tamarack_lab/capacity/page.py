"""Updates the tables and the plot of the capacity page."""

import pathlib

from matplotlib import figure

from tamarack_lab.capacity import model
from tamarack_lab.capacity import sizes
from tamarack_lab.capacity import slopes as slopes_lib

BEGIN = "<!-- begin of the output of tamarack capacity -->\n"
END = "<!-- end of the output of tamarack capacity -->\n"
PLOT_WIDTH_IN = 11.0
PLOT_HEIGHT_IN = 3.6


def replace_tables(page: str, tables: str) -> str:
    """Returns a page with the tables between its markers replaced.

    Args:
        page: Text of the page.
        tables: New tables in Markdown.

    Raises:
        ValueError: The page lacks a marker.
    """
    if BEGIN not in page or END not in page:
        raise ValueError(f"the page lacks {BEGIN!r} or {END!r}; add both")
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    return f"{before}{BEGIN}\n{tables}\n{END}{after}"


def plot(
    sizes_file: sizes.SizesFile,
    slopes: slopes_lib.SlopeFile,
    path: pathlib.Path,
) -> None:
    """Plots the cost of each role against the size.

    Args:
        sizes_file: Sizes and budget.
        slopes: The slopes.
        path: Output file in PNG format.
    """
    values = slopes.values()
    drawing = figure.Figure(figsize=(PLOT_WIDTH_IN, PLOT_HEIGHT_IN))
    panels = drawing.subplots(1, len(model.Resource))
    totals_by_size = [
        model.totals(model.terms(size, values), sizes_file.budget)
        for size in sizes_file.sizes
    ]
    hosts = [size.hosts for size in sizes_file.sizes]
    for panel, resource in zip(panels, model.Resource, strict=True):
        for role in model.Role:
            shares = [
                total.amount / total.budget
                for totals in totals_by_size
                for total in totals
                if total.role is role and total.resource is resource
            ]
            panel.plot(hosts, shares, marker="o", label=role)
        panel.axhline(1.0, color="black", linestyle="--")
        panel.set_xscale("log")
        panel.set_title(resource)
        panel.set_xlabel("entry hosts")
        panel.set_ylabel("share of the budget")
    panels[0].legend()
    drawing.tight_layout()
    # The metadata would hold the version of matplotlib; without it the file
    # depends only on the data.
    drawing.savefig(path, metadata={"Software": None})
