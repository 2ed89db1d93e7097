#!/usr/bin/env python3
"""Lets clients, workers or the store of one geraniumquayd keep to no limits, and checks that the process lives, that its
memory and open descriptors stay below bounds, and that an ordinary job is answered while they are still connected.

    connectionlimits.py --program PATH CASE [--no-limits]

The crowds and bounds do not depend on the machine's speed. With --no-limits the settings state no limits, so that an
earlier version can be started: it shows the faults.
"""

import argparse
import asyncio
import resource
import sys

from limitsnode import DESCRIPTORS, LISTENERS, MEMORY_MB, RESERVED_DESCRIPTORS, LimitsNode
from standinplatform import Store, Worker

MB = 1 << 20
PIECE = 64 << 10
# What each of a few connections sends without an end of its own.
ENDLESS_BYTES = 40 * MB
ENDLESS_CONNECTIONS = 4
CHUNKED = b"%s HTTP/1.1\r\nHost: jobs.example\r\nTransfer-Encoding: chunked\r\n\r\n"
TRAILER = b"X-Trailer: " + b"t" * 1000 + b"\r\n"
# Bodies that stay unfinished, each below the limit of one request.
UNFINISHED_BODIES = 150
UNFINISHED_BYTES = 1_000_000
DECLARED_BYTES = 1_040_000
# More than the process has descriptors.
SILENT_CONNECTIONS = DESCRIPTORS + 64
SLOW_CONNECTIONS = DESCRIPTORS + 64
ONE_BYTE_CHUNKS = 300_000
UNREAD_CONNECTIONS = 40
UNREAD_REQUESTS = 2000
REQUESTS_ON_ONE_CONNECTION = 3000
# Time for which a crowd stays before the checks, so that the process has read what was sent.
STAY_SECONDS = 3


def request_line(listener):
    return b"POST /jobs/00000000000000ff" if listener == "callers" else b"GET /metrics"


class Client:
    """A connection that ignores what the process answers."""

    def __init__(self, port):
        self.port = port
        self.writer = None

    async def open(self):
        try:
            _, self.writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), STAY_SECONDS)
        except (OSError, asyncio.TimeoutError):
            pass
        return self

    async def send(self, data, piece=PIECE):
        """Sends until the process closes the connection or reads no more."""
        try:
            for begin in range(0, len(data), piece):
                if self.writer is None or self.writer.is_closing():
                    return
                self.writer.write(data[begin:begin + piece])
                await asyncio.wait_for(self.writer.drain(), STAY_SECONDS)
        except (OSError, asyncio.TimeoutError):
            pass

    def close(self):
        if self.writer:
            self.writer.transport.abort()


async def open_clients(node, listener, count):
    return [await Client(node.ports[listener]).open() for _ in range(count)]


async def send_all(node, listener, count, data, piece=PIECE):
    clients = await open_clients(node, listener, count)
    await asyncio.gather(*[client.send(data, piece) for client in clients])
    return clients


async def endless_trailers(node, listener):
    data = CHUNKED % request_line(listener) + b"0\r\n" + TRAILER * (ENDLESS_BYTES // len(TRAILER))
    return await send_all(node, listener, ENDLESS_CONNECTIONS, data)


async def endless_trailers_in_small_pieces(node, listener):
    data = CHUNKED % request_line(listener) + b"0\r\n" + TRAILER * (ENDLESS_BYTES // len(TRAILER))
    return await send_all(node, listener, ENDLESS_CONNECTIONS, data, 1400)


async def endless_trailer_by_one(node, listener):
    data = CHUNKED % request_line(listener) + b"0\r\nX-Trailer: " + b"t" * (ENDLESS_BYTES * ENDLESS_CONNECTIONS)
    return await send_all(node, listener, 1, data)


async def endless_chunk_extensions(node, listener):
    data = CHUNKED % request_line(listener) + b"5;x=" + b"e" * ENDLESS_BYTES
    return await send_all(node, listener, ENDLESS_CONNECTIONS, data)


async def endless_headers(node, listener):
    data = request_line(listener) + b" HTTP/1.1\r\nHost: jobs.example\r\n" + TRAILER * (ENDLESS_BYTES // len(TRAILER))
    return await send_all(node, listener, ENDLESS_CONNECTIONS, data)


async def one_byte_chunks(node, listener):
    data = CHUNKED % request_line(listener) + b"1\r\nx\r\n" * ONE_BYTE_CHUNKS
    return await send_all(node, listener, ENDLESS_CONNECTIONS, data)


async def unfinished_bodies(node, listener):
    head = request_line(listener) + b" HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n" % DECLARED_BYTES
    return await send_all(node, listener, UNFINISHED_BODIES, head + b"b" * UNFINISHED_BYTES)


async def silent_connections(node, listener):
    return await open_clients(node, listener, SILENT_CONNECTIONS)


async def slow_senders(node, listener):
    clients = await open_clients(node, listener, SLOW_CONNECTIONS)
    for byte in request_line(listener)[:6]:
        await asyncio.gather(*[client.send(bytes([byte])) for client in clients])
        await asyncio.sleep(0.3)
    return clients


async def unread_answers(node, listener):
    data = (b"GET /metrics HTTP/1.1\r\nHost: jobs.example\r\n\r\n") * UNREAD_REQUESTS
    return await send_all(node, listener, UNREAD_CONNECTIONS, data)


async def many_requests(node, listener):
    data = (b"GET /jobs/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\n\r\n") * REQUESTS_ON_ONE_CONNECTION
    return await send_all(node, listener, 1, data)


CLIENT_CASES = {
    "trailers": endless_trailers,
    "trailers-in-small-pieces": endless_trailers_in_small_pieces,
    "trailer-by-one": endless_trailer_by_one,
    "chunk-extensions": endless_chunk_extensions,
    "headers": endless_headers,
    "one-byte-chunks": one_byte_chunks,
    "unfinished-bodies": unfinished_bodies,
    "silent": silent_connections,
    "slow": slow_senders,
    "unread-answers": unread_answers,
    "many-requests": many_requests,
}


async def write_endless_answer(writer):
    """Answers with trailers without end, as far as the process reads them."""
    writer.write(b"HTTP/1.1 200 x\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n")
    for _ in range(ENDLESS_CONNECTIONS * ENDLESS_BYTES // PIECE):
        writer.write(TRAILER * (PIECE // len(TRAILER)))
        await writer.drain()


async def serve_endless(server, reader, writer):
    server.writers.add(writer)
    try:
        await reader.readuntil(b"\r\n\r\n")
        await write_endless_answer(writer)
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
        pass
    finally:
        server.writers.discard(writer)
        writer.close()


class EndlessWorker(Worker):
    """A worker that answers as it should until `is_endless` is set."""

    is_endless = False

    async def serve(self, reader, writer):
        await (serve_endless(self, reader, writer) if self.is_endless else super().serve(reader, writer))


class EndlessStore(Store):
    """A store that answers as it should until `is_endless` is set."""

    is_endless = False

    async def serve(self, reader, writer):
        await (serve_endless(self, reader, writer) if self.is_endless else super().serve(reader, writer))


async def turn_endless(server):
    server.is_endless = True
    server.break_connections()
    await asyncio.sleep(2 * STAY_SECONDS)


SERVER_CASES = {"store": lambda node: node.store, "worker": lambda node: node.worker}


class Checks:
    """Collects what does not hold."""

    def __init__(self):
        self.faults = []

    def expect(self, holds, text):
        if not holds:
            self.faults.append(text)

    def check_node(self, node):
        self.expect(node.is_alive(), "the process has ended")
        if not node.is_alive():
            return
        memory, descriptors = node.peak_memory_mb(), node.open_descriptors()
        print("peak memory %.1f MB, %d descriptors" % (memory, descriptors), flush=True)
        self.expect(memory < MEMORY_MB, "the process has held %.1f MB; its machine has %d" % (memory, MEMORY_MB))
        limit = DESCRIPTORS - RESERVED_DESCRIPTORS
        self.expect(descriptors <= limit, "%d descriptors are open; %d must be left of %d"
                    % (descriptors, RESERVED_DESCRIPTORS, DESCRIPTORS))


async def run_client_case(node, case, listener, checks):
    clients = await CLIENT_CASES[case](node, listener)
    await asyncio.sleep(STAY_SECONDS)
    checks.check_node(node)
    if node.is_alive():
        status = await node.submit_job()
        checks.expect(status == 200, "an ordinary job is answered with %s" % status)
        checks.check_node(node)
    for client in clients:
        client.close()


async def run_server_case(node, server, checks):
    await turn_endless(server)
    checks.check_node(node)
    status = await node.submit_job()
    checks.expect(status in (200, 503), "an ordinary job is answered with %s" % status)
    checks.check_node(node)


async def run(options):
    checks = Checks()
    name, _, listener = options.case.partition("@")
    node = LimitsNode(options.program, not options.no_limits, EndlessWorker, EndlessStore)
    try:
        await node.start()
        if name in SERVER_CASES:
            await run_server_case(node, SERVER_CASES[name](node), checks)
        else:
            await run_client_case(node, name, listener or "callers", checks)
    finally:
        await node.stop()
    for fault in checks.faults:
        print("%s: %s" % (options.case, fault))
    return not checks.faults


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", required=True)
    parser.add_argument("--no-limits", action="store_true", help="the settings state no limits")
    parser.add_argument("case", help="one of %s, store and worker; a listener may follow after @, one of %s"
                        % (", ".join(CLIENT_CASES), ", ".join(LISTENERS)))
    options = parser.parse_args()
    # The crowd needs more descriptors than the process under test.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, hard), hard))
    return 0 if asyncio.run(run(options)) else 1


if __name__ == "__main__":
    sys.exit(main())
