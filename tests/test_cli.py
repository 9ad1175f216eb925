"""Tests of the operators' command line, run as a separate process."""

import json
import os
import pathlib
import subprocess
import sys

import conftest
import pytest

from primrosehitch_lab import fleet as fleet_module

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def run_cli(shared, *arguments, key=fleet_module.OPERATOR_KEY):
    environment = {
        **os.environ,
        "PRIMROSEHITCH_GATEWAY": shared.http["g4"] if shared else "",
        "PRIMROSEHITCH_KEY": key,
    }
    return subprocess.run(
        [sys.executable, "-m", "primrosehitch.cli", *arguments],
        env=environment,
        capture_output=True,
        text=True,
        timeout=30,
    )


@pytest.fixture
def declaration_file(tmp_path):
    path = tmp_path / "declaration.json"
    text = json.dumps(conftest.DECLARATION, indent=1)
    path.write_text("// a comment\n" + text)
    return path


def test_status_endpoints_keys_and_table(shared):
    status = json.loads(run_cli(shared, "status").stdout)
    assert status["instance"] == "g4" and status["ready"]
    assert "booking" not in run_cli(shared, "endpoints").stdout.splitlines()[0]
    assert "e1" in run_cli(shared, "endpoints").stdout
    created = json.loads(run_cli(shared, "keys", "create", "ana").stdout)
    assert created["key"].startswith("ph-")
    assert created["key_id"] in run_cli(shared, "keys", "list").stdout
    withdrawn = json.loads(
        run_cli(shared, "keys", "withdraw", created["key_id"]).stdout
    )
    assert withdrawn["withdrawn"] and withdrawn["durable"]
    assert "quote" in run_cli(shared, "table", "show").stdout


def test_plan_and_apply(shared, declaration_file):
    assert (
        "base version" in run_cli(shared, "plan", str(declaration_file)).stdout
    )
    answer = run_cli(
        shared, "apply", str(declaration_file), "--edit_id", "cli-1"
    )
    assert json.loads(answer.stdout)["accepted"]
    resent = run_cli(
        shared, "apply", str(declaration_file), "--edit_id", "cli-1"
    )
    first, second = json.loads(answer.stdout), json.loads(resent.stdout)
    assert first["version"] == second["version"]
    stale = run_cli(
        shared, "apply", str(declaration_file), "--base_version", "1"
    )
    assert stale.returncode == 1
    assert "version-conflict" in stale.stderr


def test_burn_as_table_json_and_plot(shared, tmp_path):
    assert "attainment" in run_cli(shared, "report", "burn").stdout
    rows = json.loads(run_cli(shared, "report", "burn", "--as_json").stdout)
    assert {r["class_name"] for r in rows} == {"desk", "quote"}
    plot = tmp_path / "burn.png"
    run_cli(shared, "report", "burn", "--plot", str(plot))
    assert plot.read_bytes().startswith(b"\x89PNG")


def test_exported_csv_loads_back_unchanged(shared, declaration_file, tmp_path):
    table = tmp_path / "grants.csv"
    table.write_text(
        run_cli(None, "table", "export", str(declaration_file)).stdout
    )
    loaded = run_cli(
        None, "table", "load", str(declaration_file), "--csv", str(table)
    )
    document = json.loads(loaded.stdout)
    assert document["grants"] == conftest.DECLARATION["grants"]


@pytest.mark.parametrize(
    "name",
    ["settings.json", "caballeriza/declaration.json"],
)
def test_check_accepts_the_examples(name):
    assert "ok" in run_cli(None, "check", str(EXAMPLES / name)).stdout


ERROR_CASES = [
    (("check", "/nonexistent.json"), "/nonexistent.json"),
    (("status",), "no gateway given"),
    (("status", "--gateway", "127.0.0.1:9"), "127.0.0.1:9"),
]


@pytest.mark.parametrize("arguments,text", ERROR_CASES)
def test_errors_are_reported_without_a_traceback(arguments, text):
    result = run_cli(None, *arguments)
    assert result.returncode != 0
    assert text in result.stderr
    assert "Traceback" not in result.stderr


def test_a_wrong_operator_key_is_refused(shared):
    result = run_cli(shared, "status", key="wrong")
    assert result.returncode == 1
    assert "unauthorised" in result.stderr


@pytest.mark.parametrize(
    "text,expected",
    [("{", "not JSON"), ('{"name": "g1"}', "required")],
)
def test_the_daemon_names_an_invalid_settings_file(tmp_path, text, expected):
    path = tmp_path / "bad.json"
    path.write_text(text)
    result = subprocess.run(
        [sys.executable, "-m", "primrosehitch.daemon", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert result.returncode == 1
    assert expected in result.stderr and str(path) in result.stderr
    assert "Traceback" not in result.stderr
