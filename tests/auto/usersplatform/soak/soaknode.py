"""A geraniumquayd process of the soak test."""

import asyncio
import json
import os
import random
import signal
import socket
import time

STOP_GRACE_SECONDS = 6
# Time in which a slow node runs for its share once.
CYCLE_SECONDS = 0.1
# A pause of a slow node that becomes longer than this, as the soak itself is late, counts as a freeze.
MAX_CYCLE_PAUSE_SECONDS = 0.5

SETTINGS = """\
[node]
name = {name}
domain = {zone}
region = region
[endpoints]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[table]
endpoint = 127.0.0.1:{store}
row_bytes = 65536
[dispatch]
processor_share = 1
processors = 1
worker_lease_limit_ms = {lease_limit_ms}
stop_ms = {stop_ms}
drain_ms = 2500
grace_ms = 6000
retention_s = 120
remote_penalty = 3
interference_ms = 4000
disruption_notice_ms = 5500
gang_ms = 3000
"""
EVACUATION_SETTINGS = "evacuation_ms = 5000\n"

# Below the range of ephemeral ports, so that no outgoing connection can occupy the port of a node that is down.
PORTS = range(18000, 32000)
PROXY_PORTS = range(10000, 18000)


def free_ports(count, candidates=PORTS):
    ports = []
    for port in random.Random(os.getpid() * 1000003 + time.monotonic_ns()).sample(candidates, len(candidates)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports


async def slow_down(nodes, share, seconds):
    """Lets processes run for a share of each 100 ms only, by short pauses. A process that is started meanwhile is slow,
    too. It is no fault to the checks: no pause is near the bounds of any of them."""
    nodes = [node for node in nodes if not node.is_slow]
    ends_at = time.monotonic() + seconds
    for node in nodes:
        node.is_slow = True
    try:
        while nodes and time.monotonic() < ends_at:
            paused_at = time.monotonic()
            for node in nodes:
                node.signal(signal.SIGSTOP)
            await asyncio.sleep(CYCLE_SECONDS * (1 - share))
            for node in nodes:
                node.continue_unless_frozen()
            if time.monotonic() - paused_at > MAX_CYCLE_PAUSE_SECONDS:
                nodes[0].unplanned.note()
            await asyncio.sleep(CYCLE_SECONDS * share)
    finally:
        for node in nodes:
            node.is_slow = False
            node.continue_unless_frozen()


class Node:
    """One geraniumquayd process with its settings and its fault proxy to the store.

    A process that ends without having been told to is a violation.
    """

    def __init__(self, number, zone, program, folder, proxy, ports, checker, unplanned, size, has_evacuations=False):
        self.name = "node-%d" % number
        self.zone = zone
        self.program = program
        self.proxy = proxy
        self.checker = checker
        self.settings = os.path.join(folder, self.name + ".ini")
        self.log = os.path.join(folder, self.name + ".log")
        self.callers_port = ports[0]
        self.metrics_port = ports[3]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=self.name, zone=zone, callers=ports[0], readiness=ports[1],
                                       peers=ports[2], metrics=ports[3], store=proxy.port,
                                       lease_limit_ms=size.lease_limit_ms, stop_ms=size.stop_ms))
            if has_evacuations:
                file.write(EVACUATION_SETTINGS)
        self.process = None
        self.is_end_expected = False
        self.is_busy = False  # A fault is currently injected into the process.
        self.is_frozen = False
        self.is_slow = False
        self.unplanned = unplanned  # Faults but planned stops.
        self.watcher = None

    async def start(self):
        self.is_end_expected = False
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--config", self.settings, stdout=log, stderr=log)
        self.watcher = asyncio.create_task(self.watch())

    async def watch(self):
        code = await self.process.wait()
        if self.is_end_expected:
            return
        self.unplanned.note()
        with open(self.log, "rb") as file:
            file.seek(max(0, os.path.getsize(self.log) - 600))
            tail = file.read().decode("utf-8", "replace")
        self.checker.report_violation("%s ends by itself with code %d; its log ends with: %s"
                                      % (self.name, code, tail))
        await self.start()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.is_end_expected = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def restart_killed(self, seconds):
        self.is_busy = True
        with self.unplanned:
            await self.kill()
            await asyncio.sleep(seconds)
            await self.start()
        self.is_busy = False

    async def pause(self, seconds):
        self.is_busy = True
        with self.unplanned:
            self.is_frozen = True
            self.signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            self.is_frozen = False
            self.signal(signal.SIGCONT)
        self.is_busy = False

    def lose_power(self):
        """Stops the process for good. Its connections stay open, and nobody gets an answer on them."""
        self.is_busy = self.is_frozen = self.is_end_expected = True
        self.signal(signal.SIGSTOP)

    async def restart_stopped(self, seconds):
        self.is_busy = True
        with self.unplanned.parent:
            await self.stop()
            await asyncio.sleep(seconds)
            await self.start()
        self.is_busy = False

    async def stop(self):
        self.is_end_expected = True
        self.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(self.process.wait(), STOP_GRACE_SECONDS)
            if code != 0:
                self.checker.report_violation("%s ends with %d after SIGTERM" % (self.name, code))
        except asyncio.TimeoutError:
            self.checker.report_violation("%s has not ended %d s after SIGTERM" % (self.name, STOP_GRACE_SECONDS))
            await self.kill()

    def continue_unless_frozen(self):
        if not self.is_frozen:
            self.signal(signal.SIGCONT)

    async def metric_names(self):
        """Returns the names in the node's metrics; none if it does not answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.metrics_port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(), 3)).decode("utf-8", "replace")
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return set()
        return {line.split("{")[0].split(" ")[0] for line in text.splitlines()}

    def events(self, name):
        """Returns the lines of an event in the log."""
        needle = '"event":"%s"' % name
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return [json.loads(line) for line in file if needle in line and line.endswith("}\n")]

    def peak_memory_mb(self):
        with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
            return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM")), 0)
