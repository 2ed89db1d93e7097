"""TCP proxy on loopback whose connections can be delayed, reset, cut one way or silenced."""

import asyncio


class FaultProxy:
    """Modes: None, 'delay', 'one_way' (answers are held back), 'silent' (both directions are)."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = None
        self.port = 0
        self.writers = set()
        self.sound = asyncio.Event()
        self.sound.set()

    async def start(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def set_mode(self, mode):
        self.mode = mode
        if mode in ("one_way", "silent"):
            self.sound.clear()
        else:
            self.sound.set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self.writers.update(pair)
        try:
            await asyncio.gather(self.copy(reader, target_writer, False), self.copy(target_reader, writer, True))
        except (asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            for one in pair:
                self.writers.discard(one)
                one.transport.abort()

    async def copy(self, reader, writer, is_answer):
        while True:
            data = await reader.read(65536)
            if not data:
                writer.close()
                return
            if self.mode == "delay":
                await asyncio.sleep(0.25)
            if self.mode == "silent" or (self.mode == "one_way" and is_answer):
                await self.sound.wait()
            writer.write(data)
            await writer.drain()
