"""HTTP API of a control instance for engines and operators.

Engines send heartbeats and say when they leave; operators replace and
read the route table and evacuate zones:

    POST /-/Instances.Heartbeat/ID
    POST /-/Instances.Leave/ID
    POST /-/Config.Put
    GET /-/Config.Get
    POST /-/Evacuate.Start/ZONE
    POST /-/Evacuate.End/ZONE
    GET /-/Evacuate.List

ZONE is percent-encoded UTF-8. Every answer is a JSON object; an error has
the field ``error``. A call whose body is too large is refused with 413 before
the body is read.
"""

import json
import math
import re
from typing import Any
from urllib import parse

import anyio
import anyio.to_thread

from primrosehitch import control as control_module
from primrosehitch import errors
from primrosehitch import evacuationorders
from primrosehitch import evacuations
from primrosehitch import events
from primrosehitch import httpserver
from primrosehitch import instance as instance_module
from primrosehitch import jsontext
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch.platform import fields
from primrosehitch.platform import tables

HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
LEAVE_PATH = "/-/Instances.Leave/"
CONFIG_PUT_PATH = "/-/Config.Put"
CONFIG_GET_PATH = "/-/Config.Get"
EVACUATE_START_PATH = "/-/Evacuate.Start/"
EVACUATE_END_PATH = "/-/Evacuate.End/"
EVACUATE_LIST_PATH = "/-/Evacuate.List"
MALFORMED_ESCAPE = re.compile(r"%(?![0-9A-Fa-f]{2})")
STATES = {"ready": registry.READY, "draining": registry.DRAINING}
# The range of the field in our messages.
MAX_SLOTS = (1 << 32) - 1
# A longer time until an endpoint is warm is taken for this one.
MAX_COLD_LEFT_MS = 600_000
# Characters of a name that an endpoint reports; every instance keeps it.
MAX_NAME_LENGTH = 1024
MAX_LOGGED_VALUE = 40
JSON_HEADERS = [(b"content-type", b"application/json")]


def parse_heartbeat(identifier: str, body: bytes) -> messages.EndpointRecord:
    """Return the endpoint record of an engine's heartbeat.

    Args:
        identifier: the engine's identifier, from the path.
        body: the heartbeat, a JSON object.

    Raises:
        FieldError: a field is missing or invalid.
    """
    _check_identifier(identifier)
    item = fields.Fields(_decode_json(body))
    state = STATES.get(item.string("state"))
    if state is None:
        raise fields.FieldError("not a known state", "$.state")
    cold_left_ms = _parse_cold_left_ms(identifier, item)
    return messages.EndpointRecord(
        id=identifier,
        # Start of the engine's process, not its first heartbeat: it
        # tells restarts apart.
        born=item.integer("born", 0),
        sequence=item.integer("seq"),
        service=item.string("service", maximum=MAX_NAME_LENGTH),
        address=str(item.ip_address("address")),
        domain=item.string("zone", maximum=MAX_NAME_LENGTH),
        slots=item.integer("slots", maximum=MAX_SLOTS),
        state=state,
        spot=item.boolean("spot"),
        leaves_ms=int(item.number("leaves_ms", 0)),
        version=item.string("version", "", MAX_NAME_LENGTH),
        cold_left_ms=cold_left_ms or 0,
        reports_cold=cold_left_ms is not None,
    )


def _check_identifier(identifier: str) -> None:
    """Check the identifier in the path of an engine's call.

    Raises:
        FieldError: it is too long.
    """
    if len(identifier) > MAX_NAME_LENGTH:
        raise fields.FieldError(
            f"identifier longer than {MAX_NAME_LENGTH} characters", "path"
        )


def parse_zone(text: str) -> str:
    """Return the zone that the path of a call names.

    Args:
        text: the rest of the path, each byte as one character.

    Raises:
        DomainNameError: it is not percent-encoded UTF-8, or no name of a
            zone.
    """
    if "/" in text or MALFORMED_ESCAPE.search(text):
        raise evacuations.DomainNameError("the zone is not percent-encoded")
    try:
        zone = parse.unquote_to_bytes(text.encode("latin-1")).decode()
    except UnicodeDecodeError as exc:
        raise evacuations.DomainNameError("the zone is not UTF-8") from exc
    evacuations.require_domain_name(zone)
    return zone


def _parse_cold_left_ms(identifier: str, item: fields.Fields) -> int | None:
    """Return for how long an engine stays cold, None if it does not say.

    A negative time changes nothing else: without its heartbeats the engine
    would get no requests at all.

    Raises:
        FieldError: the field is no number.
    """
    cold_left_ms = item.value.get("cold_left_ms")
    if isinstance(cold_left_ms, (int, float)) and cold_left_ms < 0:
        value = repr(cold_left_ms)[:MAX_LOGGED_VALUE]
        events.emit(events.COLD_MALFORMED, endpoint=identifier, value=value)
        return None
    if "cold_left_ms" not in item.value:
        return None
    return math.ceil(min(item.number("cold_left_ms"), MAX_COLD_LEFT_MS))


def _decode_version(body: bytes) -> int:
    """Return the version of a table whose other fields are valid."""
    return tables.decode(body).version


def _decode_json(body: bytes) -> Any:
    try:
        return jsontext.loads(body)
    except jsontext.JsonError as exc:
        raise fields.FieldError(exc.text, "$") from exc


class ControlApi:
    """Handles the HTTP requests of engines and operators.

    Args:
        control: the control instance that the requests read or change.
        bounds: largest bodies of the calls.

    Attributes:
        stopping: whether all further requests are refused, because the
            instance stops; callers then try another one.
        table_checks: lets one large table be checked at a time.
    """

    def __init__(
        self,
        control: control_module.ControlInstance,
        bounds: instance_module.CallBounds = instance_module.CallBounds(),
    ):
        self.control = control
        self.bounds = bounds
        self.stopping = False
        self.table_checks = anyio.CapacityLimiter(1)

    def max_body_bytes(self, method: str, target: bytes) -> int:
        """Return the largest body of a call.

        Args:
            method: its method, in upper case.
            target: its path and query.
        """
        path = target.partition(b"?")[0].decode("latin-1")
        if method == "POST" and path == CONFIG_PUT_PATH:
            return self.bounds.table_bytes
        return self.bounds.report_bytes

    async def serve(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Handle one request."""
        path = request.path
        if self.stopping:
            _refuse(responder, 503, "the instance is stopping")
            return
        try:
            if request.method == "POST" and path.startswith(HEARTBEAT_PATH):
                self._handle_heartbeat(
                    path[len(HEARTBEAT_PATH) :], request, responder
                )
            elif request.method == "POST" and path.startswith(LEAVE_PATH):
                self._handle_leave(path[len(LEAVE_PATH) :], request, responder)
            elif request.method == "POST" and path == CONFIG_PUT_PATH:
                await self._handle_put(request, responder)
            elif request.method == "GET" and path == CONFIG_GET_PATH:
                await self._handle_get(responder)
            elif request.method == "POST" and path.startswith(
                EVACUATE_START_PATH
            ):
                zone = parse_zone(path[len(EVACUATE_START_PATH) :])
                await self._handle_evacuation(zone, True, responder)
            elif request.method == "POST" and path.startswith(
                EVACUATE_END_PATH
            ):
                zone = parse_zone(path[len(EVACUATE_END_PATH) :])
                await self._handle_evacuation(zone, False, responder)
            elif request.method == "GET" and path == EVACUATE_LIST_PATH:
                await self._handle_evacuations(responder)
            else:
                _refuse(responder, 404, "no call with this method and path")
        except errors.PrimrosehitchError as exc:
            events.emit(events.CALL_REFUSED, call=path, error=str(exc))
            _refuse(responder, 400, str(exc))

    def _handle_heartbeat(
        self,
        identifier: str,
        request: httpserver.Request,
        responder: httpserver.Responder,
    ) -> None:
        record = parse_heartbeat(identifier, request.body)
        self.control.record_heartbeat(record)
        responder.respond(200, JSON_HEADERS, b"{}")

    def _handle_leave(
        self,
        identifier: str,
        request: httpserver.Request,
        responder: httpserver.Responder,
    ) -> None:
        _check_identifier(identifier)
        born = 0
        if request.body:
            born = fields.Fields(_decode_json(request.body)).integer("born", 0)
        self.control.record_departure(identifier, born)
        responder.respond(200, JSON_HEADERS, b"{}")

    async def _handle_put(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        version = await self._read_version(request.body)
        if await self.control.put_table(version, request.body):
            responder.respond(200, JSON_HEADERS, b"{}")
        else:
            _refuse(responder, 503, "no quorum confirmed the table in time")

    async def _read_version(self, body: bytes) -> int:
        """Return the version of a route table that an operator sends.

        A large table is checked in another thread: the heartbeats, the lease
        and the other callers of the instance do not wait for it.

        Raises:
            TableError: the routes do not match the services.
            FieldError: a field is missing or invalid.
        """
        if len(body) <= jsontext.MAX_UNDIVIDED_BYTES:
            return _decode_version(body)
        return await anyio.to_thread.run_sync(
            _decode_version, body, limiter=self.table_checks
        )

    async def _handle_get(self, responder: httpserver.Responder) -> None:
        table = await self.control.read_confirmed_table()
        if table is None or not table.version:
            _refuse(responder, 503, "no table confirmed by a quorum in time")
        else:
            responder.respond(200, JSON_HEADERS, table.body)

    async def _handle_evacuation(
        self, zone: str, evacuated: bool, responder: httpserver.Responder
    ) -> None:
        outcome = await self.control.evacuation_orders.place(zone, evacuated)
        if outcome is evacuationorders.Outcome.CONFIRMED:
            responder.respond(200, JSON_HEADERS, b"{}")
        elif outcome is evacuationorders.Outcome.TOO_MANY:
            _refuse(responder, 409, "too many zones are evacuated")
        else:
            _refuse(responder, 503, "no quorum confirmed the order in time")

    async def _handle_evacuations(
        self, responder: httpserver.Responder
    ) -> None:
        confirmed = await self.control.read_confirmed_evacuations()
        if confirmed is None:
            _refuse(responder, 503, "no quorum confirmed the state in time")
            return
        document = {
            "version": confirmed.version,
            "zones": list(confirmed.listed()),
        }
        responder.respond(200, JSON_HEADERS, json.dumps(document).encode())


def _refuse(responder: httpserver.Responder, status: int, text: str) -> None:
    responder.respond(
        status, JSON_HEADERS, json.dumps({"error": text}).encode()
    )


__all__ = ["ControlApi", "parse_heartbeat", "parse_zone"]
