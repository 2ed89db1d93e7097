"""Tests of the proxy that the soak puts before its workers."""

import asyncio
import socket
import unittest

from faultproxy import FaultProxy


async def accepts_connections(port):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return False
    writer.close()
    return True


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.target = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        self.proxy = FaultProxy(self.target.sockets[0].getsockname()[1])
        await self.proxy.start()
        self.port = self.proxy.port

    async def asyncTearDown(self):
        self.proxy.close()
        self.target.close()

    async def test_worker_is_back_at_its_address_after_refused_connections(self):
        for _ in range(3):
            self.assertTrue(await accepts_connections(self.port))
            self.proxy.refuse()
            self.assertFalse(await accepts_connections(self.port))
            await self.proxy.start()
        self.assertTrue(await accepts_connections(self.port))

    async def test_no_other_socket_takes_the_address_while_connections_are_refused(self):
        self.proxy.refuse()
        with socket.socket() as other:
            with self.assertRaises(OSError):
                other.bind(("127.0.0.1", self.port))


if __name__ == "__main__":
    unittest.main()
