"""Reads JSON with comments and validates it against a JSON schema.

The schemas are the files ``schema/*.schema.json`` of this package.
"""

import functools
import json
import pathlib
from typing import Any

from primrosehitch import errors


def loads(text: str, source: str) -> Any:
    """Decode a JSON text that may contain comments.

    Args:
        text: the document.
        source: the name of the document, used in errors.

    Raises:
        SettingsError: the text is not JSON with comments.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        # Few documents contain comments, so the slower json5 parser is
        # imported and used only where the standard parser fails.
        import json5
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        raise errors.SettingsError(
            f"not JSON with comments: {exc}", "read", source
        ) from exc


def read(path: pathlib.Path) -> Any:
    """Read and decode a file of JSON with comments.

    Raises:
        SettingsError: the file cannot be read or is not JSON with comments.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(str(exc), "read", str(path)) from exc
    return loads(text, str(path))


@functools.cache
def _validator(name: str) -> Any:
    # Imported here so that programs that validate nothing start faster.
    import jsonschema

    folder = pathlib.Path(__file__).parent / "schema"
    schema = json.loads((folder / f"{name}.schema.json").read_text())
    return jsonschema.Draft202012Validator(schema)


def check(value: Any, schema: str, source: str) -> None:
    """Validate a value against one of the package's schemas.

    Args:
        value: a decoded document.
        schema: ``settings``, ``declaration`` or ``instance``.
        source: the name of the document, used in errors.

    Raises:
        SettingsError: the value is not valid. The error names the path
            and what was expected.
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
