"""Strict decoding of JSON documents that come from outside.

Whatever this module returns can be encoded again: it holds no text that is
not Unicode and no number that is not finite. A document that other readers
may take differently, such as one that names a field twice, is refused as a
whole.
"""

import json
import re
from typing import Any
from typing import NoReturn

from primrosehitch import errors

# An escape of one half of a surrogate pair begins like this.
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
# Every integer field of our messages with 64 bits can hold it.
MAX_INTEGER = (1 << 63) - 1


class JsonError(errors.PrimrosehitchError):
    """A document is not JSON, or holds what JSON text may not hold."""

    def __init__(self, text: str):
        super().__init__(text, "decode json")


def loads(data: bytes) -> Any:
    """Return the value of a JSON document.

    Args:
        data: the document, which must be UTF-8 without a byte order mark.

    Raises:
        JsonError: the document is not valid; the error says where.
    """
    try:
        text = data.decode("utf-8")
        value = json.loads(
            text,
            parse_constant=_refuse_constant,
            parse_float=_parse_float,
            object_pairs_hook=_make_object,
        )
        if _SURROGATE_ESCAPE.search(text):
            json.dumps(value, ensure_ascii=False).encode("utf-8")
    except (ValueError, RecursionError) as exc:
        raise JsonError(f"not JSON: {_describe(exc)}") from exc
    return value


def loads_accepted(data: bytes) -> Any:
    """Return the value of a document that an earlier release accepted.

    Earlier releases took text that is no Unicode and numbers of any size. A
    document that they acknowledged is read as far as it can be: a character
    that is none becomes a question mark, a large number the largest.

    Args:
        data: the document.

    Raises:
        JsonError: an earlier release could not read it either.
    """
    try:
        return _repair(json.loads(data))
    except (ValueError, RecursionError) as exc:
        raise JsonError(f"not JSON: {_describe(exc)}") from exc


def _repair(value: Any) -> Any:
    """Return a value with the text and numbers that messages can carry."""
    if isinstance(value, str):
        return value.encode("utf-8", "replace").decode("utf-8")
    if isinstance(value, dict):
        return {_repair(name): _repair(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_repair(item) for item in value]
    if isinstance(value, (int, float)) and value > MAX_INTEGER:
        return MAX_INTEGER
    return value


def _describe(exc: Exception) -> str:
    """Return the text of an error, without a copy of the document."""
    if isinstance(exc, UnicodeDecodeError):
        return f"byte {exc.start} is not UTF-8"
    if isinstance(exc, UnicodeEncodeError):
        return "half of a surrogate pair is no character"
    return str(exc)


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")


def _parse_float(digits: str) -> float:
    number = float(digits)
    if number in (float("inf"), float("-inf")):
        raise ValueError(f"{digits[:20]} is too large")
    return number


def _make_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) < len(pairs):
        seen: set[str] = set()
        for name, _ in pairs:
            if name in seen:
                raise ValueError(f"field {name[:40]!r} is given twice")
            seen.add(name)
    return value


__all__ = ["JsonError", "MAX_INTEGER", "loads", "loads_accepted"]
