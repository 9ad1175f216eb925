"""Settings of edges and control instances: checked fast, then explained."""

import ast
import copy
import json
import pathlib
import subprocess
import sys

import pytest

from primrosehitch import errors
from primrosehitch import instance
from primrosehitch import instance_check
from primrosehitch import jsonc

ROOT = pathlib.Path(__file__).parent.parent
GOOD = jsonc.read(ROOT / "examples" / "routed" / "control.json")

BAD = [
    (("host",), 5, "$.host"),
    (("name",), "", "$.name"),
    (("ports",), [1], "$.ports"),
    (("ports", 0), 70_000, "$.ports[0]"),
    (("seeds",), [], "$.seeds"),
    (("seeds", 0), "10.0.0.1", "$.seeds[0]"),
    (("listen", "control"), 7, "$.listen.control"),
    (("bootstrap",), "yes", "$.bootstrap"),
    (("bounds",), {"grace_s": 0}, "$.bounds.grace_s"),
    (("bounds",), {"none": 1}, "$.bounds"),
    (("none",), 1, "$"),
]


def _changed(path, value):
    document = copy.deepcopy(GOOD)
    found = document
    for step in path[:-1]:
        found = found[step]
    found[path[-1]] = value
    return document


def test_good_settings_are_taken():
    assert instance.parse(GOOD, "x").name == "control-1"


@pytest.mark.parametrize(("path", "value", "named"), BAD)
def test_bad_settings_are_refused_by_the_name_of_their_path(
    path, value, named
):
    with pytest.raises(errors.SettingsError) as caught:
        instance.parse(_changed(path, value), "x")
    assert caught.value.path == named


@pytest.mark.parametrize("name", sorted(GOOD))
def test_both_checks_agree_on_what_is_missing(name):
    document = {k: v for k, v in GOOD.items() if k != name}
    try:
        jsonc.check(document, "instance", "x")
    except errors.SettingsError:
        with pytest.raises(ValueError, match="must contain"):
            instance_check.validate(document)
    else:
        instance_check.validate(document)


def test_the_committed_check_is_the_schema_s():
    code = "import generate_checks; print(generate_checks.render())"
    made = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT / "tools",
        capture_output=True,
        text=True,
        check=True,
    )
    committed = pathlib.Path(instance_check.__file__).read_text()
    assert ast.dump(ast.parse(made.stdout)) == ast.dump(ast.parse(committed))


def test_a_start_reads_no_schema(tmp_path):
    """Pattern: all processes start at once, or one after the other."""
    code = (
        "import sys; from primrosehitch.platform import __main__; "
        "from primrosehitch import instance; import pathlib; "
        "instance.load(pathlib.Path(sys.argv[1])); "
        "print('jsonschema' in sys.modules, 'json5' in sys.modules)"
    )
    plain = tmp_path / "control.json"
    plain.write_text(json.dumps(GOOD))
    made = subprocess.run(
        [sys.executable, "-c", code, str(plain)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert made.stdout.split() == ["False", "False"]
