"""Write primrosehitch/instance_check.py from the instance's JSON schema.

The generated check needs no library when an instance starts; importing
one would take longer than all of the instance's other settings work.
"""

import json
import pathlib

import fastjsonschema

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "primrosehitch" / "schema" / "instance.schema.json"
TARGET = ROOT / "primrosehitch" / "instance_check.py"
HEADER = '''"""Check of an instance's settings, generated from its schema.

Do not edit: run ``make messages``. ``validate`` raises ``ValueError``.
"""

# ruff: noqa: E501, F401
'''
IMPORT = (
    "from fastjsonschema import JsonSchemaValueException, "
    "JsonSchemaValuesException\n"
)


def render():
    """Return the module's text, without the line that names a version."""
    code = fastjsonschema.compile_to_code(
        json.loads(SCHEMA.read_text()),
        use_default=False,
        detailed_exceptions=False,
    )
    if IMPORT not in code:
        raise SystemExit("fastjsonschema writes another import now")
    _, _, code = code.replace(IMPORT, "").partition("\n")
    return (
        HEADER + "\n" + code.replace("JsonSchemaValueException", "ValueError")
    )


if __name__ == "__main__":
    TARGET.write_text(render())
