"""One geraniumquayd with a store and a worker on loopback addresses, and the bounds that it must keep."""

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))

from connectionbehavior import ConnectionBehaviors
from faultclock import FaultClock
from faultproxy import FaultProxy
from invariantchecker import InvariantChecker
from soaknode import SETTINGS, free_ports
from standinplatform import Store, Worker

# The machine of the test: no process may hold more, and the process gets no more descriptors.
MEMORY_MB = 96
DESCRIPTORS = 256
# Descriptors that must be left for the store, the workers and the other nodes, whatever clients do.
RESERVED_DESCRIPTORS = 48
# The limits of the test machine, as a deployment states them.
LIMITS = "[limits]\nmemory_mb = %d\ndescriptors = %d\n" % (MEMORY_MB, DESCRIPTORS)
LISTENERS = ("callers", "readiness", "peers", "metrics")
START_SECONDS = 20
# Only bounds a hang; nothing is measured.
ANSWER_SECONDS = 60


class LimitsNode:
    """Starts the processes. With `states_limits` false, the settings have no limits, as those of earlier versions."""

    def __init__(self, program, states_limits=True, worker_class=Worker, store_class=Store):
        self.program = program
        self.states_limits = states_limits
        self.folder = tempfile.mkdtemp(prefix="limits-")
        self.random = random.Random(1)
        self.store = store_class(self.random)
        checker = InvariantChecker(FaultClock(), lambda text, is_short=True: text)
        connections = ConnectionBehaviors("process", self.random)
        self.worker = worker_class("w000-zone-r0", "zone", "zone-r0", checker, self.random, 10000, connections.draw())
        self.process = None
        self.ports = {}
        self.job_count = 0

    async def start(self):
        await self.store.start()
        await self.worker.start()
        self.worker.proxy = FaultProxy(self.worker.port)
        await self.worker.proxy.start()
        route = {"name": "queue", "host": "jobs.example", "path_prefix": "/jobs/", "kind": "non_idempotent",
                 "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "service",
                 "max_attempts": 3, "slack_factor": 2.0}
        self.store.put("op", "", "config", json.dumps(
            {"version": 1, "routes": [route], "services": [{"name": "service"}],
             "limits": {"max_body_bytes": 262144}}).encode())
        self.store.put("servers", "", self.worker.identity, self.worker.entry())
        self.ports = dict(zip(LISTENERS, free_ports(len(LISTENERS))))
        settings = os.path.join(self.folder, "node.ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name="node-0", zone="zone", store=self.store.port, lease_limit_ms=10000,
                                       stop_ms=500, **self.ports))
            if self.states_limits:
                file.write(LIMITS)
        with open(os.path.join(self.folder, "node.log"), "w", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--config", settings, stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)))
        for _ in range(START_SECONDS * 10):
            if await self.submit_job() == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the node accepts no job; log in " + self.folder)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.store.close()
        self.worker.close()
        shutil.rmtree(self.folder)

    async def submit_job(self):
        """Submits an ordinary job on a connection of its own. Returns the status; None without a complete answer."""
        self.job_count += 1
        shape = json.dumps({"cpu": 100, "ms": 50, "lasts": False})
        body = json.dumps({"spec": shape, "phases": [{"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 50}]}).encode()
        head = ("POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
                "X-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n" % (self.job_count, len(body))).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["callers"])
        except OSError:
            return None
        try:
            writer.write(head + body)
            return await asyncio.wait_for(read_status(reader), ANSWER_SECONDS)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()

    def is_alive(self):
        return self.process.returncode is None and os.path.exists("/proc/%d" % self.process.pid)

    def peak_memory_mb(self):
        with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024

    def open_descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))


async def read_status(reader):
    """Reads a whole answer. Returns its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
    length = next((int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("content-length")), 0)
    await reader.readexactly(length)
    return int(head.split(" ")[1])
