"""Write docs/EVENTS.md from the catalogue of events."""

import pathlib

from primrosehitch import events

TARGET = pathlib.Path(__file__).resolve().parent.parent / "docs/EVENTS.md"
HEAD = """# Events

The daemon writes one JSON object a line. `event` is the number below,
`message_type` the name; other fields say what it is about. Generated
from `primrosehitch/events.py` by `make messages`.

| number | name | what happened | what to do |
| --- | --- | --- | --- |
"""


def generate():
    """Return the text of the page."""
    rows = [
        f"| {e.number} | {e.name} | {e.meaning} | {e.action} |"
        for e in sorted(events.CATALOGUE)
    ]
    return HEAD + "\n".join(rows) + "\n"


def main():
    TARGET.write_text(generate())


if __name__ == "__main__":
    main()
