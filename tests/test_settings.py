"""Settings and declarations: checked, fuzzed, clear in their errors."""

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
GOOD = jsonc.read(EXAMPLES / "settings.json")
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda x: (
        st.lists(x, max_size=3)
        | st.dictionaries(st.text(max_size=8), x, max_size=3)
    ),
    max_leaves=8,
)

BAD_SETTINGS = [
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


@pytest.mark.parametrize("name,value,path", BAD_SETTINGS)
def test_an_error_names_file_path_and_expectation(name, value, path):
    document = {**GOOD, name: value}
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(document, "g1.json")
    assert caught.value.path == path
    assert "g1.json" in str(caught.value)


def test_an_instance_named_twice_is_refused():
    document = copy.deepcopy(GOOD)
    document["peers"][0]["name"] = "g1"
    with pytest.raises(errors.SettingsError):
        settings.parse(document, "x")


@pytest.mark.parametrize("missing", ["name", "http", "peer", "secret"])
def test_a_missing_setting_is_named(missing):
    document = {k: v for k, v in GOOD.items() if k != missing}
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(document, "x")
    assert missing in str(caught.value)


@given(st.sampled_from(sorted(GOOD)), JSON)
def test_any_value_is_taken_or_refused_clearly(name, value):
    try:
        parsed = settings.parse({**GOOD, name: value}, "x")
    except errors.SettingsError:
        return
    assert isinstance(parsed, settings.Settings)


@given(JSON)
@hypothesis_settings(deadline=None)
def test_any_declaration_is_taken_or_refused_clearly(value):
    try:
        declaration.check(value, "x")
    except errors.SettingsError:
        return


@given(st.text(max_size=60))
@hypothesis_settings(deadline=None)
def test_any_text_is_json_with_comments_or_a_clear_error(text):
    try:
        jsonc.loads(text, "x")
    except errors.SettingsError as exc:
        assert "x" in str(exc)


@pytest.mark.parametrize("name", ["caballeriza", "rosfield"])
def test_examples_hold_and_survive_rows_and_csv(name):
    path = EXAMPLES / name / "declaration.json"
    document = declaration.check(jsonc.read(path), str(path))
    rows = declaration.difference({}, declaration.to_rows(document))
    again = declaration.from_rows(rows)
    assert declaration.to_rows(again) == declaration.to_rows(document)
    text = declaration.grants_to_csv(document)
    grants = declaration.grants_from_csv(text, "x.csv")
    assert grants == document["grants"]
    loaded = json.loads(json.dumps({**document, "grants": grants}))
    assert declaration.to_rows(loaded) == declaration.to_rows(document)


def test_a_number_written_otherwise_is_no_change():
    whole = json.loads(json.dumps(conftest.DECLARATION))
    whole["grants"][0]["weight"] = 3
    broken = json.loads(json.dumps(whole))
    broken["grants"][0]["weight"] = 3.0
    assert declaration.to_rows(whole) == declaration.to_rows(broken)


BAD_CSV = [
    "",
    "customer,colour\na,b\n",
    "customer,class,weight\na,b,heavy\n",
    "customer,class\na,b,c\n",
]


@pytest.mark.parametrize("text", BAD_CSV)
def test_bad_csv_is_refused(text):
    with pytest.raises(errors.SettingsError):
        declaration.grants_from_csv(text, "x.csv")


def test_a_difference_leads_from_one_to_the_other():
    old = declaration.to_rows(conftest.DECLARATION)
    changed = json.loads(json.dumps(conftest.DECLARATION))
    del changed["routes"]["hours"]
    changed["classes"]["desk"]["tier"] = 3
    new = declaration.to_rows(changed)
    rows = dict(old)
    for row in declaration.difference(old, new):
        if row.deleted:
            del rows[row.table, row.key]
        else:
            rows[row.table, row.key] = row.value
    assert rows == new
    assert declaration.difference(new, new) == ()


def loaded_catalog(version=1):
    catalog = catalog_module.Catalog()
    rows = declaration.difference(
        {}, declaration.to_rows(conftest.DECLARATION)
    )
    catalog.update([r._replace(version=version) for r in rows], version)
    return catalog


def test_an_older_version_changes_nothing():
    catalog = loaded_catalog(5)
    before = dict(catalog.rows)
    assert not catalog.update((), 5)
    assert not catalog.update((), 4)
    assert catalog.rows == before and catalog.version == 5


def test_a_row_never_reverts():
    catalog = loaded_catalog(5)
    row = catalog.rows["customer", "ana"]._replace(version=4)
    with pytest.raises(errors.InvariantError):
        catalog.update([row], 6)


def test_a_withdrawn_key_beats_any_row():
    from primrosehitch import messages

    catalog = loaded_catalog(1)
    value = '{"customer":"ana","id":"x"}'
    row = messages.Row("key", "h", value, 2)
    catalog.update([row], 2)
    assert catalog.find_key("h").customer == "ana"
    assert catalog.merge_withdrawals([messages.Withdrawal("h")]) == ["h"]
    assert catalog.merge_withdrawals([messages.Withdrawal("h")]) == []
    catalog.update([row._replace(version=3)], 3)
    assert catalog.find_key("h") is None


def test_a_key_of_a_deleted_customer_does_not_work():
    from primrosehitch import messages

    catalog = loaded_catalog(1)
    value = '{"customer":"ana","id":"x"}'
    gone = messages.Row("customer", "ana", "", 2, True)
    catalog.update([messages.Row("key", "h", value, 2), gone], 2)
    assert catalog.find_key("h") is None
