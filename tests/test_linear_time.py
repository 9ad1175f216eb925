"""Tests that bytes from outside are read in linear time.

A process has one event loop: whatever takes a time that grows faster than
what it reads keeps all its other callers waiting.
"""

import importlib
import json
import pkgutil
import re
from re import _constants
from re import _parser
import time

import pytest

import primrosehitch
from primrosehitch import errors
from primrosehitch import eventframes
from primrosehitch import jsontext
from primrosehitch import links
from primrosehitch import messages
from primrosehitch import streams

SMALL_BYTES = 1 << 14
REPEATS = (_constants.MAX_REPEAT, _constants.MIN_REPEAT)


def patterns_of_package():
    """Return (name, pattern) of each expression that a module holds."""
    found = []
    for module_info in pkgutil.walk_packages(
        primrosehitch.__path__, "primrosehitch."
    ):
        if module_info.name.endswith("__main__"):
            continue
        module = importlib.import_module(module_info.name)
        for name, value in vars(module).items():
            values = value.values() if isinstance(value, dict) else [value]
            for item in values:
                if isinstance(item, re.Pattern):
                    found.append((f"{module_info.name}.{name}", item))
    return found


def repeats_a_repetition(parsed, is_repeated=False):
    """Return whether an unbounded repetition holds another one."""
    for operation, argument in parsed:
        is_unbounded = (
            operation in REPEATS and argument[1] == _constants.MAXREPEAT
        )
        if is_unbounded and is_repeated:
            return True
        if operation is _constants.ATOMIC_GROUP:
            continue
        if operation is _constants.BRANCH:
            groups = argument[1]
        elif isinstance(argument, tuple):
            groups = [a for a in argument if isinstance(a, _parser.SubPattern)]
        else:
            groups = []
        if any(
            repeats_a_repetition(group, is_repeated or is_unbounded)
            for group in groups
        ):
            return True
    return False


# Guards against: an expression that can match the same bytes in more than
# one way, so that its time doubles with each byte (review/6).
@pytest.mark.parametrize("name,pattern", patterns_of_package())
def test_no_expression_repeats_a_repetition(name, pattern):
    parsed = _parser.parse(pattern.pattern, pattern.flags)
    assert not repeats_a_repetition(parsed), name


@pytest.mark.parametrize(
    "expression,is_found",
    [
        ("(?::[^\r\n]*|[\r\n])*", True),
        ("(a+)+", True),
        ("(?:a|(?:b+?c)*)+", True),
        ("(a{1,9})*", False),
        ("^[^:]+:[0-9]{1,5}$", False),
    ],
)
def test_repeated_repetitions_are_found(expression, is_found):
    assert repeats_a_repetition(_parser.parse(expression)) == is_found


def feed_bytewise(reader, data):
    for position in range(len(data)):
        reader.feed(data[position : position + 1])


def read_event(size):
    feed_bytewise(eventframes.EventSplitter(), b"id: 1\ndata: " + b"x" * size)


def read_comment(size):
    feed_bytewise(eventframes.EventSplitter(), b":" + b"x" * size)


def read_older_event(size):
    feed_bytewise(streams.StreamValidator(), b"data: " + b"x" * size)


def read_frame(size):
    head = links.FRAME_HEADER.pack(size, messages.NUMBERS[messages.Pong])
    feed_bytewise(links.FrameDecoder(), head + b"x" * (size - 1))


def read_object(size):
    fields = ",".join(f'"{number}":0' for number in range(size // 8))
    with pytest.raises(jsontext.JsonError):
        jsontext.loads(f'{{{fields},"{size // 8 - 1}":0}}'.encode())


def processor_time_s(read, size):
    """Return the least processor time of three reads of a size."""
    times = []
    for _ in range(3):
        began_at = time.process_time()
        read(size)
        times.append(time.process_time() - began_at)
    return min(times)


# Guards against: bytes that come one by one, or a field that is given twice
# among many, are looked at again for each byte or field that follows.
@pytest.mark.parametrize(
    "read",
    [read_event, read_comment, read_older_event, read_frame, read_object],
)
def test_time_to_read_grows_with_the_size_only(read):
    growth = 4
    small_s = processor_time_s(read, SMALL_BYTES)
    large_s = processor_time_s(read, growth * SMALL_BYTES)
    # Four times as much, or sixteen times if each byte costs all before it.
    assert large_s < growth * 2 * small_s


@pytest.mark.parametrize("twice", ["0", "7", "11"])
def test_field_that_is_given_twice_is_named(twice):
    fields = ",".join(f'"{number}":0' for number in range(12))
    with pytest.raises(errors.PrimrosehitchError, match=f"'{twice}'"):
        jsontext.loads(f'{{{fields},"{twice}":0}}'.encode())
    assert json.loads(f"{{{fields}}}") == jsontext.loads(
        f"{{{fields}}}".encode()
    )
