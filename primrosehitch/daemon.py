"""The primrosehitchd daemon, which runs one instance.

It reads the settings file, starts all components, serves HTTP until a
signal arrives and then drains.
"""

import pathlib
import random
import signal
import sys
import time
from typing import Any

import anyio
import anyio.abc

from primrosehitch import catalog as catalog_module
from primrosehitch import claims as claims_module
from primrosehitch import clock
from primrosehitch import controller as controller_module
from primrosehitch import directory as directory_module
from primrosehitch import dispatcher as dispatcher_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import gateway as gateway_module
from primrosehitch import gossip as gossip_module
from primrosehitch import limits as limits_module
from primrosehitch import links as links_module
from primrosehitch import log as log_module
from primrosehitch import membership as membership_module
from primrosehitch import metrics
from primrosehitch import operators as operators_module
from primrosehitch import readiness as readiness_module
from primrosehitch import replicator as replicator_module
from primrosehitch import routing
from primrosehitch import server as server_module
from primrosehitch import settings as settings_module
from primrosehitch import timers
from primrosehitch import usage as usage_module
from primrosehitch import views as views_module
from primrosehitch import web

INBOX_CAPACITY_MESSAGES = 4096
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
FLUSH_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05


class Daemon:
    """Builds, connects and runs the components of one instance.

    Args:
        settings: the settings of the instance.
    """

    def __init__(self, settings: settings_module.Settings):
        self.settings = settings
        now = clock.now_ms()
        rng = random.Random()
        self.incarnation = time.time_ns() // 1000
        self.timers = timers.TimerService()
        self.server_ended = anyio.Event()
        send, self.inbox = anyio.create_memory_object_stream[
            links_module.Received
        ](INBOX_CAPACITY_MESSAGES)
        self.links = links_module.make_links(settings, self.incarnation, send)
        self.catalog = catalog_module.Catalog()
        self.directory = directory_module.Directory()
        self.readiness = readiness_module.Readiness(
            bool(settings.peers), int(settings.key_freshness_s * 1000), now
        )
        router = routing.Router(settings.domain, self.directory, rng)
        cell_peers = [p for p in settings.peers if p.cell == settings.cell]
        limits = limits_module.Limits(1 + len(cell_peers))
        self.dispatcher = dispatcher_module.Dispatcher(
            router, limits, settings.max_waiting
        )
        self.meter = usage_module.UsageMeter(settings.name, self.incarnation)
        self.replicator = self._open_replicator(rng)
        members = membership_module.Members(
            {p.name: p.domain for p in settings.peers if settings.linked(p)}
        )
        self.gossip = gossip_module.Gossip(
            settings.name,
            self.incarnation,
            self.links,
            members,
            self.catalog,
            self.directory,
            self.dispatcher,
            self.readiness,
            self.replicator,
            {p.name for p in settings.peers if p.cell == settings.cell},
        )
        self.claims = claims_module.Claims(
            settings.name,
            self.incarnation,
            self.gossip.proposer,
            self._is_holder_alive,
        )
        self.gateway = gateway_module.Gateway(
            settings,
            self.catalog,
            self.directory,
            self.dispatcher,
            self.readiness,
            self.claims,
            self.meter,
        )
        views = views_module.Views(
            settings, self.catalog, self.gossip, self.gateway, self.replicator
        )
        self.operator_api = operators_module.OperatorApi(
            settings, self.catalog, self.gossip, self.replicator, views
        )
        self.gossip.on_withdrawn = self.gateway.cancel_withdrawn_keys
        if self.replicator is not None:
            self.replicator.on_change = self.gossip.apply_replicated_state

    def _open_replicator(
        self, rng: random.Random
    ) -> replicator_module.Replicator | None:
        """Return the replicator, or None without a data folder."""
        folder = self.settings.data_folder
        if folder is None:
            return None
        log = log_module.open_disk_log(folder)
        replicator = replicator_module.Replicator(
            self.settings.name,
            log,
            self.links.send,
            rng,
            lambda: self.gossip.present_replicas(),
            self.settings.replicas_wanted,
        )
        if self.settings.bootstrap and replicator.is_empty:
            replicator.offer(replicator_module.Bootstrap(self.settings.name))
        return replicator

    def _is_holder_alive(self, gateway: str, incarnation: int) -> bool:
        """Return whether a gateway still runs with an incarnation."""
        if gateway == self.settings.name:
            return incarnation == self.incarnation
        member = self.gossip.members.members.get(gateway)
        if member is None or not self.gossip.members.is_alive(gateway):
            return False
        return member.heartbeat.incarnation == incarnation

    async def app(
        self, scope: dict[str, Any], receive: web.Receive, send: web.Send
    ) -> None:
        """Route an HTTP call to its handler; the ASGI application."""
        if scope["type"] != "http":
            return
        request_id = gateway_module.new_request_id(scope["headers"])
        call = web.make_call(scope, receive, send, request_id)
        path = call.path
        if path.startswith(("/admin/", "/endpoints/")):
            await self.operator_api.serve(call)
        elif path == "/v1/models":
            await self.gateway.list_models(call)
        elif path in ("/healthz", "/readyz", "/metrics"):
            await self._serve_probe(call)
        else:
            await self.gateway.serve(call)

    async def _serve_probe(self, call: web.Call) -> None:
        if call.path == "/metrics":
            self._set_gauges()
            content_headers = [(b"content-type", metrics.CONTENT_TYPE)]
            await web.answer(call, 200, metrics.exposition(), content_headers)
            return
        is_healthy = call.path == "/healthz"
        is_healthy = is_healthy or self.readiness.is_ready(clock.now_ms())
        status = 200 if is_healthy else 503
        await web.answer_json(call, status, {"ok": is_healthy})

    def _set_gauges(self) -> None:
        metrics.CONFIG_VERSION.set(self.catalog.version)
        is_leader = self.replicator is not None and self.replicator.is_leader()
        metrics.IS_LEADER.set(int(is_leader))
        metrics.ENDPOINTS.set(len(self.directory.endpoints))
        metrics.LINK_BYTES.set(self.links.sent_bytes)
        metrics.LINK_MESSAGES.set(self.links.sent_messages)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        server = server_module.make_server(self.app, self.settings.http)
        async with anyio.create_task_group() as group:
            group.start_soon(self._serve_forever, server, group.cancel_scope)
            group.start_soon(self.timers.run)
            group.start_soon(self.links.run)
            group.start_soon(self.gossip.run, self.timers, self.inbox)
            group.start_soon(self.dispatcher.run, self.timers)
            group.start_soon(self.gateway.upstream.run, self.timers)
            group.start_soon(self._flush_usage)
            group.start_soon(self.claims.run)
            if self.replicator is not None:
                group.start_soon(self.replicator.run, self.timers)
                controller = controller_module.Controller(
                    self.settings,
                    self.replicator,
                    self.gossip.proposer,
                    self.catalog,
                    self.directory,
                    self.dispatcher,
                )
                group.start_soon(controller.run, self.timers)
                self.gossip.apply_replicated_state()
            events.emit(events.STARTED, instance=self.settings.name)
            # Signals stay handled: another one must not cut the drain short.
            with anyio.open_signal_receiver(*STOP_SIGNALS) as self.signals:
                await self._wait_for_signal()
                await self._drain(server)
            group.cancel_scope.cancel()
        events.emit(events.STOPPED, instance=self.settings.name)

    async def _serve_forever(
        self, server: server_module.Server, scope: anyio.CancelScope
    ) -> None:
        """Run the HTTP server; stop the daemon if the server ends early."""
        await server.serve()
        self.server_ended.set()
        if not server.should_exit:
            scope.cancel()

    async def _wait_for_signal(self) -> None:
        async for _ in self.signals:
            return

    async def _drain(self, server: server_module.Server) -> None:
        """Drain this instance before it stops.

        It first reports that it is not ready, for a grace period in which
        load balancers can react. Then the server stops accepting
        connections and in-flight requests may end until the drain limit.
        """
        events.emit(events.DRAINING, instance=self.settings.name)
        self.readiness.draining = True
        await anyio.sleep(self.settings.drain_grace_s)
        server.should_exit = True
        with anyio.move_on_after(self.settings.drain_limit_s):
            # The server closes its listener some time after the flag is
            # set, and accepts connections until then.
            await self.server_ended.wait()
        with anyio.move_on_after(FLUSH_TIMEOUT_S):
            await self._flush_and_hand_over()
        self.gateway.upstream.close()

    async def _flush_and_hand_over(self) -> None:
        """Flush usage and claims, announce the stop, give up leadership."""
        while not self.meter.is_empty:
            await self._flush_batch()
        await self.claims.flush()
        self.gossip.leaving = True
        self.gossip.send_heartbeat()
        if self.replicator is None or not self.replicator.is_leader():
            return
        while self.replicator.is_leader() and self.settings.peers:
            self.replicator.offer(replicator_module.TransferLeadership())
            await anyio.sleep(POLL_INTERVAL_S)

    async def _flush_usage(self) -> None:
        """Flush the usage meter periodically."""
        period_ms = int(self.settings.usage_flush_s * 1000)
        async for _ in self.timers.subscribe(period_ms):
            while not self.meter.is_empty:
                if not await self._flush_batch():
                    break

    async def _flush_batch(self) -> bool:
        """Propose the next usage batch to the replicated log.

        Returns:
            Whether the meter may continue with the next batch. A batch
            whose proposal failed stays in the meter.
        """
        batch = self.meter.next_batch()
        if batch is None:
            return True
        try:
            mark = await self.gossip.proposer.propose(batch, FLUSH_TIMEOUT_S)
        except errors.ProposalError:
            return False
        self.meter.acknowledge(mark.sequence)
        return True


def main() -> None:
    """Run the daemon with the settings file given on the command line."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        sys.exit("usage: primrosehitchd SETTINGS_FILE")
    try:
        settings = settings_module.load(pathlib.Path(sys.argv[1]))
        _open_event_log(settings.log_file)
        daemon = Daemon(settings)
    except errors.PrimrosehitchError as exc:
        sys.exit(f"primrosehitchd: {exc}")
    options = {"use_uvloop": True}
    try:
        anyio.run(daemon.run, backend="asyncio", backend_options=options)
    except* (OSError, errors.PrimrosehitchError) as group:
        sys.exit(f"primrosehitchd: {_first_error_text(group)}")


def _first_error_text(group: BaseExceptionGroup) -> str:
    """Return the text of the first exception in nested groups."""
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return str(first)


def _open_event_log(name: str) -> None:
    """Open the event log; "-" names standard output."""
    if name == "-":
        events.open_log(sys.stdout)
        return
    path = pathlib.Path(name)
    path.parent.mkdir(parents=True, exist_ok=True)
    events.open_log(path.open("a", buffering=1))


if __name__ == "__main__":
    main()
