"""Write primrosehitch/messages.py from schema/messages.capnp.

The schema is read through pycapnp's reflection. Each struct becomes a
``NamedTuple`` with defaults, and a writer and a reader for its fields.
"""

import pathlib
import re

import capnp

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "primrosehitch" / "schema" / "messages.capnp"
TARGET = ROOT / "primrosehitch" / "messages.py"

SCALARS = {
    "text": ("str", '""'),
    "data": ("bytes", 'b""'),
    "bool": ("bool", "False"),
    "uint16": ("int", "0"),
    "uint32": ("int", "0"),
    "uint64": ("int", "0"),
    "float32": ("float", "0.0"),
}

HEADER = '''"""Messages and log records, generated from schema/messages.capnp.

Do not edit: run ``make messages``. Each message is a ``NamedTuple``;
``encode`` and ``decode`` turn one into packed Cap'n Proto bytes and back.
"""

import pathlib
from typing import Any
from typing import NamedTuple

import capnp

from primrosehitch import errors

_SCHEMA = pathlib.Path(__file__).parent / "schema" / "messages.capnp"
_capnp: Any = capnp.load(str(_SCHEMA))
_READ_LIMIT_WORDS = 1 << 28


'''

FOOTER = '''
def encode(message: Any) -> bytes:
    """Return the packed bytes of a message.

    Args:
        message: one of the ``NamedTuple`` types of this module.

    Returns:
        Packed Cap'n Proto bytes, without a length or a kind.

    Raises:
        MessageError: a text is not Unicode, a number is out of its range,
            or a value has another type.
    """
    struct, write, _ = _CODECS[type(message)]
    builder = struct.new_message()
    try:
        write(builder, message)
    except (ValueError, TypeError, OverflowError, capnp.KjException) as exc:
        kind = type(message).__name__
        raise errors.MessageError(str(exc), kind) from exc
    return builder.to_bytes_packed()


def decode(kind: type, data: bytes) -> Any:
    """Return the message of a type that packed bytes hold.

    Args:
        kind: the ``NamedTuple`` type expected.
        data: packed bytes made by ``encode``.

    Returns:
        An instance of ``kind``.

    Raises:
        ValueError: the bytes do not hold such a message.
    """
    struct, _, read = _CODECS[kind]
    try:
        reader = struct.from_bytes_packed(
            data, traversal_limit_in_words=_READ_LIMIT_WORDS
        )
        return read(reader)
    except (capnp.KjException, UnicodeDecodeError) as exc:
        raise ValueError(f"not a {kind.__name__}: {exc}") from exc
'''


def snake(name):
    return re.sub(r"([A-Z])", lambda m: "_" + m.group(1).lower(), name)


def describe(field):
    """Return (annotation, default, writer, reader) of one field."""
    name = field.proto.name
    py = snake(name)
    kind = field.proto.slot.type.which()
    if kind != "list":
        annotation, default = SCALARS[kind]
        if kind.startswith("uint"):
            default = str(getattr(field.proto.slot.defaultValue, kind))
        read = f"bytes(r.{name})" if kind == "data" else f"r.{name}"
        return annotation, default, f"b.{name} = m.{py}", read
    element = field.proto.slot.type.list.elementType
    if element.which() == "text":
        write = f"b.{name} = list(m.{py})"
        return "tuple[str, ...]", "()", write, f"tuple(r.{name})"
    item = field.schema.elementType.node.displayName.split(":")[-1]
    write = (
        f'items = b.init("{name}", len(m.{py}))\n'
        f"    for i, item in enumerate(m.{py}):\n"
        f"        _write_{snake(item).lstrip('_')}(items[i], item)"
    )
    read = f"tuple(_read_{snake(item).lstrip('_')}(x) for x in r.{name})"
    return f'tuple["{item}", ...]', "()", write, read


def render(name, struct):
    low = snake(name).lstrip("_")
    fields = [(f.proto.name, describe(f)) for f in struct.schema.fields_list]
    lines = [f"class {name}(NamedTuple):"]
    lines.append(f'    """Message ``{name}`` of the schema."""\n')
    for field, (annotation, default, _, _) in fields:
        lines.append(f"    {snake(field)}: {annotation} = {default}")
    lines.append(f"\n\ndef _write_{low}(b: Any, m: {name}) -> None:")
    lines.extend(f"    {write}" for _, (_, _, write, _) in fields)
    lines.append(f"\n\ndef _read_{low}(r: Any) -> {name}:")
    lines.append(f"    return {name}(")
    lines.extend(f"        {read}," for _, (_, _, _, read) in fields)
    lines.append("    )\n\n")
    return "\n".join(lines)


def generate():
    """Return the text of the generated module."""
    loaded = capnp.load(str(SCHEMA))
    names = re.findall(r"^struct (\w+)", SCHEMA.read_text(), re.M)
    parts = [HEADER]
    parts.extend(render(n, getattr(loaded, n)) + "\n" for n in names)
    parts.append("_CODECS: dict[type, tuple[Any, Any, Any]] = {\n")
    for name in names:
        low = snake(name).lstrip("_")
        parts.append(
            f"    {name}: (_capnp.{name}, _write_{low}, _read_{low}),\n"
        )
    parts.append("}\n\nKINDS: dict[int, type] = {\n")
    for number, name in enumerate(names, 1):
        parts.append(f"    {number}: {name},\n")
    parts.append("}\n\nNUMBERS = {kind: n for n, kind in KINDS.items()}\n")
    parts.append("BY_NAME = {kind.__name__: kind for kind in NUMBERS}\n\n")
    parts.append(FOOTER)
    parts.append("\n\n__all__ = [\n")
    exported = sorted(names + ["encode", "decode", "KINDS", "NUMBERS"])
    parts.extend(f'    "{n}",\n' for n in exported + ["BY_NAME"])
    parts.append("]\n")
    return "".join(parts)


def main():
    TARGET.write_text(generate())


if __name__ == "__main__":
    main()
