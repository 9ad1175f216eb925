"""Strict decoding of JSON documents that come from outside.

Whatever this module returns can be encoded again: it holds no text that is
not Unicode and no number that is not finite. A document that other readers
may take differently, such as one that names a field twice, is refused as a
whole.

``loads_in_parts`` is for large documents: a thread that calls it gives way to
others, and the memory that a document takes is bounded by its size.
"""

import codecs
import json
import re
import sys
from typing import Any
from typing import Callable
from typing import NoReturn

from primrosehitch import errors

# An escape of one half of a surrogate pair begins like this.
_SURROGATE_ESCAPE = re.compile(r"\\u[dD][89a-fA-F]")
# Limits of ``loads_in_parts``. A value takes up to 200 bytes of memory.
MAX_UNDIVIDED_BYTES = 1 << 18
MAX_VALUES = 1 << 20
MAX_TOP_FIELDS = 1000
PART_BYTES = 1 << 20
# A number that ends this close to the end of a part may go on in the next.
_MAX_SPLIT_NUMBER = 3
_WHITESPACE = re.compile(r"[ \t\r\n]*")
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
        value = _DECODER.decode(text)
        _check_surrogates(text, value)
    except (ValueError, RecursionError) as exc:
        raise JsonError(f"not JSON: {_describe(exc)}") from exc
    return value


def loads_in_parts(data: bytes) -> Any:
    """Return the value of a JSON document that may be large.

    One of more than MAX_UNDIVIDED_BYTES has to be an object with at most
    MAX_TOP_FIELDS fields and MAX_VALUES values, whose fields, and the items
    of lists in these, have at most PART_BYTES.

    Args:
        data: the document, as for ``loads``.

    Raises:
        JsonError: the document is not valid, or beyond these limits.
    """
    if len(data) <= MAX_UNDIVIDED_BYTES:
        return loads(data)
    try:
        return _PartReader(data).read_document()
    except (ValueError, RecursionError) as exc:
        raise JsonError(f"not JSON: {_describe(exc)}") from exc


class _PartReader:
    """Decodes a large document in parts.

    The document is an object. Its fields are decoded one after the other, and
    lists in them item by item.

    Args:
        data: the document.

    Attributes:
        text: what was read of the document and is not decoded yet, from
            ``position`` on.
        decoded: the characters of the document before ``text``.
        read: the bytes of the document that were read.

    Raises:
        ValueError: the document has too many values.
    """

    def __init__(self, data: bytes):
        if data.count(b",") + data.count(b"[") + data.count(b"{") > MAX_VALUES:
            raise ValueError(f"more than {MAX_VALUES} values")
        self.data = data
        self.utf8 = codecs.getincrementaldecoder("utf-8")()
        self.text = ""
        self.position = 0
        self.decoded = 0
        self.read = 0

    def read_document(self) -> dict[str, Any]:
        """Return the document's value.

        Raises:
            ValueError: it is not valid.
        """
        self._expect("{")
        fields: list[tuple[str, Any]] = []
        if not self._skip("}"):
            while True:
                fields.append(self._read_field())
                if len(fields) > MAX_TOP_FIELDS:
                    raise ValueError(f"more than {MAX_TOP_FIELDS} fields")
                if not self._skip(","):
                    break
            self._expect("}")
        if self._next_character():
            raise ValueError(f"extra data: char {self._offset}")
        return _make_object(fields)

    def _read_field(self) -> tuple[str, Any]:
        if self._next_character() != '"':
            raise ValueError(f"no name of a field: char {self._offset}")
        name = self._read_value()
        self._expect(":")
        if self._next_character() == "[":
            return name, self._read_list()
        return name, self._read_value()

    def _read_list(self) -> list[Any]:
        self._expect("[")
        items: list[Any] = []
        if self._skip("]"):
            return items
        while True:
            items.append(self._read_value())
            if not self._skip(","):
                break
        self._expect("]")
        return items

    def _read_value(self) -> Any:
        """Return the next value, which has to be within a part."""
        self._next_character()
        while True:
            try:
                value, end = _PART_DECODER.raw_decode(self.text, self.position)
            except ValueError as exc:
                if self._is_last_part or self._holds_whole_part:
                    raise self._locate(exc) from exc
            else:
                if (
                    self._is_last_part
                    or end < len(self.text) - _MAX_SPLIT_NUMBER
                ):
                    break
            self._read_part()
        _check_surrogates(self.text[self.position : end], value)
        self.position = end
        return value

    def _locate(self, exc: ValueError) -> ValueError:
        """Return the error of a value with its place in the document."""
        if not self._is_last_part:
            return ValueError(
                f"the value at char {self._offset} is not valid, or longer"
                f" than {PART_BYTES} bytes"
            )
        text = exc.msg if isinstance(exc, json.JSONDecodeError) else str(exc)
        return ValueError(f"{text}: the value at char {self._offset}")

    def _expect(self, character: str) -> None:
        if not self._skip(character):
            raise ValueError(f"no {character!r}: char {self._offset}")

    def _skip(self, character: str) -> bool:
        """Skip a character if it is the next one; return whether it is."""
        is_next = self._next_character() == character
        self.position += is_next
        return is_next

    def _next_character(self) -> str:
        """Skip white space; return what follows it, "" at the end."""
        while True:
            match = _WHITESPACE.match(self.text, self.position)
            self.position = match.end() if match else self.position
            if self.position < len(self.text) or self._is_last_part:
                return self.text[self.position : self.position + 1]
            self._read_part()

    @property
    def _is_last_part(self) -> bool:
        return self.read >= len(self.data)

    @property
    def _holds_whole_part(self) -> bool:
        """Whether as much is read ahead as a value may take."""
        return len(self.text) - self.position >= PART_BYTES

    @property
    def _offset(self) -> int:
        return self.decoded + self.position

    def _read_part(self) -> None:
        part = self.data[self.read : self.read + PART_BYTES]
        try:
            text = self.utf8.decode(
                part, self.read + len(part) >= len(self.data)
            )
        except UnicodeDecodeError as exc:
            raise ValueError(f"not UTF-8 after byte {self.read}") from exc
        self.read += len(part)
        self.decoded += self.position
        self.text = self.text[self.position :] + text
        self.position = 0


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


def _make_part_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object that shares the names of its fields with others."""
    return _make_object([(sys.intern(name), item) for name, item in pairs])


def _check_surrogates(text: str, value: Any) -> None:
    """Check that a value holds no half of a surrogate pair.

    Args:
        text: the document that was decoded.
        value: what it holds.

    Raises:
        ValueError: it does.
    """
    if _SURROGATE_ESCAPE.search(text):
        json.dumps(value, ensure_ascii=False).encode("utf-8")


def _make_decoder(
    make_object: Callable[[list[tuple[str, Any]]], dict[str, Any]],
) -> json.JSONDecoder:
    return json.JSONDecoder(
        parse_constant=_refuse_constant,
        parse_float=_parse_float,
        object_pairs_hook=make_object,
    )


_DECODER = _make_decoder(_make_object)
_PART_DECODER = _make_decoder(_make_part_object)

__all__ = [
    "JsonError",
    "MAX_INTEGER",
    "MAX_UNDIVIDED_BYTES",
    "loads",
    "loads_accepted",
    "loads_in_parts",
]
