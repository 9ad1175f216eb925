"""Typed reading of decoded JSON; errors name the path."""

from typing import Any

from primrosehitch import errors


class FieldError(errors.PrimrosehitchError):
    """A document lacks a field or holds one of another type.

    Args:
        path: where in the document, e.g. ``$.routes[0].host``.
    """

    def __init__(self, text: str, path: str):
        self.path = path
        super().__init__(f"{path}: {text}", "decode")


class Fields:
    """One object of a document.

    Args:
        value: what was decoded.
        path: where it stands.

    Raises:
        FieldError: the value is no object.
    """

    def __init__(self, value: Any, path: str = "$"):
        if not isinstance(value, dict):
            raise FieldError("not an object", path)
        self.value = value
        self.path = path

    def string(self, name: str, default: str | None = None) -> str:
        """Return a text that is not empty."""
        found = self.value.get(name, default)
        if found is default and default is not None:
            return default
        if not isinstance(found, str) or not found:
            raise FieldError("not a text", f"{self.path}.{name}")
        return found

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number that is not negative."""
        found = self.value.get(name, default)
        is_number = isinstance(found, (int, float)) and not isinstance(
            found, bool
        )
        if not is_number or not 0 <= found < float("inf"):
            raise FieldError("not a number from 0", f"{self.path}.{name}")
        return found

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number that is not negative."""
        found = self.number(name, default)
        if found != int(found):
            raise FieldError("not a whole number", f"{self.path}.{name}")
        return int(found)

    def boolean(self, name: str, default: bool = False) -> bool:
        """Return true or false."""
        found = self.value.get(name, default)
        if not isinstance(found, bool):
            raise FieldError("not true or false", f"{self.path}.{name}")
        return found

    def has(self, name: str) -> bool:
        """Return whether a field is there and not null."""
        return self.value.get(name) is not None

    def items(self, name: str) -> list[tuple[Any, str]]:
        """Return a list's values with their paths; empty if missing."""
        found = self.value.get(name)
        if found is None:
            return []
        path = f"{self.path}.{name}"
        if not isinstance(found, list):
            raise FieldError("not a list", path)
        return [(item, f"{path}[{i}]") for i, item in enumerate(found)]

    def objects(self, name: str) -> list["Fields"]:
        """Return a list's objects; empty if missing."""
        return [Fields(item, path) for item, path in self.items(name)]

    def child(self, name: str) -> "Fields":
        """Return an object within this one."""
        return Fields(self.value.get(name), f"{self.path}.{name}")


__all__ = ["FieldError", "Fields"]
