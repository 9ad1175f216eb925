"""Write primrosehitch/documents.py from the JSON schemas.

Each titled object of a schema becomes a ``TypedDict``.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDER = ROOT / "primrosehitch" / "schema"
TARGET = ROOT / "primrosehitch" / "documents.py"
SCALARS = {
    "string": "str",
    "integer": "int",
    "number": "float",
    "boolean": "bool",
    "null": "None",
}


def annotation(schema):
    """Return the Python type of a property's schema."""
    if "$ref" in schema:
        name = schema["$ref"].rsplit("/", 1)[1]
        return "str" if name == "address" else f'"{name}"'
    if isinstance(schema["type"], list):
        return " | ".join(SCALARS[kind] for kind in schema["type"])
    if schema["type"] == "array":
        return f"list[{annotation(schema['items'])}]"
    if schema["type"] == "object":
        return f"dict[str, {annotation(schema['additionalProperties'])}]"
    return SCALARS[schema["type"]]


def render(schema):
    required = set(schema.get("required", ()))
    lines = [f"{schema['title']} = TypedDict(", f'    "{schema["title"]}",']
    lines.append("    {")
    for name, value in schema["properties"].items():
        kind = annotation(value)
        if name not in required:
            kind = f"NotRequired[{kind}]"
        lines.append(f'        "{name}": {kind},')
    lines.extend(["    },", ")", ""])
    return "\n".join(lines)


def generate():
    """Return the text of the generated module."""
    names = []
    parts = [
        '"""Settings and declarations, generated from the JSON schemas.\n\n'
        "Do not edit: run ``make messages``.\n"
        '"""\n\nfrom typing import NotRequired\n'
        "from typing import TypedDict\n\n"
    ]
    for path in sorted(FOLDER.glob("*.schema.json")):
        schema = json.loads(path.read_text())
        objects = [*schema["$defs"].values(), schema]
        for item in objects:
            if "title" in item:
                names.append(item["title"])
                parts.append(render(item))
    parts.append("\n__all__ = [")
    parts.extend(f'    "{name}",' for name in sorted(names))
    parts.append("]\n")
    return "\n".join(parts)


def main():
    TARGET.write_text(generate())


if __name__ == "__main__":
    main()
