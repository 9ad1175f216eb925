"""Runs one edge or one control instance on the platform.

The environment variable ``PRIMROSEHITCH_NODE_FILE`` has the path of the
settings file. SIGTERM and SIGINT stop the instance. The seeds of a changed
settings file are used at once, with or without SIGHUP.
"""

import os
import pathlib
import signal
import sys
from typing import Iterator
from typing import NoReturn
from typing import Protocol

import anyio
import anyio.abc

from primrosehitch import clock
from primrosehitch import control as control_module
from primrosehitch import duties
from primrosehitch import edge as edge_module
from primrosehitch import errors
from primrosehitch import events
from primrosehitch import httpserver
from primrosehitch import instance as instance_module
from primrosehitch import logsink
from primrosehitch import metrics
from primrosehitch import processmemory
from primrosehitch import routes
from primrosehitch import settingswatch
from primrosehitch.platform import api
from primrosehitch.platform import calls
from primrosehitch.platform import dialect
from primrosehitch.platform import tables

SETTINGS_VARIABLE = "PRIMROSEHITCH_NODE_FILE"
# Engines reuse connections for minutes.
CONTROL_LIMITS = routes.ClientLimits(idle_timeout_ms=60_000)
# A query of metrics has no body.
METRICS_LIMITS = routes.ClientLimits(body_bytes=4096, idle_timeout_ms=60_000)
LOG_FLUSH_PERIOD_S = 1.0
# A file that is being replaced as the process starts is whole soon.
SETTINGS_TIMEOUT_S = 1.0
SETTINGS_RETRY_S = 0.1
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
# Longer than a call to replace or read the route table may take.
FINISH_CALLS_TIMEOUT_S = 3.5


class Instance(Protocol):
    """An edge or a control instance."""

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then drain and return."""

    def set_seeds(self, seeds: settingswatch.Seeds) -> None:
        """Use other seeds from now on."""


class ControlProcess:
    """A control instance with its HTTP API and the leader's duties.

    Args:
        settings: the instance's settings.
    """

    def __init__(self, settings: instance_module.InstanceSettings):
        self.settings = settings
        self.control = control_module.ControlInstance(
            settings,
            tables.decode_accepted,
            tables.encode_without_customers,
        )
        self.api = calls.ControlApi(self.control, settings.calls)
        memory = processmemory.make_connection_memory(
            settings.memory_mb, settings.clients
        )
        self.server = httpserver.Server(
            self.api.serve, CONTROL_LIMITS, memory, self.api.max_body_bytes
        )
        self.metrics = httpserver.Server(
            _serve_metrics, METRICS_LIMITS, memory
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serve until ``stop`` is set, then transfer the leadership."""
        async with anyio.create_task_group() as group:
            if self.settings.metrics is not None:
                await group.start(self.metrics.run, self.settings.metrics)
            if self.settings.control is not None:
                await group.start(self.server.run, self.settings.control)
            if self.settings.platform is not None:
                client = api.PlatformApi(self.settings.platform)
                leader_duties = duties.Duties(
                    self.control, client, tables.decode_accepted
                )
                group.start_soon(leader_duties.run)
            await self.control.run(stop, self._finish_calls)
            group.cancel_scope.cancel()

    def set_seeds(self, seeds: settingswatch.Seeds) -> None:
        """Use other seeds from now on."""
        self.control.set_seeds(seeds)

    async def _finish_calls(self) -> None:
        """Finish the calls under way, and refuse the ones that follow."""
        self.api.stopping = True
        self.server.close_idle_connections()
        await self.server.stop(FINISH_CALLS_TIMEOUT_S)


async def _serve_metrics(
    request: httpserver.Request, responder: httpserver.Responder
) -> None:
    headers = [(b"content-type", metrics.CONTENT_TYPE)]
    responder.respond(200, headers, metrics.exposition())


def make_instance(settings: instance_module.InstanceSettings) -> Instance:
    """Return a control instance if ``control`` is set, or else an edge."""
    if settings.control is not None:
        return ControlProcess(settings)
    return edge_module.Edge(
        settings, dialect.PlatformDialect(), tables.decode_accepted
    )


async def _load_settings(
    path: pathlib.Path,
) -> instance_module.InstanceSettings:
    """Return the settings of a file that may just be written.

    Raises:
        SettingsError: the file stays invalid.
    """
    gives_up_at = anyio.current_time() + SETTINGS_TIMEOUT_S
    while True:
        try:
            return instance_module.load(path)
        except errors.SettingsError as exc:
            if anyio.current_time() >= gives_up_at:
                raise
            events.emit(events.SETTINGS_REFUSED, error=str(exc))
        await anyio.sleep(SETTINGS_RETRY_S)


async def _make_instance_with_space(
    settings: instance_module.InstanceSettings, stop: anyio.Event
) -> Instance | None:
    """Return the instance once its disk has space for its first files.

    Returns:
        None if ``stop`` was set before.
    """
    while not stop.is_set():
        try:
            return make_instance(settings)
        except errors.LogFullError as exc:
            events.emit(events.REPLICA_FAILED, error=str(exc))
        with anyio.move_on_after(control_module.REOPEN_DELAY_S):
            await stop.wait()
    return None


async def _run(path: pathlib.Path, sink: logsink.LogSink) -> NoReturn:
    """Run the instance until it is stopped, then exit the process.

    The process exits while its signals are still handled. Closing the event
    loop restores their default actions, and one that arrives then would end
    the process with a failure; it also delays a restart.
    """
    watch = settingswatch.SettingsWatch(path)
    settings = await _load_settings(path)
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        await group.start(_watch_signals, watch, stop)
        group.start_soon(_flush_log, sink)
        instance = await _make_instance_with_space(settings, stop)
        if instance is not None:
            watch.attach(instance.set_seeds)
            group.start_soon(watch.run)
            await instance.run(stop)
        sink.flush()
        os._exit(0)


async def _watch_signals(
    watch: settingswatch.SettingsWatch,
    stop: anyio.Event,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
        task_status.started()
        async for signal_number in signals:
            if signal_number != signal.SIGHUP:
                stop.set()
                continue
            watch.read()


async def _flush_log(sink: logsink.LogSink) -> None:
    while True:
        await anyio.sleep(LOG_FLUSH_PERIOD_S)
        sink.flush()
        dropped = sink.take_dropped()
        if dropped:
            events.emit(events.LINES_DROPPED, lines=dropped)


def _leaves(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Yield the exceptions of a group and of the groups in it."""
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _leaves(exc)
        else:
            yield exc


def main() -> None:
    """Run the instance of the settings file named by the environment."""
    settings_path = os.environ.get(SETTINGS_VARIABLE)
    if not settings_path:
        sys.exit(f"primrosehitch: {SETTINGS_VARIABLE} is not set")
    sink = logsink.LogSink(sys.stdout.fileno(), clock.now_ms)
    events.open_log(sink)
    options = {"use_uvloop": True}
    try:
        anyio.run(
            _run, pathlib.Path(settings_path), sink, backend_options=options
        )
    except* (OSError, errors.PrimrosehitchError) as group:
        text = "; ".join(map(str, _leaves(group)))
        events.emit(events.TASK_FAILED, task="main", error=text)
        sys.exit(f"primrosehitch: {text}")


__all__ = ["ControlProcess", "Instance", "main", "make_instance"]
