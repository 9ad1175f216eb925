"""The operators' command line, a thin layer over ``porcelain``.

Fire builds the commands from the public methods below: their names and
parameters are the commands and flags, and their docstrings the help texts.
"""

import json
import os
import pathlib
import sys
from typing import Any

import fire

from primrosehitch import declaration as declaration_module
from primrosehitch import errors
from primrosehitch import instance as instance_module
from primrosehitch import jsonc
from primrosehitch import porcelain
from primrosehitch import settings as settings_module
from primrosehitch import tracing
from primrosehitch.platform import evacuate

GATEWAY_VARIABLE = "PRIMROSEHITCH_GATEWAY"
CONTROL_VARIABLE = "PRIMROSEHITCH_CONTROL"
KEY_VARIABLE = "PRIMROSEHITCH_KEY"
BURN_COLUMNS = (
    "class_name",
    "tier",
    "objective",
    "requests",
    "refused",
    "incomplete",
    "attainment",
    "burn_short",
    "burn_long",
    "goodput_tokens_s",
    "wasted_tokens",
    "first_token_p95_ms",
    "worst_customer",
    "worst_attainment",
)
CHANGE_COLUMNS = ("table", "key", "from", "to")


def _target(gateway: str) -> porcelain.Target:
    address = gateway or os.environ.get(GATEWAY_VARIABLE, "")
    if not address:
        raise errors.PrimrosehitchError(
            "no gateway given: pass --gateway IP:PORT or set"
            f" {GATEWAY_VARIABLE}",
            "cli",
        )
    return porcelain.Target(address, os.environ.get(KEY_VARIABLE, ""))


def _control(control: str) -> porcelain.Target:
    address = control or os.environ.get(CONTROL_VARIABLE, "")
    if not address:
        raise errors.PrimrosehitchError(
            "no control instance given: pass --control IP:PORT or set"
            f" {CONTROL_VARIABLE}",
            "cli",
        )
    return porcelain.Target(address, "")


def _to_json(value: Any) -> str:
    return json.dumps(value, indent=2)


class Keys:
    """Create, list and withdraw callers' keys."""

    def create(self, customer: str, gateway: str = "") -> str:
        """Create a key for CUSTOMER; it cannot be shown again later."""
        answer = porcelain.create_key(_target(gateway), str(customer))
        return _to_json(answer)

    def list(self, gateway: str = "") -> str:
        """Show all keys with their identifiers and customers."""
        rows = porcelain.list_keys(_target(gateway))
        return porcelain.format_table(
            rows, ("key_id", "customer", "withdrawn")
        )

    def withdraw(self, key_id: str, gateway: str = "") -> str:
        """Withdraw a key by its identifier or hash."""
        return _to_json(porcelain.withdraw_key(_target(gateway), str(key_id)))


class Report:
    """Show reports on service levels and usage."""

    def burn(
        self, gateway: str = "", as_json: bool = False, plot: str = ""
    ) -> str:
        """Show service-level burn; --plot FILE.png also draws a plot."""
        rows = porcelain.burn(_target(gateway))
        if plot:
            from primrosehitch import plots

            plots.draw_burn(rows, pathlib.Path(plot))
        return (
            _to_json(rows)
            if as_json
            else porcelain.format_table(rows, BURN_COLUMNS)
        )

    def usage(self, gateway: str = "") -> str:
        """Show the usage windows in the state of a replica."""
        return _to_json(porcelain.usage(_target(gateway)))


class Table:
    """Show the grants table, or convert it from and to CSV."""

    def show(self, gateway: str = "") -> str:
        """Show the grants in force."""
        document = porcelain.current_declaration(_target(gateway))[
            "declaration"
        ]
        return porcelain.format_table(
            document["grants"], declaration_module.GRANT_FIELDS
        )

    def export(self, file: str) -> str:
        """Print the grants of a declaration FILE as CSV."""
        document = porcelain.read_declaration(pathlib.Path(file))
        return declaration_module.grants_to_csv(document).rstrip()

    def load(self, file: str, csv: str) -> str:
        """Print the declaration FILE with its grants replaced from CSV."""
        document = jsonc.read(pathlib.Path(file))
        text = pathlib.Path(csv).read_text()
        document["grants"] = declaration_module.grants_from_csv(text, csv)
        return _to_json(declaration_module.validate(document, csv))


class Evacuation:
    """Keep requests from the endpoints of a failure domain.

    An order that fails can be repeated, at another control instance too.
    """

    def start(self, domain: str, control: str = "") -> str:
        """Start the evacuation of DOMAIN; it lasts until its end."""
        return _to_json(evacuate.start(_control(control), str(domain)))

    def end(self, domain: str, control: str = "") -> str:
        """End the evacuation of DOMAIN."""
        return _to_json(evacuate.end(_control(control), str(domain)))

    def list(self, control: str = "") -> str:
        """Show the evacuated failure domains."""
        return _to_json(evacuate.listed(_control(control)))


class Commands:
    """Operate a primrosehitch deployment.

    The gateway is taken from --gateway or PRIMROSEHITCH_GATEWAY, the
    operator's key from PRIMROSEHITCH_KEY, the control instance of
    evacuations from --control or PRIMROSEHITCH_CONTROL.
    """

    def __init__(self) -> None:
        self.keys = Keys()
        self.report = Report()
        self.table = Table()
        self.evacuation = Evacuation()

    def init(self, gateway: str = "", force: bool = False) -> str:
        """Bootstrap a new cluster on a replica, once per deployment."""
        return _to_json(porcelain.init(_target(gateway), force))

    def status(self, gateway: str = "") -> str:
        """Show an instance's view of itself and the other members."""
        return _to_json(porcelain.status(_target(gateway)))

    def endpoints(self, gateway: str = "") -> str:
        """Show the endpoints known to an instance."""
        rows = porcelain.endpoints(_target(gateway))
        fields = ("name", "domain", "kind", "cheap", "slots", "status")
        return porcelain.format_table(rows, fields)

    def orders(self, gateway: str = "") -> str:
        """Show the orders to the platform and their states."""
        rows = porcelain.orders(_target(gateway))
        fields = ("order_id", "verb", "domain", "kind", "cheap", "state")
        return porcelain.format_table(rows, fields)

    def plan(self, file: str, gateway: str = "") -> str:
        """Show what applying the declaration FILE would change."""
        document = porcelain.read_declaration(pathlib.Path(file))
        planned = porcelain.plan(_target(gateway), document)
        heading = f"base version {planned['base_version']}\n"
        return heading + porcelain.format_table(
            planned["changes"], CHANGE_COLUMNS
        )

    def apply(
        self,
        file: str,
        gateway: str = "",
        base_version: int | None = None,
        edit_id: str = "",
    ) -> str:
        """Apply the declaration FILE.

        With --base_version, it is rejected if another edit was applied
        after that version. To resend it after a lost answer, repeat the
        same --edit_id.
        """
        document = porcelain.read_declaration(pathlib.Path(file))
        answer = porcelain.apply(
            _target(gateway), document, base_version, str(edit_id)
        )
        return _to_json(answer)

    def check(self, file: str) -> str:
        """Validate a declaration FILE or a settings FILE of either kind."""
        path = pathlib.Path(file)
        document = jsonc.read(path)
        if isinstance(document, dict) and "classes" in document:
            declaration_module.validate(document, file)
        elif isinstance(document, dict) and "seeds" in document:
            instance_module.parse(document, file)
        else:
            settings_module.parse(document, file)
        return f"{file}: ok"

    def trace(self, request_id: str, *files: str) -> str:
        """Print the lines of log FILES on a request and its endpoints."""
        lines = []
        for file in files:
            text = pathlib.Path(file).read_text(errors="replace")
            lines += tracing.parse(pathlib.Path(file).name, text)
        return tracing.render(tracing.trace(str(request_id), lines))

    def hash_key(self, key: str) -> str:
        """Print the hash of an operator's key, for use in a settings file."""
        return settings_module.hash_key(str(key))


def main() -> None:
    """Run the command line."""
    try:
        fire.Fire(Commands, name="primrosehitch")
    except errors.RequestError as exc:
        print(_to_json(exc.body), file=sys.stderr)
        sys.exit(1)
    except errors.PrimrosehitchError as exc:
        sys.exit(f"primrosehitch: {exc}")


if __name__ == "__main__":
    main()
