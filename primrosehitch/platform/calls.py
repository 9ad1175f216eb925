"""Calls of engines and operators to a control instance."""

import json
from typing import Any

from primrosehitch import control as control_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import httpserver
from primrosehitch import messages
from primrosehitch import registry
from primrosehitch import settings as settings_module
from primrosehitch.platform import fields
from primrosehitch.platform import tables

HEARTBEAT = "/-/Instances.Heartbeat/"
LEAVE = "/-/Instances.Leave/"
PUT = "/-/Config.Put"
GET = "/-/Config.Get"
STATES = {"ready": registry.READY, "draining": registry.DRAINING}
JSON = [(b"content-type", b"application/json")]


def read_heartbeat(identifier: str, body: bytes) -> messages.EndpointRecord:
    """Return what an engine says of itself.

    Raises:
        FieldError: the body is no heartbeat.
    """
    item = fields.Fields(_decoded(body))
    state = STATES.get(item.text("state"))
    if state is None:
        raise fields.FieldError("no such state", "$.state")
    address = item.text("address")
    try:
        parsed = settings_module.parse_address(address)
    except ValueError as exc:
        raise fields.FieldError("not an address", "$.address") from exc
    if not parsed.host or not 0 < parsed.port < 65536:
        raise fields.FieldError("not an address", "$.address")
    return messages.EndpointRecord(
        id=identifier,
        # When the engine started, not when it was first heard.
        born=item.whole("born", 0),
        sequence=item.whole("seq"),
        service=item.text("service"),
        address=address,
        domain=item.text("zone"),
        slots=item.whole("slots"),
        state=state,
        spot=item.flag("spot"),
        leaves_ms=int(item.number("leaves_ms", 0)),
    )


def _decoded(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise fields.FieldError(f"not JSON: {exc}", "$") from exc


class ControlCalls:
    """Answers the calls.

    Args:
        control: the control instance.
    """

    def __init__(self, control: control_module.Control):
        self.control = control

    async def serve(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        """Answer one call."""
        path = request.path
        try:
            if request.method == "POST" and path.startswith(HEARTBEAT):
                self._heartbeat(path[len(HEARTBEAT) :], request, responder)
            elif request.method == "POST" and path.startswith(LEAVE):
                self._leave(path[len(LEAVE) :], request, responder)
            elif request.method == "POST" and path == PUT:
                await self._put(request, responder)
            elif request.method == "GET" and path == GET:
                await self._get(responder)
            else:
                _refuse(responder, 404, "no such call")
        except errors.PrimrosehitchError as exc:
            events.emit(events.CALL_REFUSED, call=path, error=str(exc))
            _refuse(responder, 400, str(exc))

    def _heartbeat(
        self,
        identifier: str,
        request: httpserver.Request,
        responder: httpserver.Responder,
    ) -> None:
        record = read_heartbeat(identifier, request.body)
        self.control.hear_endpoint(record)
        responder.respond(200, JSON, b"{}")

    def _leave(
        self,
        identifier: str,
        request: httpserver.Request,
        responder: httpserver.Responder,
    ) -> None:
        born = 0
        if request.body:
            born = fields.Fields(_decoded(request.body)).whole("born", 0)
        self.control.endpoint_left(identifier, born)
        responder.respond(200, JSON, b"{}")

    async def _put(
        self, request: httpserver.Request, responder: httpserver.Responder
    ) -> None:
        table = tables.decode(request.body)
        if await self.control.put_table(table.version, request.body):
            responder.respond(200, JSON, b"{}")
        else:
            _refuse(responder, 503, "no quorum answered in time")

    async def _get(self, responder: httpserver.Responder) -> None:
        table = await self.control.confirmed()
        if table is None or not table.version:
            _refuse(responder, 503, "the newest version is not known here")
        else:
            responder.respond(200, JSON, table.body)


def _refuse(responder: httpserver.Responder, status: int, text: str) -> None:
    responder.respond(status, JSON, json.dumps({"error": text}).encode())


__all__ = ["ControlCalls", "read_heartbeat"]
