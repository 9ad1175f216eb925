"""Draws reports as plots with matplotlib.

matplotlib is an optional dependency, so it is imported only when a plot
is drawn.
"""

import pathlib
from typing import Any


def draw_burn(rows: list[Any], path: pathlib.Path) -> None:
    """Draw the attainment and burn rates of each class to a PNG file.

    Args:
        rows: the rows of a burn report, one per class.
        path: the file to write.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = [row["class_name"] for row in rows]
    figure, (attainment_axes, burn_axes) = pyplot.subplots(
        1, 2, figsize=(9, 3.5)
    )
    attainment_axes.bar(names, [row["attainment"] for row in rows])
    attainment_axes.scatter(
        names, [r["objective"] for r in rows], marker="_", s=900, color="k"
    )
    attainment_axes.set_ylim(0, 1.05)
    attainment_axes.set_title("attainment, objective as a line")
    positions = range(len(names))
    burn_axes.bar(
        [p - 0.2 for p in positions],
        [r["burn_short"] for r in rows],
        0.4,
        label="5 min",
    )
    burn_axes.bar(
        [p + 0.2 for p in positions],
        [r["burn_long"] for r in rows],
        0.4,
        label="1 h",
    )
    burn_axes.axhline(1.0, color="k", linewidth=0.8)
    burn_axes.set_xticks(list(positions), names)
    burn_axes.set_title("burn of the error budget")
    burn_axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


__all__ = ["draw_burn"]
