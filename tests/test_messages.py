"""Tests of the generated modules: freshness, decoding and round trips."""

import importlib.util
import pathlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import messages

TOOLS = pathlib.Path(__file__).parent.parent / "tools"


def load_tool(name):
    spec = importlib.util.spec_from_file_location(name, TOOLS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    "name", ["generate_messages", "generate_types", "generate_events"]
)
def test_generated_file_is_not_stale(name):
    tool = load_tool(name)
    layout = str.maketrans("", "", " \n,()")
    wanted = tool.generate().translate(layout)
    assert tool.TARGET.read_text().translate(layout) == wanted


@given(st.binary(max_size=300), st.sampled_from(list(messages.NUMBERS)))
def test_decoding_any_bytes_returns_a_message_or_raises_value_error(
    data, kind
):
    try:
        message = messages.decode(kind, data)
    except ValueError:
        return
    assert isinstance(message, kind)


@given(
    st.text(max_size=20),
    st.integers(0, 2**64 - 1),
    st.binary(max_size=100),
)
def test_entries_are_unchanged_by_encoding_and_decoding(kind, index, body):
    kind = kind.replace("\0", "")
    entry = messages.Entry(index, 7, kind, body)
    append = messages.Append(1, 2, 3, 4, 5, (entry, entry))
    assert messages.decode(messages.Append, messages.encode(append)) == append


# Guards against: a struct added in the middle of the schema, after which
# releases side by side take each other's messages for other kinds.
def test_kinds_of_earlier_releases_keep_their_numbers():
    numbers = {kind.__name__: n for kind, n in messages.NUMBERS.items()}
    earlier = {
        "Hello": 1,
        "Entry": 4,
        "ReplicaMessage": 15,
        "StateImage": 33,
        "Presence": 49,
        "Table": 52,
        "EndpointUpdate": 57,
        "WindowDone": 62,
        "PartsRead": 66,
        "LoadReport": 67,
    }
    assert {name: numbers[name] for name in earlier} == earlier
