"""Checks the operators' declaration and converts it to table rows.

A declaration is one JSON document that operators keep under version
control. Each of its items becomes a row of a table; an edit is the
difference between two sets of rows. The grants, one row per class and
customer, can also be read from and written to CSV.
"""

import csv
import io
import json
from typing import Any
from typing import Iterable

from primrosehitch import documents
from primrosehitch import errors
from primrosehitch import jsonc
from primrosehitch import messages

TABLE_BY_SECTION = {
    "classes": "class",
    "customers": "customer",
    "models": "model",
    "routes": "route",
    "pools": "pool",
}
GRANT_TABLE = "grant"
DECLARED_TABLES = (*TABLE_BY_SECTION.values(), GRANT_TABLE)
GRANT_FIELDS = (
    "customer",
    "class",
    "weight",
    "requests_per_s",
    "concurrency",
    "tokens_per_min",
)
CHECK_STEP = "check declaration"

RowKey = tuple[str, str]


def validate(document: Any, source: str) -> documents.Declaration:
    """Return a document as a declaration after checking it.

    Checks the document against the schema and that every name it refers to
    is declared.

    Args:
        document: the decoded JSON document.
        source: the name of the document in errors.

    Raises:
        SettingsError: The document is invalid; the error names the path in
            the document and the problem.
    """
    jsonc.check(document, "declaration", source)
    seen = set()
    for i, grant in enumerate(document["grants"]):
        path = f"$.grants[{i}]"
        _require_declared(
            document["customers"], grant["customer"], path, source
        )
        _require_declared(document["classes"], grant["class"], path, source)
        pair = (grant["customer"], grant["class"])
        if pair in seen:
            raise errors.SettingsError(
                f"the grant {pair} is declared twice",
                CHECK_STEP,
                source,
                path,
            )
        seen.add(pair)
    for name, route in document.get("routes", {}).items():
        path = f"$.routes.{name}"
        _require_declared(document["classes"], route["class"], path, source)
    return document


def _require_declared(
    declared_names: Any, name: str, path: str, source: str
) -> None:
    if name not in declared_names:
        raise errors.SettingsError(
            f"{name!r} is not declared", CHECK_STEP, source, path
        )


def to_rows(document: documents.Declaration) -> dict[RowKey, str]:
    """Return the rows of a declaration: JSON text by table and key."""
    rows: dict[RowKey, str] = {}
    for section, table in TABLE_BY_SECTION.items():
        for name, value in document.get(section, {}).items():
            rows[table, name] = _canonical_json(value)
    for grant in document["grants"]:
        key = f"{grant['customer']}/{grant['class']}"
        rows[GRANT_TABLE, key] = _canonical_json(grant)
    return rows


def from_rows(rows: Iterable[messages.Row]) -> documents.Declaration:
    """Return the declaration that is stored in rows.

    Deleted rows and rows of other tables are skipped.
    """
    document: Any = {section: {} for section in TABLE_BY_SECTION}
    document["grants"] = []
    section_by_table = {
        table: section for section, table in TABLE_BY_SECTION.items()
    }
    for row in sorted(rows, key=lambda r: (r.table, r.key)):
        if row.deleted:
            continue
        if row.table in section_by_table:
            document[section_by_table[row.table]][row.key] = json.loads(
                row.value
            )
        elif row.table == GRANT_TABLE:
            document["grants"].append(json.loads(row.value))
    return document


def diff_rows(
    old: dict[RowKey, str], new: dict[RowKey, str]
) -> tuple[messages.Row, ...]:
    """Return the rows to write, deletions last, to turn old into new.

    Args:
        old: the rows of the present declaration.
        new: the rows of the wanted declaration.
    """
    changed = [
        messages.Row(table, key, value)
        for (table, key), value in sorted(new.items())
        if old.get((table, key)) != value
    ]
    deletions = [
        messages.Row(table, key, "", deleted=True)
        for table, key in sorted(old)
        if (table, key) not in new
    ]
    return tuple(changed + deletions)


def grants_to_csv(document: documents.Declaration) -> str:
    """Return the grants of a declaration as CSV with a header line."""
    out = io.StringIO()
    writer = csv.DictWriter(out, GRANT_FIELDS, lineterminator="\n")
    writer.writeheader()
    writer.writerows(document["grants"])
    return out.getvalue()


def grants_from_csv(text: str, source: str) -> list[Any]:
    """Return the grants that a CSV text contains.

    Empty fields are left out of a grant.

    Args:
        text: CSV with a header line.
        source: the name of the file in errors.

    Raises:
        SettingsError: The header has an unknown column or is missing, a
            line has the wrong number of columns, or a value is not a
            number.
    """
    grants = []
    reader = csv.DictReader(io.StringIO(text))
    unknown = set(reader.fieldnames or ()) - set(GRANT_FIELDS)
    if unknown or not reader.fieldnames:
        raise errors.SettingsError(
            f"unknown or missing columns {sorted(unknown)}", "csv", source
        )
    for i, line in enumerate(reader):
        grants.append(_parse_grant(line, f"$.grants[{i}]", source))
    return grants


def _parse_grant(line: dict[str, Any], path: str, source: str) -> Any:
    grant: dict[str, Any] = {}
    for field, text in line.items():
        if field is None or text is None:
            raise errors.SettingsError(
                "wrong number of columns", "csv", source, path
            )
        if text == "":
            continue
        if field in ("customer", "class"):
            grant[field] = text
            continue
        try:
            number = float(text)
        except ValueError:
            raise errors.SettingsError(
                f"{text!r} is not a number", "csv", source, f"{path}.{field}"
            ) from None
        whole = field == "concurrency" and number.is_integer()
        grant[field] = int(number) if whole else number
    return grant


def _canonical_json(value: Any) -> str:
    """Return the JSON text of a row, the same for 3 and 3.0."""
    normalized = {
        k: int(v) if isinstance(v, float) and v.is_integer() else v
        for k, v in value.items()
    }
    return json.dumps(normalized, sort_keys=True, separators=(",", ":"))


__all__ = [
    "GRANT_FIELDS",
    "validate",
    "diff_rows",
    "from_rows",
    "grants_from_csv",
    "grants_to_csv",
    "to_rows",
]
