"""TCP proxy on the loopback interface that can delay, block or reset its connections."""

import asyncio
import socket
import struct
import time

from soaknode import PROXY_PORTS, free_ports

BACKLOG = 1024
LINGER_OFF = struct.pack("ii", 1, 0)


def reset_connection(writer):
    """Ends a connection with a reset, also if all that was received has been read."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    writer.transport.abort()


class FaultProxy:
    """Forwards connections to a target port.

    Fault modes: None, 'delay', 'one_way' (responses are blocked), 'silent' (both directions are blocked),
    'unconnectable' (new connections wait), 'reset' (all connections are reset at once), 'reset_answers' (a connection
    is reset when a response arrives on it, so the request was carried out). refuse() lets connections be refused.

    With `receive_bytes` its receive buffers are small, so that a sender's write of tens of KB stays unfinished while the
    proxy blocks.
    """

    def __init__(self, target_port, receive_bytes=None):
        self.target_port = target_port
        self.receive_bytes = receive_bytes
        self.mode = None
        self.disturbed_at = 0.0  # Latest time at which a fault mode began or ended.
        self.port = 0
        self.listener = socket.socket()
        self.is_refusing = False
        self.acceptor = None
        self.tasks = set()
        self.accepting = asyncio.Event()
        self.accepting.set()
        self.writers = set()
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def start(self):
        """Starts to listen, on the same port as before if the proxy was closed or refused connections."""
        if self.is_refusing:
            self.is_refusing = False
            self.listener.listen(BACKLOG)
            self.acceptor = asyncio.create_task(self.accept_connections())
            return
        if self.listener.fileno() < 0:
            self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        if self.receive_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        # The kernel releases a port that it chose itself when the listener is shut down.
        self.port = self.port or free_ports(1, PROXY_PORTS)[0]
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(BACKLOG)
        self.acceptor = asyncio.create_task(self.accept_connections())

    def close(self):
        self.set_mode(None)
        self.is_refusing = False
        self.acceptor.cancel()
        self.listener.close()
        self.reset()

    async def accept_connections(self):
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self.listener)
            await self.accepting.wait()
            reader, writer = await asyncio.open_connection(sock=connection, limit=self.receive_bytes or 65536)
            task = asyncio.create_task(self.forward_connection(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def refuse(self):
        """Refuses all connections until start() is called; the target itself goes on."""
        self.set_mode(None)
        self.disturbed_at = time.monotonic()
        self.acceptor.cancel()
        # The socket stays bound, so that no other process can take the port.
        self.listener.shutdown(socket.SHUT_RDWR)
        self.is_refusing = True
        self.reset()

    def is_listening(self):
        return self.listener.fileno() >= 0 and not self.is_refusing

    def set_mode(self, mode):
        if not self.is_listening():
            return
        if mode or self.mode:
            self.disturbed_at = time.monotonic()
        self.mode = mode
        if mode == "unconnectable":
            self.accepting.clear()
            self.listener.listen(0)
        elif not self.accepting.is_set():
            self.accepting.set()
            self.listener.listen(BACKLOG)
        if mode in ("one_way", "silent"):
            self.unblocked.clear()
        else:
            self.unblocked.set()
        if mode == "reset":
            self.reset()

    def reset(self):
        for writer in list(self.writers):
            reset_connection(writer)

    async def forward_connection(self, reader, writer):
        if self.mode == "reset":
            reset_connection(writer)
            return
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
            if self.mode == "reset_answers" and is_response:
                reset_connection(writer)
                return
            if self.mode == "delay":
                await asyncio.sleep(0.25)
            if self.mode == "silent" or (self.mode == "one_way" and is_response):
                await self.unblocked.wait()
            writer.write(data)
            await writer.drain()
