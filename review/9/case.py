"""An engine that spoils one byte of a stream: an event's identifier."""

import asyncio
import pathlib
import re
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

EVENTS = 10
GAP_S = 0.02
ROUNDS = 60
# Streams at a time, so that both engines get some.
ABREAST = 6
# The faulty engine spoils one answer in so many.
SPOILT_EVERY = 25
SPOILT_EVENT = 4
SPOILT_IDENTIFIER = 8
SPOILT_STREAMS = 3


class StreamEngine(rig2.Engine):
    """An engine whose answers are streams that may be resumed.

    Attributes:
        is_faulty: whether it spoils some of its answers.
        count: how many streams it began.
        spoilt: the requests whose streams it spoilt.
    """

    is_faulty = False
    count = 0

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.spoilt = []

    async def answer(self, line, headers, body, reader, writer):
        """Answer with the events after the one that the request names."""
        identifier = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.respond(writer, 421, identifier, b"", {"Not-Run": "1"})
            return
        self.count += 1
        after = int(headers.get("last-event-id", 0))
        spoils = (
            self.is_faulty and not after and self.count % SPOILT_EVERY == 0
        )
        if spoils:
            self.spoilt.append(identifier)
        self.note(f"runs {identifier} after event {after}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Request-Id: {identifier}\r\n".encode()
            + f"Response-Stamp: {self.id}.1\r\n\r\n".encode()
        )
        for number in range(after + 1, EVENTS + 1):
            if reader.at_eof():
                raise EOFError
            shown = number
            if spoils and number == SPOILT_EVENT:
                shown = SPOILT_IDENTIFIER
                self.note(f"spoils event {number} of {identifier}")
            event = b"id: %d\ndata: token-%d\n\n" % (shown, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main(record):
    """Play the case."""
    fleet = rig2.Fleet(controls=3, edges=1)
    engines = [
        StreamEngine(fleet, 0, "llm", record=record),
        StreamEngine(fleet, 1, "llm", record=record),
    ]
    try:
        fleet.start()
        for engine in engines:
            await engine.start()
        route = rig2.make_route(
            "note",
            "llm",
            "streaming",
            gap_slo_ms=500,
            resumable=True,
            max_attempts=2,
        )
        if not await fleet.put(rig2.make_table(7, [route], ["llm"])):
            record.write("no table was acknowledged")
            return rig2.NOT_RUN
        if not await fleet.ready():
            record.write("the edge is not ready")
            return rig2.NOT_RUN
        await asyncio.sleep(5)
        return await play(record, fleet, engines)
    finally:
        for engine in engines:
            await engine.stop()
        fleet.stop()


async def play(record, fleet, engines):
    """Send streams; judge those that come as complete."""
    clients = [fleet.client() for _ in range(ABREAST)]
    short = []
    for number in range(ROUNDS):
        answers = await asyncio.gather(
            *(
                send(record, client, f"note-{number}-{place}")
                for place, client in enumerate(clients)
            )
        )
        short += [name for name in answers if name]
        # The one of the two that serves more turns faulty.
        faulty = max(engines, key=lambda engine: engine.count)
        faulty.is_faulty = rig2.TROUBLE and number > 1
        if sum(len(engine.spoilt) for engine in engines) >= SPOILT_STREAMS:
            break
    spoilt = [name for engine in engines for name in engine.spoilt]
    record.write(f"streams that the faulty engine spoilt: {spoilt}")
    record.write(f"streams that came as complete and lack events: {short}")
    return rig2.BROKEN if short else rig2.HELD


async def send(record, client, name):
    """Send a request; return its name if its stream lacks events.

    A stream whose last chunk does not come is not complete.
    """
    headers = {
        "Host": "shop.example",
        "Request-Id": name,
        "Deadline-Ms": 10000,
    }
    answer = await client.send("POST", "/note/x", headers, b"small")
    if answer.status != 200:
        record.write(f"client gets {name}: {answer.status} {answer.text}")
        return ""
    tokens = [int(n) for n in re.findall(rb"data: token-(\d+)", answer.body)]
    record.write(f"client gets {name}: 200, complete, tokens {tokens}")
    return "" if tokens == list(range(1, EVENTS + 1)) else name


if __name__ == "__main__":
    rig2.run(main, FOLDER)
