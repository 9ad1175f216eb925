"""The mutant tool counts a mutant as killed only if a test failed."""

import pathlib
import runpy

import pytest

TOOL = pathlib.Path(__file__).parent.parent / "tools" / "mutants.py"


@pytest.fixture(scope="module")
def tool():
    return runpy.run_path(str(TOOL))


def make_mutant(tool, new, tests):
    return tool["Mutant"](
        "a value is removed",
        "gathering.py",
        "self.items.pop(key, None)",
        new,
        tests,
    )


@pytest.mark.parametrize(
    ("new", "lives"),
    [("self.items.pop(key, None)  # the same", True), ("pass", False)],
)
def test_only_a_failing_test_kills_a_mutant(tool, new, lives):
    mutant = make_mutant(
        tool, new, "tests/test_gathering.py tests/test_partfindings.py"
    )
    assert tool["survives"](mutant) == lives


def test_mutant_whose_tests_cannot_run_is_an_error(tool):
    mutant = make_mutant(tool, "pass", "tests/test_no_such_file.py")
    with pytest.raises(SystemExit, match="could not run"):
        tool["survives"](mutant)


# Guards against: a mutant whose text has changed is not run, which shows only
# when all are run by hand.
def test_each_mutant_finds_its_text_once(tool):
    package = tool["ROOT"] / "primrosehitch"
    lost = [
        mutant.name
        for mutant in tool["MUTANTS"]
        if (package / mutant.file).read_text().count(mutant.old) != 1
    ]
    assert not lost
