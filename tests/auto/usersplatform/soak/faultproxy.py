"""TCP proxy on the loopback interface that can delay, block or reset its connections."""

import asyncio


class FaultProxy:
    """Forwards connections to a target port.

    Fault modes: None, 'delay', 'one_way' (responses are blocked), 'silent' (both directions are blocked).
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = None
        self.port = 0
        self.server = None
        self.writers = set()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def start(self):
        self.server = await asyncio.start_server(self.forward_connection, "127.0.0.1", 0, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        self.set_mode(None)
        self.reset()

    def set_mode(self, mode):
        self.mode = mode
        if mode in ("one_way", "silent"):
            self.unblocked.clear()
        else:
            self.unblocked.set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def forward_connection(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        connections = (writer, target_writer)
        self.writers.update(connections)
        try:
            await asyncio.gather(self.forward_data(reader, target_writer, False),
                                 self.forward_data(target_reader, writer, True))
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            for connection in connections:
                self.writers.discard(connection)
                connection.transport.abort()

    async def forward_data(self, reader, writer, is_response):
        while True:
            data = await reader.read(65536)
            if not data:
                writer.close()
                return
            if self.mode == "delay":
                await asyncio.sleep(0.25)
            if self.mode == "silent" or (self.mode == "one_way" and is_response):
                await self.unblocked.wait()
            writer.write(data)
            await writer.drain()
