#!/usr/bin/env python3
"""Randomized soak test of geraniumquayd: runs real processes, injects faults from outside and checks the guarantees
against what callers and workers observe.

    soak.py --program PATH [--seed N] [--seeds COUNT] [--seconds S] [--logs FOLDER]

Exits with 0 if no invariant was violated. A seed determines the injected faults and their times; the timing of the
processes still varies.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time

from faultproxy import FaultProxy
from invariantchecker import InvariantChecker
from standinplatform import Store, Worker, unix_ms

ZONES = ("zone-a", "zone-b")
NODES = 3
WORKERS_PER_ZONE = 3
STOP_GRACE_SECONDS = 6
SETTLE_SECONDS = 45

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
worker_lease_limit_ms = 10000
stop_ms = 200
drain_ms = 2500
grace_ms = 6000
retention_s = 120
remote_penalty = 3
interference_ms = 4000
disruption_notice_ms = 5500
gang_ms = 3000
"""


# Below the range of ephemeral ports, so that no outgoing connection can occupy the port of a node that is down.
PORTS = range(18000, 32000)


def free_ports(count):
    ports = []
    for port in random.Random(os.getpid() * 1000003 + time.monotonic_ns()).sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports


class Node:
    """One geraniumquayd process with its settings and its fault proxy to the store."""

    def __init__(self, number, program, folder, proxy):
        self.name = "node-%d" % number
        self.program = program
        self.proxy = proxy
        self.settings = os.path.join(folder, self.name + ".ini")
        self.log = os.path.join(folder, self.name + ".log")
        ports = free_ports(4)
        self.callers_port = ports[0]
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(name=self.name, zone=ZONES[number % len(ZONES)], callers=ports[0],
                                       readiness=ports[1], peers=ports[2], metrics=ports[3], store=proxy.port))
        self.process = None
        self.is_busy = False  # A fault is currently injected into the process.

    async def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, "--config", self.settings, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


async def call(port, method, path, body=None, seconds=3.0):
    """Sends one request on a new connection. Returns status and body; status 0 without a complete response."""
    writer = None
    try:
        async with asyncio.timeout(seconds) if hasattr(asyncio, "timeout") else _Timeout(seconds):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(("%s %s HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
                          % (method, path, int(seconds * 1000), len(text))).encode() + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length")), 0)
            answer = await reader.readexactly(length)
            return int(head.split(" ")[1]), json.loads(answer or b"{}")
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer:
            writer.close()


class Soak:
    """One run of the soak test with one seed."""

    def __init__(self, program, seed, seconds, folder):
        self.program = program
        self.random = random.Random(seed)
        self.seconds = seconds
        self.folder = folder
        self.checker = InvariantChecker()
        self.jobs = {}  # id -> names of its tasks; empty for long-running jobs
        self.store = Store(self.random)
        self.workers = []
        self.worker_proxies = []
        self.nodes = []
        self.faults_until = 0.0
        self.events = []

    def log_event(self, text):
        self.events.append("%.1f %s" % (time.monotonic() - self.started_at, text))

    async def start(self):
        self.started_at = time.monotonic()
        await self.store.start()
        for zone in ZONES:
            for number in range(WORKERS_PER_ZONE):
                worker = Worker("%s-w%d" % (zone, number), zone, self.checker, self.random)
                await worker.start()
                proxy = FaultProxy(worker.port)
                await proxy.start()
                worker.listed_port = proxy.port
                self.workers.append(worker)
                self.worker_proxies.append(proxy)
        self.publish_workers()
        self.configuration_version = 1
        self.publish_configuration()
        for number in range(NODES):
            proxy = FaultProxy(self.store.port)
            await proxy.start()
            self.nodes.append(Node(number, self.program, self.folder, proxy))
        for node in self.nodes:
            await node.start()

    def publish_workers(self):
        for worker in self.workers:
            self.store.put("servers", "", worker.identity, worker.entry())

    def publish_configuration(self):
        route = {"name": "queue", "host": "jobs.example", "path_prefix": "/jobs/", "kind": "non_idempotent",
                 "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "service",
                 "max_attempts": 8, "slack_factor": 2.0}
        document = {"version": self.configuration_version, "routes": [route], "services": [{"name": "service"}],
                    "limits": {"max_body_bytes": 262144}}
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def tick_workers(self):
        while True:
            for worker in self.workers:
                worker.tick()
            await asyncio.sleep(0.02)

    async def submit_random_job(self):
        job = "%016x" % self.random.getrandbits(64)
        is_long_running = self.random.random() < 0.05
        count = self.random.randint(1, 3)
        shape = {"cpu": self.random.choice((300, 600, 1000)), "ms": self.random.randint(100, 900),
                 "lasts": is_long_running}
        phase = {"count": count, "cpu": shape["cpu"], "mem_mb": 100, "estimate_ms": shape["ms"]}
        phases = [dict(phase, long_running=True)] if is_long_running else [phase]
        if not is_long_running and self.random.random() < 0.4:
            phases.append(dict(phase, after=[0]))
        self.jobs[job] = [] if is_long_running else ["%s.0.%d.%d" % (job, step, index)
                                                     for step in range(len(phases)) for index in range(count)]
        body = {"spec": json.dumps(shape), "phases": phases}
        may_have_run = False
        for _ in range(4):
            status, _ = await call(self.random.choice(self.nodes).callers_port, "POST", "/jobs/" + job, body)
            if status == 200:
                self.checker.accepted[job] = time.monotonic()
                break
            if status in (429, 503):
                if not may_have_run:
                    self.checker.rejected.add(job)
                return
            may_have_run = True
            await asyncio.sleep(0.3)
        else:
            return
        if is_long_running or self.random.random() < 0.1:
            await asyncio.sleep(self.random.uniform(0.2, 5))
            await self.cancel(job)

    async def cancel(self, job):
        for _ in range(60):
            status, _ = await call(self.random.choice(self.nodes).callers_port, "DELETE", "/jobs/" + job)
            if status in (200, 410):
                self.checker.cancelled[job] = time.monotonic()
                if status == 410:
                    self.checker.report_violation("job %s was accepted and its cancellation is answered 410" % job)
                return
            await asyncio.sleep(0.5)
        self.checker.report_violation("job %s could not be cancelled in 30 s" % job)

    async def query_random_job(self):
        open_jobs = [job for job in self.checker.accepted if job not in self.checker.cancelled and self.jobs[job]]
        if open_jobs:
            await self.query_job(self.random.choice(open_jobs))

    async def query_job(self, job):
        accepted_at = self.checker.accepted[job]
        status, fields = await call(self.random.choice(self.nodes).callers_port, "GET", "/jobs/" + job)
        if job in self.checker.cancelled or status not in (200, 410):
            return None
        if status == 410 and time.monotonic() - accepted_at < 3:
            return None
        self.checker.on_state_reported(job, fields.get("state"), self.jobs[job])
        return fields.get("state")

    async def generate_load(self):
        deadline = time.monotonic() + self.seconds
        tasks = []
        while time.monotonic() < deadline:
            tasks.append(asyncio.create_task(self.submit_random_job()))
            tasks.append(asyncio.create_task(self.query_random_job()))
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
        await asyncio.gather(*tasks)

    async def inject_store_fault(self):
        self.store.mode = self.random.choice(("busy", "slow", "lost"))
        self.log_event("store " + self.store.mode)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        self.store.mode = None

    async def inject_link_fault(self):
        is_store_link = self.random.random() < 0.5
        proxies = [node.proxy for node in self.nodes] if is_store_link else self.worker_proxies
        proxy = self.random.choice(proxies)
        mode = self.random.choice(("delay", "one_way", "silent", "reset"))
        self.log_event("link %s %d %s" % ("to the store" if is_store_link else "to worker", proxies.index(proxy), mode))
        if mode == "reset":
            return proxy.reset()
        proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.5, 4))
        proxy.set_mode(None)

    async def inject_node_fault(self):
        node = self.random.choice(self.nodes)
        kind = self.random.choice(("kill", "pause", "stop", "reload"))
        if node.is_busy:
            return
        self.log_event("%s %s" % (node.name, kind))
        if kind == "reload":
            node.signal(signal.SIGHUP)
        elif kind == "kill":
            node.is_busy = True
            await node.kill()
            await asyncio.sleep(self.random.uniform(0.1, 3))
            await node.start()
            node.is_busy = False
        elif kind == "pause":
            node.is_busy = True
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.5, 5))
            node.signal(signal.SIGCONT)
            node.is_busy = False
        else:
            node.is_busy = True
            await self.stop(node)
            await node.start()
            node.is_busy = False

    async def stop(self, node):
        node.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(node.process.wait(), STOP_GRACE_SECONDS)
            if code != 0:
                self.checker.report_violation("%s ends with %d after SIGTERM" % (node.name, code))
        except asyncio.TimeoutError:
            self.checker.report_violation("%s has not ended %d s after SIGTERM" % (node.name, STOP_GRACE_SECONDS))
            await node.kill()

    async def inject_worker_fault(self):
        worker = self.random.choice(self.workers)
        self.log_event("%s restarts" % worker.identity)
        worker.restart()
        self.store.put("servers", "", worker.identity, worker.entry())

    async def inject_configuration_change(self):
        self.configuration_version += self.random.randint(1, 9)
        self.log_event("configuration %d" % self.configuration_version)
        self.publish_configuration()

    async def inject_faults(self):
        """Injects random faults, several of which may overlap."""
        kinds = (self.inject_store_fault, self.inject_link_fault, self.inject_link_fault, self.inject_node_fault,
                 self.inject_node_fault, self.inject_worker_fault, self.inject_configuration_change)
        deadline = time.monotonic() + self.seconds - 5
        tasks = []
        await asyncio.sleep(5)
        while time.monotonic() < deadline:
            tasks.append(asyncio.create_task(self.random.choice(kinds)()))
            await asyncio.sleep(self.random.uniform(0.2, 3))
        await asyncio.gather(*tasks)

    async def wait_for_jobs_to_end(self):
        """Checks that all accepted jobs end and that no task of a cancelled job is still running."""
        unfinished_jobs = {job for job in self.checker.accepted if self.jobs[job] and job not in self.checker.cancelled}
        deadline = time.monotonic() + SETTLE_SECONDS
        while unfinished_jobs and time.monotonic() < deadline:
            for job in list(unfinished_jobs):
                if await self.query_job(job) in ("completed", "failed"):
                    unfinished_jobs.discard(job)
            await asyncio.sleep(0.5)
        for job in unfinished_jobs:
            self.checker.report_violation("job %s was accepted and has not ended" % job)
        for worker in self.workers:
            for task in worker.runs:
                if task.split(".")[0] in self.checker.cancelled:
                    self.checker.report_violation("task %s still runs after its job's cancellation" % task)

    async def run(self):
        await self.start()
        worker_ticks = asyncio.create_task(self.tick_workers())
        try:
            await asyncio.sleep(4)
            await asyncio.gather(self.generate_load(), self.inject_faults())
            await self.wait_for_jobs_to_end()
            for node in self.nodes:
                await self.stop(node)
        finally:
            worker_ticks.cancel()
            for node in self.nodes:
                if node.process and node.process.returncode is None:
                    await node.kill()
        return self.checker


class _Timeout:
    """Replacement for asyncio.timeout(), which older Python versions lack."""

    def __init__(self, seconds):
        self.seconds = seconds

    async def __aenter__(self):
        task = asyncio.current_task()
        self.is_over = False

        def end():
            self.is_over = True
            task.cancel()
        self.handle = asyncio.get_running_loop().call_later(self.seconds, end)

    async def __aexit__(self, kind, error, trace):
        self.handle.cancel()
        if self.is_over and kind is asyncio.CancelledError:
            raise asyncio.TimeoutError


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--logs", default=None, help="folder in which to keep the settings and logs of each seed")
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as scratch:
            folder = scratch
            if options.logs:
                folder = os.path.join(options.logs, "seed-%d" % seed)
                os.makedirs(folder, exist_ok=True)
            soak = Soak(options.program, seed, options.seconds, folder)
            checker = asyncio.run(soak.run())
        accepted, rejected = len(checker.accepted), len(checker.rejected)
        print("seed %d: %d jobs accepted, %d rejected, %d completed, %d starts, %d invariant violations"
              % (seed, accepted, rejected, len(checker.completed), checker.start_count, len(checker.violations)),
              flush=True)
        if checker.violations or not checker.completed:
            failed_seeds += 1
            for text in checker.violations[:10]:
                print("  " + text)
            print("  injected: " + "; ".join(soak.events), flush=True)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
