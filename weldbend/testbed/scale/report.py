"""Table and plot that compare two sizes of a site with the bounds."""

from collections.abc import Callable

from weldbend.testbed.load import process_usage
from weldbend.testbed.load.process_usage import Cell
from weldbend.testbed.scale.bounds import BOUNDS, CALLS, MEGABYTE
from weldbend.testbed.scale.figures import ScaleFigures

Value = Callable[[ScaleFigures], float]

UNBOUNDED_FIGURES: tuple[tuple[str, Value], ...] = (
    ("caches", lambda f: f.caches),
    ("requests", lambda f: f.requests),
    ("CPU until it serves, s", lambda f: f.start_cpu),
    ("commands at edges", lambda f: f.lookups),
    ("hits at edges, share of requests", lambda f: f.edge_hits),
    ("fills from copies at parents, share", lambda f: f.parent_hits),
    ("bytes from the origin, MB", lambda f: f.origin_bytes / MEGABYTE),
    ("edges used, share", lambda f: f.edges_used),
    ("commands at the busiest tenth of edges, share", lambda f: f.busiest_fraction),
)
COLUMN_TITLES = ("for each front", "usual", "large", "bound", "verdict")


def table(usual: ScaleFigures, large: ScaleFigures, is_counted_only: bool) -> str:
    """Return the table: bounded figures with their verdicts, followed by UNBOUNDED_FIGURES.

    If `is_counted_only`, figures that depend on the speed of the machine get no verdict.
    """
    rows: list[list[Cell]] = []
    for bound in BOUNDS:
        if bound.name == CALLS and not is_counted_only:
            continue
        is_judged = bound.is_counted or not is_counted_only
        verdict = "held" if bound.is_within(usual, large) else "missed"
        sign = ">= " if bound.is_minimum else "<= "
        limit = f"{sign}{bound.limit(usual, large):.2f}"
        rows.append([bound.name, *_pair(bound.value, usual, large), limit, verdict if is_judged else "-"])
    for name, value in UNBOUNDED_FIGURES:
        rows.append([name, *_pair(value, usual, large), "", ""])
    return process_usage.table(rows, COLUMN_TITLES)


def _pair(value: Value, usual: ScaleFigures, large: ScaleFigures) -> list[Cell]:
    return [float(value(usual)), float(value(large))]


def plot(path: str, usual: ScaleFigures, large: ScaleFigures) -> None:
    """Draw each figure at the large size as a fraction of its bound, as a PNG."""
    # Imported here, so that only commands that draw plots load this library.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 4))
    shown = [bound for bound in BOUNDS if bound.name != CALLS or usual.calls]
    names = [bound.name for bound in shown]
    parts = [bound.value(large) / (bound.limit(usual, large) or 1) for bound in shown]
    colours = ["tab:blue" if bound.is_within(usual, large) else "tab:red" for bound in shown]
    axes.barh(names, parts, color=colours)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set(xlabel="part of the bound", title=f"{usual.caches} caches and {large.caches}")
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path, dpi=90)
