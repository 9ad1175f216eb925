"""Typed access to the fields of decoded JSON objects.

Every error has the path of the invalid field. A default applies only to
a field that is missing.
"""

import ipaddress
import re
from typing import Any
from typing import Iterator

from primrosehitch import errors
from primrosehitch import jsontext
from primrosehitch import settings as settings_module

_PORT = re.compile(r"[0-9]{1,5}")


class FieldError(errors.PrimrosehitchError):
    """A field of a document is missing or has an invalid value.

    Args:
        text: what is wrong with the field.
        path: the field's path in the document, e.g.
            ``$.routes[0].host``.
    """

    def __init__(self, text: str, path: str):
        self.path = path
        super().__init__(f"{path}: {text}", "decode")


class Fields:
    """One JSON object of a document.

    The accessors raise ``FieldError`` if the field is missing without a
    default, or is of another type.

    Args:
        value: the decoded value.
        path: its path in the document.

    Raises:
        FieldError: the value is not an object.
    """

    def __init__(self, value: Any, path: str = "$"):
        if not isinstance(value, dict):
            raise FieldError("not an object", path)
        self.value = value
        self.path = path

    def string(
        self,
        name: str,
        default: str | None = None,
        maximum: int | None = None,
    ) -> str:
        """Return a non-empty string.

        Args:
            name: the field's name.
            default: returned if the field is missing.
            maximum: the most characters that it may have, None for any
                number.
        """
        field_value = self.value.get(name, default)
        if field_value is default and default is not None:
            return default
        if not isinstance(field_value, str) or not field_value:
            raise FieldError("not a non-empty string", f"{self.path}.{name}")
        if maximum is not None and len(field_value) > maximum:
            raise FieldError(
                f"longer than {maximum} characters", f"{self.path}.{name}"
            )
        return field_value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite, non-negative number."""
        field_value = self.value.get(name, default)
        is_number = isinstance(field_value, (int, float)) and not isinstance(
            field_value, bool
        )
        if not is_number or not 0 <= field_value < float("inf"):
            raise FieldError(
                "not a number of 0 or more", f"{self.path}.{name}"
            )
        return field_value

    def integer(
        self,
        name: str,
        default: int | None = None,
        maximum: int = jsontext.MAX_INTEGER,
    ) -> int:
        """Return a non-negative integer that is not above a maximum."""
        field_value = self.number(name, default)
        if field_value != int(field_value):
            raise FieldError("not an integer", f"{self.path}.{name}")
        if field_value > maximum:
            raise FieldError(f"greater than {maximum}", f"{self.path}.{name}")
        return int(field_value)

    def ip_address(self, name: str) -> settings_module.Address:
        """Return an address given as ``IP:PORT``; names are not resolved."""
        host, _, port = self.string(name).rpartition(":")
        try:
            parsed = ipaddress.ip_address(host)
        except ValueError:
            parsed = None
        if (
            parsed is None
            or not _PORT.fullmatch(port)
            or not 0 < int(port) < 65536
        ):
            raise FieldError("not an IP:PORT address", f"{self.path}.{name}")
        return settings_module.Address(str(parsed), int(port))

    def boolean(self, name: str, default: bool = False) -> bool:
        """Return a boolean."""
        field_value = self.value.get(name, default)
        if not isinstance(field_value, bool):
            raise FieldError("not a boolean", f"{self.path}.{name}")
        return field_value

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self.value.get(name) is not None

    def items(self, name: str) -> Iterator[tuple[Any, str]]:
        """Yield the items of a list with their paths.

        A missing or null field counts as an empty list.
        """
        field_value = self.value.get(name)
        if field_value is None:
            return
        path = f"{self.path}.{name}"
        if not isinstance(field_value, list):
            raise FieldError("not a list", path)
        for index, item in enumerate(field_value):
            yield item, f"{path}[{index}]"

    def objects(self, name: str) -> Iterator["Fields"]:
        """Yield the objects of a list; none if the field is missing."""
        for item, path in self.items(name):
            yield Fields(item, path)

    def child(self, name: str) -> "Fields":
        """Return a nested object."""
        return Fields(self.value.get(name), f"{self.path}.{name}")


__all__ = ["FieldError", "Fields"]
