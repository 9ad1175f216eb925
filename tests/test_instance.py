"""Settings of edges and control instances, and their two checks.

The generated check decides; the schema library finds the path of an error.
"""

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
from primrosehitch import processmemory

ROOT = pathlib.Path(__file__).parent.parent
VALID = jsonc.read(ROOT / "examples" / "routed" / "control.json")

INVALID = [
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
    (("memory_mb",), 0, "$.memory_mb"),
    (("memory_mb",), "160", "$.memory_mb"),
    (("clients",), {"memory_share": 0.6}, "$.clients.memory_share"),
    (("clients",), {"memory_share": 0}, "$.clients.memory_share"),
    (("clients",), {"unread_timeout_s": 0.5}, "$.clients.unread_timeout_s"),
    (("clients",), {"backlog_bytes": 1}, "$.clients.backlog_bytes"),
    (("clients",), {"write_buffer_bytes": 0}, "$.clients.write_buffer_bytes"),
    (
        ("clients",),
        {"socket_buffer_bytes": 9},
        "$.clients.socket_buffer_bytes",
    ),
    (("clients",), {"none": 1}, "$.clients"),
    (("calls",), {"report_bytes": 100}, "$.calls.report_bytes"),
    (("calls",), {"table_bytes": 1 << 25}, "$.calls.table_bytes"),
    (("calls",), {"none": 1}, "$.calls"),
    (("overload",), {"refuse": 1}, "$.overload.refuse"),
    (("overload",), {"none": True}, "$.overload"),
    (("hedging",), {"share": 0.3}, "$.hedging.share"),
    (("hedging",), {"share": -0.1}, "$.hedging.share"),
    (("hedging",), {"quantile": 0.9}, "$.hedging"),
    (("hedging",), {"share": 0.1, "quantile": 1}, "$.hedging.quantile"),
    (
        ("hedging",),
        {"share": 0.1, "min_delay_ms": 0},
        "$.hedging.min_delay_ms",
    ),
    (("hedging",), {"share": 0.1, "none": 1}, "$.hedging"),
    (("none",), 1, "$"),
]


def _with_value(path, value):
    document = copy.deepcopy(VALID)
    container = document
    for step in path[:-1]:
        container = container[step]
    container[path[-1]] = value
    return document


def test_valid_settings_are_accepted():
    assert instance.parse(VALID, "x").name == "control-1"


# Guards against: a settings file of an older build, which has neither
# setting, changes what a process does or is refused.
def test_client_bounds_have_defaults():
    settings = instance.parse(VALID, "x")
    assert settings.memory_mb == 0
    assert settings.clients == instance.ClientBounds()


def test_client_bounds_are_read():
    document = _with_value(("clients",), {"unread_timeout_s": 2.5})
    document["memory_mb"] = 160
    settings = instance.parse(document, "x")
    assert settings.memory_mb == 160
    assert settings.clients.unread_timeout_ms == 2500
    memory = processmemory.make_connection_memory(
        settings.memory_mb, settings.clients
    )
    assert memory.limit_bytes == 20_000_000
    assert memory.bounds.unread_timeout_ms == 2500


# Guards against: a process without the setting counts on memory that it
# does not have.
def test_memory_is_the_smaller_of_the_machine_and_the_limit(monkeypatch):
    monkeypatch.setattr(processmemory, "_machine_bytes", lambda: 500)
    for limit, expected in ((-1, 500), (400, 400), (600, 500)):
        monkeypatch.setattr(
            processmemory.resource,
            "getrlimit",
            lambda _, limit=limit: (limit, -1),
        )
        assert processmemory.available_bytes(0) == expected
        assert processmemory.available_bytes(2) == 2_000_000


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, None),
        ({"share": 0}, None),
        ({"share": 0.05}, instance.HedgingSettings(0.05, 0.95, 30)),
        (
            {"share": 0.1, "quantile": 0.9, "min_delay_ms": 70},
            instance.HedgingSettings(0.1, 0.9, 70),
        ),
    ],
)
def test_hedging_is_off_unless_a_share_switches_it_on(value, expected):
    document = _with_value(("hedging",), value)
    if value is None:
        del document["hedging"]
    assert instance.parse(document, "x").hedging == expected


def test_overload_settings_are_read():
    assert instance.parse(VALID, "x").overload == (False, True)
    document = _with_value(("overload",), {"refuse": True})
    assert instance.parse(document, "x").overload == (True, True)


@pytest.mark.parametrize(("path", "value", "field_path"), INVALID)
def test_invalid_settings_error_names_the_field_path(path, value, field_path):
    with pytest.raises(errors.SettingsError) as caught:
        instance.parse(_with_value(path, value), "x")
    assert caught.value.path == field_path


@pytest.mark.parametrize("name", sorted(VALID))
def test_generated_check_and_schema_agree_on_missing_fields(name):
    document = {k: v for k, v in VALID.items() if k != name}
    try:
        jsonc.check(document, "instance", "x")
    except errors.SettingsError:
        with pytest.raises(ValueError, match="must contain"):
            instance_check.validate(document)
    else:
        instance_check.validate(document)


def test_committed_check_matches_the_schema():
    code = "import generate_checks; print(generate_checks.render())"
    result = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT / "tools",
        capture_output=True,
        text=True,
        check=True,
    )
    committed = pathlib.Path(instance_check.__file__).read_text()
    assert ast.dump(ast.parse(result.stdout)) == ast.dump(ast.parse(committed))


def test_startup_imports_no_schema_library(tmp_path):
    """Importing the schema library would slow down every process start.

    That matters when all processes are restarted, at once or in turn.
    """
    code = (
        "import sys; from primrosehitch.platform import process; "
        "from primrosehitch import instance; import pathlib; "
        "instance.load(pathlib.Path(sys.argv[1])); "
        "print('jsonschema' in sys.modules, 'json5' in sys.modules)"
    )
    settings_file = tmp_path / "control.json"
    settings_file.write_text(json.dumps(VALID))
    result = subprocess.run(
        [sys.executable, "-c", code, str(settings_file)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.split() == ["False", "False"]
