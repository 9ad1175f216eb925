"""Tests of the checks on settings, declarations and the catalog."""

import copy
import json
import pathlib

import conftest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from primrosehitch import catalog as catalog_module
from primrosehitch import declaration
from primrosehitch import errors
from primrosehitch import jsonc
from primrosehitch import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
VALID_SETTINGS = jsonc.read(EXAMPLES / "settings.json")
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=8), x, max_size=3)
    ),
    max_leaves=8,
)

INVALID_SETTINGS = [
    ("name", "G 1", "$.name"),
    ("http", "localhost:80", "$.http"),
    ("http", 7, "$.http"),
    ("secret", "short", "$.secret"),
    ("operator_keys", [], "$.operator_keys"),
    ("operator_keys", ["x"], "$.operator_keys[0]"),
    ("usage_window_s", 0, "$.usage_window_s"),
    ("data_folder", "", "$.data_folder"),
    ("peers", [{"name": "g2"}], "$.peers[0]"),
    ("colour", "red", "$"),
]


@pytest.mark.parametrize("name,value,path", INVALID_SETTINGS)
def test_invalid_setting_error_names_file_and_path(name, value, path):
    document = {**VALID_SETTINGS, name: value}
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(document, "g1.json")
    assert caught.value.path == path
    assert "g1.json" in str(caught.value)


def test_duplicate_instance_name_is_rejected():
    document = copy.deepcopy(VALID_SETTINGS)
    document["peers"][0]["name"] = "g1"
    with pytest.raises(errors.SettingsError):
        settings.parse(document, "x")


@pytest.mark.parametrize("missing", ["name", "http", "peer", "secret"])
def test_missing_setting_error_names_the_key(missing):
    document = {k: v for k, v in VALID_SETTINGS.items() if k != missing}
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(document, "x")
    assert missing in str(caught.value)


@given(st.sampled_from(sorted(VALID_SETTINGS)), JSON_VALUES)
def test_any_settings_value_parses_or_raises_settings_error(name, value):
    try:
        parsed = settings.parse({**VALID_SETTINGS, name: value}, "x")
    except errors.SettingsError:
        return
    assert isinstance(parsed, settings.Settings)


@given(JSON_VALUES)
@hypothesis_settings(deadline=None)
def test_any_declaration_validates_or_raises_settings_error(value):
    try:
        declaration.validate(value, "x")
    except errors.SettingsError:
        return


@given(st.text(max_size=60))
@hypothesis_settings(deadline=None)
def test_any_text_parses_as_jsonc_or_raises_settings_error(text):
    try:
        jsonc.loads(text, "x")
    except errors.SettingsError as exc:
        assert "x" in str(exc)


@pytest.mark.parametrize("name", ["caballeriza", "rosfield"])
def test_example_declarations_round_trip_through_rows_and_csv(name):
    path = EXAMPLES / name / "declaration.json"
    document = declaration.validate(jsonc.read(path), str(path))
    rows = declaration.diff_rows({}, declaration.to_rows(document))
    restored = declaration.from_rows(rows)
    assert declaration.to_rows(restored) == declaration.to_rows(document)
    text = declaration.grants_to_csv(document)
    grants = declaration.grants_from_csv(text, "x.csv")
    assert grants == document["grants"]
    loaded = json.loads(json.dumps({**document, "grants": grants}))
    assert declaration.to_rows(loaded) == declaration.to_rows(document)


def test_integer_and_equal_float_give_the_same_row():
    with_integer = json.loads(json.dumps(conftest.DECLARATION))
    with_integer["grants"][0]["weight"] = 3
    with_float = json.loads(json.dumps(with_integer))
    with_float["grants"][0]["weight"] = 3.0
    assert declaration.to_rows(with_integer) == declaration.to_rows(with_float)


INVALID_CSV = [
    "",
    "customer,colour\na,b\n",
    "customer,class,weight\na,b,heavy\n",
    "customer,class\na,b,c\n",
]


@pytest.mark.parametrize("text", INVALID_CSV)
def test_invalid_csv_is_rejected(text):
    with pytest.raises(errors.SettingsError):
        declaration.grants_from_csv(text, "x.csv")


def test_applying_diff_rows_gives_the_new_rows():
    old = declaration.to_rows(conftest.DECLARATION)
    changed = json.loads(json.dumps(conftest.DECLARATION))
    del changed["routes"]["hours"]
    changed["classes"]["desk"]["tier"] = 3
    new = declaration.to_rows(changed)
    rows = dict(old)
    for row in declaration.diff_rows(old, new):
        if row.deleted:
            del rows[row.table, row.key]
        else:
            rows[row.table, row.key] = row.value
    assert rows == new
    assert declaration.diff_rows(new, new) == ()


def make_catalog(version=1):
    catalog = catalog_module.Catalog()
    rows = declaration.diff_rows({}, declaration.to_rows(conftest.DECLARATION))
    catalog.update([r._replace(version=version) for r in rows], version)
    return catalog


def test_older_version_is_ignored():
    catalog = make_catalog(5)
    before = dict(catalog.rows)
    assert not catalog.update((), 5)
    assert not catalog.update((), 4)
    assert catalog.rows == before and catalog.version == 5


def test_row_of_older_version_raises():
    catalog = make_catalog(5)
    row = catalog.rows["customer", "ana"]._replace(version=4)
    with pytest.raises(errors.InvariantError):
        catalog.update([row], 6)


def test_withdrawn_key_stays_invalid_after_newer_row():
    from primrosehitch import messages

    catalog = make_catalog(1)
    value = '{"customer":"ana","id":"x"}'
    row = messages.Row("key", "h", value, 2)
    catalog.update([row], 2)
    assert catalog.find_key("h").customer == "ana"
    assert catalog.merge_withdrawals([messages.Withdrawal("h")]) == ["h"]
    assert catalog.merge_withdrawals([messages.Withdrawal("h")]) == []
    catalog.update([row._replace(version=3)], 3)
    assert catalog.find_key("h") is None


def test_key_of_deleted_customer_is_invalid():
    from primrosehitch import messages

    catalog = make_catalog(1)
    value = '{"customer":"ana","id":"x"}'
    customer_deletion = messages.Row("customer", "ana", "", 2, True)
    catalog.update([messages.Row("key", "h", value, 2), customer_deletion], 2)
    assert catalog.find_key("h") is None
