"""An engine that writes wrong bytes into one of its streams."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402

EVENTS = 10
GAP_S = 0.02
ROUNDS = 60
# Streams at a time, so that both engines get some.
ABREAST = 6
# The faulty engine spoils one answer in so many, the first one after as many.
SPOILT_EVERY = 25
# Such a line is a comment for a reader of server-sent events; the field after
# it is no event of the stream, which has an id.
WRONG_BYTES = b":" * 64 + b"\nevent: trace\n\n"
TIMEOUT_MS = 3000
# The rule's.
LATE_S = 0.5
CHECKED = 12
GRACE_S = 8


class StreamEngine(rig2.Engine):
    """An engine whose answers are streams of events.

    Attributes:
        is_faulty: whether it spoils some of its answers.
        count: how many streams it began.
        spoilt: how many of these it spoilt.
    """

    is_faulty = False
    count = 0
    spoilt = 0

    async def answer(self, line, headers, body, reader, writer):
        """Answer with a stream of events."""
        identifier = headers.get("request-id", "")
        if headers.get("expect-instance", self.id) != self.id:
            self.respond(writer, 421, identifier, b"", {"Not-Run": "1"})
            return
        self.count += 1
        spoils = self.is_faulty and self.count % SPOILT_EVERY == 0
        self.note(f"runs {identifier}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n"
            + f"Request-Id: {identifier}\r\n".encode()
            + f"Response-Stamp: {self.id}.1\r\n\r\n".encode()
        )
        for number in range(1, EVENTS + 1):
            if reader.at_eof():
                raise EOFError
            event = b"id: %d\ndata: token\n\n" % number
            if spoils and number == EVENTS // 2:
                self.spoilt += 1
                self.note(f"writes wrong bytes into {identifier}")
                event = WRONG_BYTES
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
        rig2.Engine(fleet, 2, "desk", 20, record),
        rig2.Engine(fleet, 3, "desk", 20, record),
    ]
    try:
        fleet.start()
        for engine in engines:
            await engine.start()
        routes = [
            rig2.make_route("note", "llm", "streaming", gap_slo_ms=500),
            rig2.make_route(
                "book", "desk", "non_idempotent", timeout_ms=TIMEOUT_MS
            ),
        ]
        table = rig2.make_table(7, routes, ["llm", "desk"])
        if not await fleet.put(table) or not await fleet.ready():
            record.write("no table was acknowledged, or no edge is ready")
            return rig2.NOT_RUN
        # Calm, so that the edge is in touch.
        await asyncio.sleep(5)
        return await play(record, fleet, engines[:2])
    finally:
        for engine in engines:
            await engine.stop()
        fleet.stop()


async def play(record, fleet, engines):
    """Send streams, then bookings; judge whether these are answered."""
    clients = [fleet.client() for _ in range(ABREAST)]
    for number in range(ROUNDS):
        await asyncio.gather(
            *(
                send(record, client, "note", f"note-{number}-{place}", 3)
                for place, client in enumerate(clients)
            )
        )
        # The one of the two that serves more turns faulty.
        faulty = max(engines, key=lambda engine: engine.count)
        faulty.is_faulty = rig2.TROUBLE and number > 1
        if faulty.spoilt:
            break
    record.write(f"the faulty engine spoilt {faulty.spoilt} answers")
    await asyncio.sleep(1)
    limit_s = TIMEOUT_MS / 1000 + LATE_S
    answers = await asyncio.gather(
        *(
            send(record, fleet.client(), "book", f"book-{number}", limit_s)
            for number in range(CHECKED)
        )
    )
    late = sum(answer is None for answer in answers)
    record.write(
        f"{late} of {CHECKED} bookings have no answer {LATE_S} s after their"
        f" route's timeout of {TIMEOUT_MS} ms"
    )
    edge = fleet.edges[0]
    edge.signal(signal.SIGTERM)
    for _ in range(GRACE_S * 10):
        await asyncio.sleep(0.1)
        if edge.code is not None:
            break
    record.write(f"{GRACE_S} s after SIGTERM the edge's code is {edge.code}")
    return rig2.BROKEN if 2 * late > CHECKED else rig2.HELD


async def send(record, client, route, name, limit_s):
    """Send a request; return its answer, None if it does not come in time."""
    headers = {
        "Host": "shop.example",
        "Request-Id": name,
        "Deadline-Ms": 10000,
    }
    record.write(f"client sends {name}")
    try:
        answer = await asyncio.wait_for(
            client.send("POST", f"/{route}/x", headers, b"small"), limit_s
        )
    except asyncio.TimeoutError:
        record.write(f"client gets nothing for {name} in {limit_s} s")
        client.close()
        return None
    record.write(f"client gets {name}: {answer.status} {answer.text}")
    return answer


if __name__ == "__main__":
    rig2.run(main, FOLDER)
