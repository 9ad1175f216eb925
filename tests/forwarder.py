"""A TCP proxy for tests that can cut links silently.

Each directed link between two instances passes through its own port.
While a link is cut, bytes are read and discarded and no connection is
reset, so that both ends believe that the link is up.
"""

import asyncio
import threading


class LinkProxy:
    """Forwards the links of a deployment on a thread of its own.

    Attributes:
        cut_links: the names of the links that are cut.
    """

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.cut_links = set()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.daemon = True
        self.thread.start()

    def add_link(self, name, listen, target):
        """Forward connections to a listening address to a target."""
        future = asyncio.run_coroutine_threadsafe(
            self._serve(name, listen, target), self.loop
        )
        future.result(5)

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _serve(self, name, listen, target):
        async def connected(reader, writer):
            await self._relay_connection(name, target, reader, writer)

        host, port = listen.rsplit(":", 1)
        await asyncio.start_server(connected, host, int(port))

    async def _relay_connection(self, name, target, reader, writer):
        host, port = target.rsplit(":", 1)
        while name in self.cut_links:
            await asyncio.sleep(0.05)
        try:
            target_stream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(name, reader, target_stream[1]),
            self._pump(name, target_stream[0], writer),
        )

    async def _pump(self, name, reader, writer):
        try:
            while data := await reader.read(65536):
                if name not in self.cut_links:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        writer.close()
