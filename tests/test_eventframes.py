"""Tests of the splitter of event streams: work and numbering."""

import subprocess
import sys

from hypothesis import given
from hypothesis import strategies as st
import pytest

from primrosehitch import eventframes

HANG_TIMEOUT_S = 60
SPLIT_STDIN = """
import sys
from primrosehitch import eventframes
try:
    eventframes.EventSplitter().feed(sys.stdin.buffer.read())
except eventframes.EventIdError:
    print("no event")
"""


# Guards against: a long comment before a field without an identifier takes a
# time that doubles with each byte of it, and the process hangs (review/6).
@pytest.mark.parametrize(
    "block",
    [
        b":" * 64 + b"\nevent: trace\n\n",
        b":" * 100_000 + b"\nevent: trace\n\n",
        b":\n" * 100_000 + b"event: trace\n\n",
        b":\r" * 100_000 + b"event: trace\n\n",
        b"\r" * 100_000 + b"event: trace\n\n",
    ],
    ids=["colons", "long", "lines", "returns", "empty"],
)
def test_comment_before_a_foreign_field_is_read_in_linear_time(block):
    result = subprocess.run(
        [sys.executable, "-c", SPLIT_STDIN],
        input=block,
        capture_output=True,
        timeout=HANG_TIMEOUT_S,
    )
    assert result.stdout == b"no event\n", result.stderr


@given(
    st.lists(
        st.sampled_from([b":", b"::", b"\r", b"\n", b"x", b"id: 1", b" "]),
        max_size=24,
    )
)
def test_only_comments_and_empty_lines_are_left_out(pieces):
    block = b"".join(pieces).strip(b"\r\n") + b"\n\n"
    lines = block.replace(b"\r", b"\n").split(b"\n")
    is_comment = all(not line or line[:1] == b":" for line in lines)
    splitter = eventframes.EventSplitter()
    try:
        passed = splitter.feed(block)
    except eventframes.EventIdError:
        assert not is_comment
    else:
        assert bool(passed) != is_comment
