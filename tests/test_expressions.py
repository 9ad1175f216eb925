"""Tests that no regular expression takes more than linear time."""

import importlib
import pkgutil
import re
from re import _constants
from re import _parser

import pytest

import primrosehitch

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
