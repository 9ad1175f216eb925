"""JSON with comments: reading, and checking against a schema."""

import functools
import json
import pathlib
from typing import Any

from primrosehitch import errors


def loads(text: str, source: str) -> Any:
    """Return the value of a JSON text that may hold comments.

    Args:
        text: the document.
        source: its name for errors.

    Raises:
        SettingsError: the text is not JSON with comments.
    """
    try:
        return json.loads(text)
    except ValueError:
        # Comments are rare; the slower reader looks at the text again.
        import json5
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise errors.SettingsError(
            f"not JSON with comments: {exc}", "read", source
        ) from exc


def read(path: pathlib.Path) -> Any:
    """Return the value of a file of JSON with comments.

    Raises:
        SettingsError: the file cannot be read or is not JSON.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(str(exc), "read", str(path)) from exc
    return loads(text, str(path))


@functools.cache
def _validator(name: str) -> Any:
    # Imported late: programs that check nothing start sooner.
    import jsonschema

    folder = pathlib.Path(__file__).parent / "schema"
    schema = json.loads((folder / f"{name}.schema.json").read_text())
    return jsonschema.Draft202012Validator(schema)


def check(value: Any, schema: str, source: str) -> None:
    """Check a value against one of the committed schemas.

    Args:
        value: a decoded document.
        schema: ``settings``, ``declaration`` or ``instance``.
        source: the document's name for errors.

    Raises:
        SettingsError: names the path and what was expected.
    """
    validator = _validator(schema)
    from jsonschema import exceptions

    error = exceptions.best_match(validator.iter_errors(value))
    if error is not None:
        text = error.message
        if len(text) > 200:
            text = text[:200] + "..."
        raise errors.SettingsError(
            text, f"check {schema}", source, error.json_path
        )


__all__ = ["check", "loads", "read"]
