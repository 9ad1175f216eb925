"""Plots of reports, drawn with matplotlib where it is installed."""

import pathlib
from typing import Any


def draw_burn(rows: list[Any], path: pathlib.Path) -> None:
    """Draw attainment and burn by class into a PNG file.

    Args:
        rows: a burn report.
        path: the file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [row["class_name"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.5))
    left.bar(names, [row["attainment"] for row in rows])
    left.scatter(
        names, [r["objective"] for r in rows], marker="_", s=900, color="k"
    )
    left.set_ylim(0, 1.05)
    left.set_title("attainment, objective as a line")
    places = range(len(names))
    right.bar(
        [p - 0.2 for p in places],
        [r["burn_short"] for r in rows],
        0.4,
        label="5 min",
    )
    right.bar(
        [p + 0.2 for p in places],
        [r["burn_long"] for r in rows],
        0.4,
        label="1 h",
    )
    right.axhline(1.0, color="k", linewidth=0.8)
    right.set_xticks(list(places), names)
    right.set_title("burn of the error budget")
    right.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


__all__ = ["draw_burn"]
