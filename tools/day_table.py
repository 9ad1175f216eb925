"""Print the parts and prices of days from two entries of the journal.

``tools/day_table.py BEFORE [AFTER]`` takes one or two entries of
``journal/``, scores of one site, and prints a table in Markdown. A price is
shown where it costs at least ``LEAST`` of worth on a day.
"""

import json
import pathlib
import sys

LEAST = 0.005
FOLDER = pathlib.Path(__file__).resolve().parent.parent / "journal"


def days(name):
    """Return the standard days of an entry, by name."""
    entry = json.loads((FOLDER / name).with_suffix(".json").read_text())
    return {
        day["name"]: day
        for day in entry["days"]
        if not day["name"].startswith("fresh-")
    }


def parts(day):
    """Return worth and its parts as a table's cells."""
    figures = {name: value for name, _, value in day["parts"]}
    return [f"{day['G']:.3f}"] + [f"{v:.3f}" for v in figures.values()]


def prices(day):
    """Return the prices that matter, the largest first."""
    found = sorted(day["prices"], key=lambda price: -price[2])
    shown = [f"{name} {cost:.3f}" for name, _, cost in found if cost >= LEAST]
    return "; ".join(shown)


def main(before, after=None):
    """Print the table, with rows of both entries for each day."""
    old = days(before)
    new = days(after) if after else {}
    names = [name for name, _, _ in next(iter(old.values()))["parts"]]
    print("| day | | worth | " + " | ".join(names) + " | prices |")
    print("| --- " * (len(names) + 4) + "|")
    for name, day in old.items():
        rows = (("before", day), ("after", new.get(name)))
        for label, figures in rows:
            if figures is not None:
                cells = [name, label, *parts(figures), prices(figures)]
                print("| " + " | ".join(cells) + " |")


if __name__ == "__main__":
    main(*sys.argv[1:])
