#!/usr/bin/env python3
"""Randomized soak test of geraniumquayd: runs real processes, injects faults from outside and checks the guarantees
against what callers and workers observe.

    soak.py --program PATH [--seed N] [--seeds COUNT] [--seconds S] [--logs FOLDER] [--large]
            [--only-freezes] [--only-cuts] [--only-failures] [--only-slow-nodes] [--only-restarts] [--only-losses]
            [--no-crashes] [--no-cuts] [--no-failures] [--no-slow-nodes] [--no-restarts] [--size NAME]
            [--connections KIND] [--evacuations]

Exits with 0 if no invariant was violated; else the logs of the failed seeds are kept. A seed determines the injected
faults and their times; the timing of the processes still varies. With --large, 100 processes and 60 workers run: by
hand only, and one such run at a time.
"""

import argparse
import asyncio
import datetime
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

from clients import ConnectionClient, call
from connectionbehavior import KINDS, ConnectionBehaviors
from evacuations import Evacuations
from faultclock import FaultClock
from faultinjector import FaultInjector
from faultproxy import FaultProxy
from invariantchecker import MAX_ATTEMPTS, InvariantChecker
from progresschecker import CALM_SECONDS, INTERVAL_SECONDS, LONG_RUNNING_SECONDS, ProgressChecker, TrackedJob
from soaknode import Node, free_ports
from soaksize import SIZES
from standinplatform import Store
from workerpool import WorkerPool

SETTLE_SECONDS = 45
MAX_SPEC_BYTES = 4000
MAX_EVENTS_SHOWN = 60
# Share of the processors that long-running tasks may ask for, and largest number of big jobs at once.
LONG_RUNNING_SHARE = 0.3
MAX_BIG_JOBS = 2
# Receive buffer between nodes and store in a part of the seeds.
NARROW_BYTES = 4096
# Share of the jobs in storms with a task that crashes each worker that starts it.
DEADLY_SHARE = 0.08
# Time at the end of the load without big jobs, whose many tasks would try the workers that fail again and again.
SECONDS_WITHOUT_BIG_JOBS = 8
# Share of the jobs with a task that fails always.
HOPELESS_SHARE = 0.03
LARGE_REQUEST_BYTES = 65536
# Tasks that last and fill shards: their processors (thousandths), the share of all processors that they ask for, and when
# they come, as shares of the time. The large ones have no room until some of the small ones are cancelled, and never all.
FILLERS = (((200, 300, 600, 1000), 1.0, 0.0), ((2500, 6000, 8000), 1.0, 0.1), ((200, 300, 600), 0.05, 0.45))
CANCELLED_AT = (0.25, 0.45)
MAX_FILLER_TASKS = 6
CANCELLED_FILLERS = 0.04
PASS_METRICS = ("geraniumquay_pass_steps", "geraniumquay_pass_seconds")
LOOP_METRIC = "geraniumquay_loop_late_seconds"


class Soak:
    """One run of the soak test with one seed."""

    def __init__(self, program, seed, seconds, folder, size, has_only_freezes=False, has_crashes=True,
                 has_cuts=True, has_only_cuts=False, has_failures=True, has_only_failures=False,
                 has_slow_nodes=True, has_only_slow_nodes=False, has_restarts=True, has_only_restarts=False,
                 connections="drawn", has_evacuations=False, has_only_losses=False):
        self.program = program
        self.random = random.Random(seed)
        self.disturbances = random.Random("disturbances %d" % seed)
        self.cuts = random.Random("cuts %d" % seed)
        self.failures = random.Random("failures %d" % seed)
        self.slowness = random.Random("slow nodes %d" % seed)
        self.timing = random.Random("timing %d" % seed)
        self.health = random.Random("health %d" % seed)
        self.restarts = random.Random("restarts %d" % seed)
        self.connections = ConnectionBehaviors(connections, random.Random("connections %d" % seed))
        self.losses = random.Random("losses %d" % seed)
        self.has_only_losses = has_only_losses
        self.has_only_restarts = has_only_restarts
        self.has_only_failures = has_only_failures
        self.has_only_slow_nodes = has_only_slow_nodes
        self.has_slow_nodes = has_slow_nodes and not (has_only_freezes or has_only_cuts or has_only_failures
                                                      or has_only_restarts or has_only_losses)
        self.has_restarts = has_restarts and not (has_only_freezes or has_only_cuts or has_only_failures
                                                  or has_only_slow_nodes or has_only_losses)
        # Without other faults nothing that waits is excused.
        self.is_calm_beside_slow_nodes = has_only_slow_nodes and self.slowness.random() < 0.5
        self.has_failures = has_failures and not (has_only_freezes or has_only_cuts or has_only_slow_nodes
                                                  or has_only_restarts or has_only_losses)
        self.has_only_cuts = has_only_cuts
        self.has_crashes = has_crashes and not (has_only_freezes or has_only_cuts or has_only_failures
                                                or has_only_slow_nodes or has_only_restarts or has_only_losses)
        self.has_cuts = has_cuts and not (has_only_freezes or has_only_slow_nodes or has_only_restarts
                                          or has_only_losses)
        self.seconds = seconds
        self.folder = folder
        self.size = size
        self.has_only_freezes = has_only_freezes
        self.started_at = time.monotonic()
        self.events = []
        self.event_log = open(os.path.join(folder, "soak.events"), "w", encoding="utf-8")
        self.faults = FaultClock()
        self.unplanned = FaultClock(self.faults)
        self.checker = InvariantChecker(self.faults, self.log_event)
        self.store = Store(self.random)
        self.pool = WorkerPool(self.random, self.disturbances, self.cuts, self.failures, self.timing,
                               self.restarts, self.connections, self.store, self.checker, self.unplanned, self.log_event, size)
        self.progress = ProgressChecker(self.checker, self.faults, self.pool, folder, not has_only_losses)
        self.jobs = self.progress.jobs  # id -> TrackedJob
        self.nodes = []
        self.lost_nodes = []  # Stopped for good.
        self.node_count = 0
        self.kept_tasks = []
        self.configuration_version = 1
        self.big_jobs = 0
        self.last_big_job_at = float("inf")
        self.injector = FaultInjector(self)
        self.evacuations = Evacuations(self, random.Random("evacuations %d" % seed)) if has_evacuations else None
        self.checker.evacuations = self.evacuations
        self.answer_count = 0
        self.broken_count = 0

    def log_event(self, text, is_short=True):
        now = datetime.datetime.now(datetime.timezone.utc).strftime("%H:%M:%S.%f")[:-3]
        line = "%.1f (%s) %s" % (time.monotonic() - self.started_at, now, text)
        self.event_log.write(line + "\n")
        if is_short and "VIOLATION" not in text:
            self.events.append(line)
        return line

    def keep(self, tasks):
        self.kept_tasks += tasks

    def is_calm(self, seconds):
        return self.faults.calm_seconds() > seconds

    async def start(self):
        await self.store.start()
        await self.pool.start()
        self.publish_configuration()
        ports = free_ports(4 * self.size.nodes)
        receive_bytes = NARROW_BYTES if self.has_only_freezes or self.random.random() < 0.4 else None
        for number in range(self.size.nodes):
            zone = self.size.zones[number % len(self.size.zones)]
            await self.add_node(zone, ports[4 * number:4 * number + 4], receive_bytes)
        for node in self.nodes:
            await node.start()
        self.unplanned.note()

    async def add_node(self, zone, ports, receive_bytes=None):
        proxy = FaultProxy(self.store.port, receive_bytes)
        await proxy.start()
        self.nodes.append(Node(self.node_count, zone, self.program, self.folder, proxy, ports, self.checker,
                               self.unplanned, self.size, self.evacuations is not None))
        self.node_count += 1
        return self.nodes[-1]

    async def replace_node(self, node, seconds):
        """Lets a node lose power for good; a new one comes under another name and address."""
        self.log_event("%s is lost for good" % node.name)
        self.nodes.remove(node)
        self.lost_nodes.append(node)
        node.lose_power()
        with self.unplanned:
            await asyncio.sleep(seconds)
            await (await self.add_node(node.zone, free_ports(4))).start()

    def publish_configuration(self):
        route = {"name": "queue", "host": "jobs.example", "path_prefix": "/jobs/", "kind": "non_idempotent",
                 "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "service",
                 "max_attempts": MAX_ATTEMPTS, "slack_factor": 2.0}
        document = {"version": self.configuration_version, "routes": [route], "services": [{"name": "service"}],
                    "limits": {"max_body_bytes": 262144}}
        self.store.put("op", "", "config", json.dumps(document).encode())

    async def tick(self):
        checked_at = 0.0
        while True:
            for worker in self.pool.workers:
                worker.tick()
            if time.monotonic() - checked_at >= INTERVAL_SECONDS:
                checked_at = time.monotonic()
                self.progress.tick()
            await asyncio.sleep(0.02)

    def make_job(self, is_long_running, is_big=False):
        name = "%016x" % self.random.getrandbits(64)
        count = 1 if is_big else self.random.randint(1, 3)
        shape = {"cpu": 300 if is_big else self.random.choice((300, 600, 1000)), "ms": self.random.randint(100, self.size.longest_task_ms),
                 "lasts": is_long_running}
        phase = {"count": count, "cpu": shape["cpu"], "mem_mb": 100, "estimate_ms": shape["ms"]}
        phases = [dict(phase, long_running=True)] if is_long_running else [phase]
        if is_big:
            shape["ms"] = self.random.randint(50, 300)
            phases += [dict(phase, after=[0] if number % 3 == 0 else [])
                       for number in range(self.random.randint(100, 300))]
        elif not is_long_running and self.random.random() < 0.4:
            phases.append(dict(phase, after=[0]))
        is_deadly = (self.has_crashes and self.injector.is_storm and not is_big
                     and self.disturbances.random() < DEADLY_SHARE)
        if is_deadly:
            shape["deadly"] = "%d.%d" % (self.disturbances.randrange(len(phases)), self.disturbances.randrange(count))
            shape["is_unanswered"] = self.health.random() < 0.5
        if (self.has_failures and not is_deadly and not is_big and not is_long_running
                and self.failures.random() < HOPELESS_SHARE):
            shape["hopeless"] = "%d.%d" % (self.failures.randrange(len(phases)), self.failures.randrange(count))
        spec = json.dumps(shape)
        if is_big:
            spec = json.dumps(dict(shape, pad="x" * (MAX_SPEC_BYTES - len(spec) - len(', "pad": ""'))))
        job = self.track_job(name, spec, phases, shape["cpu"], is_long_running)
        job.is_deadly = is_deadly
        return job

    def track_job(self, name, spec, phases, processors, is_long_running):
        steps = [(["%s.0.%d.%d" % (name, step, index) for index in range(phase["count"])], phase.get("after", []))
                 for step, phase in enumerate(phases)]
        job = TrackedJob(name, {"spec": spec, "phases": phases}, steps, processors, is_long_running)
        self.jobs[name] = job
        return job

    def make_filler(self, random, processors):
        """Makes a job of tasks that last."""
        phase = {"count": random.randint(1, MAX_FILLER_TASKS), "cpu": processors, "mem_mb": 100, "estimate_ms": 1000,
                 "long_running": True}
        spec = json.dumps({"cpu": processors, "ms": 1000, "lasts": True})
        return self.track_job("%016x" % random.getrandbits(64), spec, [phase], processors, True)

    async def fill_shards(self, random, seconds):
        """Asks for more tasks that last than fit, cancels a part of them in between and the rest in the end."""
        started_at = time.monotonic()

        async def wait_until(share):
            await asyncio.sleep(max(0, started_at + share * seconds - time.monotonic()))

        async def attend(job, cancelled_at):
            if await self.submit(job, random):
                await wait_until(cancelled_at)
                await self.cancel(job)
        tasks = []
        for sizes, filled_share, begins_at in FILLERS:
            await wait_until(begins_at)
            missing = filled_share * self.pool.base_capacity()
            while missing > 0:
                job = self.make_filler(random, random.choice(sizes))
                is_cancelled_early = begins_at == 0 and random.random() < CANCELLED_FILLERS
                tasks.append(asyncio.create_task(attend(job, random.uniform(*CANCELLED_AT) if is_cancelled_early else 1)))
                missing -= job.processors * len(job.tasks)
                await asyncio.sleep(0.005)
        await asyncio.gather(*tasks)

    def on_accepted(self, job):
        self.checker.accepted[job.name] = time.monotonic()
        self.log_event("%s is accepted" % job.name, is_short=False)
        if not job.is_long_running or job.is_deadly:
            self.keep([asyncio.create_task(self.follow_job(job))])
        return True

    def recent_jobs(self):
        now = time.monotonic()
        return [name for name, accepted_at in self.checker.accepted.items() if 4 < now - accepted_at < 60]

    def long_running_share(self):
        asked = sum(job.processors * len(job.tasks) for job in self.jobs.values()
                    if job.is_long_running and not job.is_cancelling)
        return asked / self.pool.base_capacity()

    async def submit_job(self, is_long_running=False, is_big=False, pause=0.0, node=None):
        """Submits a job, its request in two halves if `pause` is not 0, and attends to it. With `node`, a large request
        is first sent to that node."""
        if is_big and (self.big_jobs >= MAX_BIG_JOBS or time.monotonic() > self.last_big_job_at):
            return
        self.big_jobs += 1 if is_big else 0
        try:
            await self.submit_and_attend(self.make_job(is_long_running, is_big), pause, node)
        finally:
            self.big_jobs -= 1 if is_big else 0

    async def submit(self, job, random, pause=0.0, node=None):
        """Returns whether the job was accepted."""
        may_have_run = False
        for number in range(4):
            target = node if node and number == 0 else random.choice(self.nodes)
            status, _ = await call(target.callers_port, "POST", "/jobs/" + job.name, job.body, pause=pause,
                                   least_bytes=LARGE_REQUEST_BYTES if node else 0)
            if status == 200:
                return self.on_accepted(job)
            if status in (429, 503):
                if not may_have_run:
                    self.checker.rejected.add(job.name)
                break
            may_have_run = True
            await asyncio.sleep(0.3)
        job.is_cancelling = True
        return False

    async def submit_and_attend(self, job, pause, node):
        if not await self.submit(job, self.random, pause, node):
            return
        if self.random.random() < (0.4 if job.is_long_running else 0.1):
            await asyncio.sleep(self.random.uniform(0.2, 5))
            await self.cancel(job)

    async def cancel(self, job):
        job.is_cancelling = True
        for _ in range(60):
            status, _ = await call(self.random.choice(self.nodes).callers_port, "DELETE", "/jobs/" + job.name)
            if status in (200, 410):
                self.checker.cancelled[job.name] = time.monotonic()
                if status == 410:
                    self.checker.report_violation("job %s was accepted and its cancellation is answered 410" % job.name)
                return
            await asyncio.sleep(0.5)
        self.checker.report_violation("job %s could not be cancelled in 30 s" % job.name)

    async def follow_job(self, job):
        """Asks for the state of a job from time to time, until its end is told or its cancellation begins."""
        deadline = None
        while not job.is_cancelling:
            if await self.query_job(job) in ("completed", "failed"):
                job.is_ended = True
                return
            if deadline is None and self.is_load_over:
                deadline = time.monotonic() + SETTLE_SECONDS
            if deadline is not None and time.monotonic() > deadline:
                self.checker.report_violation("job %s was accepted and has not ended" % job.name)
                return
            await asyncio.sleep(self.random.uniform(0.5, 1) if self.is_load_over else self.random.uniform(0.5, 4))

    async def query_job(self, job):
        accepted_at = self.checker.accepted[job.name]
        status, fields = await call(self.random.choice(self.nodes).callers_port, "GET", "/jobs/" + job.name)
        if job.name in self.checker.cancelled or status not in (200, 410):
            return None
        if status == 410 and time.monotonic() - accepted_at < 3:
            return None
        self.checker.on_state_reported(job.name, fields.get("state"), job.tasks)
        if fields.get("state") == "failed":
            self.log_event("%s is told as failed" % job.name)
        return fields.get("state")

    async def generate_load(self, deadline):
        while time.monotonic() < deadline:
            is_long_running = self.random.random() < 0.1 and self.long_running_share() < LONG_RUNNING_SHARE
            is_big = not is_long_running and self.random.random() < 0.05
            self.keep([asyncio.create_task(self.submit_job(is_long_running, is_big))])
            known = self.recent_jobs()
            if known:
                self.keep([asyncio.create_task(self.query_job(self.jobs[self.random.choice(known)]))])
            await asyncio.sleep(self.random.uniform(0.4, 1.6) * self.size.mean_pause)

    async def settle(self):
        """Waits for the end of all work and faults, and longer than the bound on what may wait; then ends the
        long-running jobs and checks that nothing of a cancelled job still runs."""
        self.is_load_over = True
        self.pool.is_ending = True
        while self.kept_tasks:
            tasks, self.kept_tasks = self.kept_tasks, []
            await asyncio.gather(*tasks)
        await asyncio.sleep(max(0, CALM_SECONDS + LONG_RUNNING_SECONDS + 1 - self.faults.calm_seconds()))
        open_jobs = [job for job in self.jobs.values()
                     if job.is_long_running and job.name in self.checker.accepted and not job.is_cancelling]
        await asyncio.gather(*[self.cancel(job) for job in open_jobs])
        await asyncio.sleep(4)
        for task, runs in self.checker.running_attempts.items():
            if runs and task.split(".")[0] in self.checker.cancelled:
                self.checker.report_violation("task %s still runs after its job's cancellation" % task)

    async def run(self):
        self.is_load_over = False
        await self.start()
        ticks = asyncio.create_task(self.tick())
        try:
            await asyncio.sleep(4)
            deadline = time.monotonic() + self.seconds
            if self.has_only_failures:
                self.last_big_job_at = deadline - SECONDS_WITHOUT_BIG_JOBS
            clients = [ConnectionClient(self, number) for number in range(self.size.connections)]
            disturbances = []
            if self.has_crashes:
                disturbances += [self.injector.disturb_workers(deadline), self.injector.make_workers_unhealthy(deadline)]
            if self.has_cuts:
                disturbances.append(self.injector.cut_workers(deadline))
            if self.has_failures:
                disturbances.append(self.injector.fail_workers(deadline))
            if self.has_restarts:
                disturbances.append(self.injector.restart_workers(deadline))
            if self.has_slow_nodes:
                disturbances.append(self.injector.slow_nodes(deadline))
            if self.evacuations:
                disturbances.append(self.evacuations.run(deadline))
            if self.has_only_losses:
                disturbances.append(self.injector.lose_workers(deadline))
            await asyncio.gather(self.generate_load(deadline), self.injector.run(deadline), *disturbances,
                                 *[client.run(deadline) for client in clients])
            await self.settle()
            if ticks.done():
                await ticks
            await self.check_metrics()
            self.peak_memory_mb = sum(node.peak_memory_mb() for node in self.nodes)
            await asyncio.gather(*[node.stop() for node in self.nodes])
        finally:
            ticks.cancel()
            for node in self.nodes + self.lost_nodes:
                if node.process and node.process.returncode is None:
                    await node.kill()
            self.event_log.close()
        return self.checker

    async def check_metrics(self):
        """Checks that each node tells how late its event loop is, and owners tell of their passes."""
        names = await asyncio.gather(*[node.metric_names() for node in self.nodes])
        for node, found in zip(self.nodes, names):
            if LOOP_METRIC + "_count" not in found:
                self.checker.report_violation("%s has no metric %s" % (node.name, LOOP_METRIC))
        for metric in PASS_METRICS:
            if not any(metric + "_count" in found for found in names):
                self.checker.report_violation("no node has a metric " + metric)

    def owner_summary(self):
        """Returns how often the nodes told that a pass was long or their event loop late, and how old an owner's list of
        workers was when a task waited."""
        passes = [int(line["steps"]) for node in self.nodes for line in node.events("pass-long")]
        late = [int(line["late_ms"]) for node in self.nodes for line in node.events("loop-late")]
        ages = [int(line["list_age_ms"]) for node in self.nodes for line in node.events("task-waiting")]
        return "%d long passes (up to %d steps), %d late ticks (up to %d ms), oldest list of workers %d ms" % (
            len(passes), max(passes, default=0), len(late), max(late, default=0), max(ages, default=0))

    def summary(self):
        longest = self.progress.longest_calm_wait
        return ("%d jobs accepted, %d rejected, %d completed, %d starts, %d answers on open connections, %d broken, "
                "longest wait beside room in calm times %.1f s (long-running %.1f s), %d runs lapsed in calm times, %s, "
                "%.0f MB, lag %.2f s, %d invariant violations"
                % (len(self.checker.accepted), len(self.checker.rejected), len(self.checker.completed),
                   self.checker.start_count, self.answer_count, self.broken_count, longest[False], longest[True],
                   self.checker.calm_lapses, self.owner_summary(), self.peak_memory_mb, self.progress.longest_lag,
                   len(self.checker.violations)))


def run_seed(options, seed):
    """Returns whether the seed violated no invariant."""
    if options.logs:
        folder = os.path.join(options.logs, "seed-%d" % seed)
        os.makedirs(folder, exist_ok=True)
    else:
        folder = tempfile.mkdtemp(prefix="soak-seed-%d-" % seed)
    soak = Soak(options.program, seed, options.seconds, folder, SIZES["large" if options.large else options.size],
                options.only_freezes, not options.no_crashes, not options.no_cuts, options.only_cuts,
                not options.no_failures, options.only_failures, not options.no_slow_nodes, options.only_slow_nodes,
                not options.no_restarts, options.only_restarts, options.connections,
                options.evacuations, options.only_losses)
    checker = asyncio.run(soak.run())
    print("seed %d, connections %s: %s" % (seed, soak.connections.kind or "mixed", soak.summary()), flush=True)
    is_good = not checker.violations and bool(checker.completed)
    if not is_good:
        for text in checker.violations[:10]:
            print("  " + text)
        print("  injected: " + "; ".join(soak.events[-MAX_EVENTS_SHOWN:]))
        print("  logs: " + folder, flush=True)
    elif not options.logs:
        shutil.rmtree(folder)
    return is_good


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--program", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--logs", default=None, help="folder in which to keep the settings and logs of each seed")
    parser.add_argument("--large", action="store_true", help="100 processes and 60 workers")
    parser.add_argument("--size", choices=sorted(SIZES), default="small",
                        help="regional-7 and regional-8: the processes, workers and longest leases of ojalunch-sched and "
                             "ldc-geranium; crowded: 80 workers to an owner")
    parser.add_argument("--only-freezes", action="store_true",
                        help="no fault but pauses of nodes that connect or write to the store")
    parser.add_argument("--no-crashes", action="store_true",
                        help="no tasks that crash workers, workers that crash together or capacities that change")
    parser.add_argument("--no-cuts", action="store_true",
                        help="no workers that run on while they are cut off from the nodes and from the store")
    parser.add_argument("--no-failures", action="store_true",
                        help="no workers that fail what they start, and no tasks that fail always")
    parser.add_argument("--no-slow-nodes", action="store_true",
                        help="no nodes with a small share of the processor beside shards full of tasks that last")
    parser.add_argument("--no-restarts", action="store_true",
                        help="no workers that restart under their identifiers and are cut off soon after")
    parser.add_argument("--only-restarts", action="store_true", help="no other fault but signals to nodes")
    parser.add_argument("--only-losses", action="store_true",
                        help="no fault but workers that lose power for good, in series, at times together with the owner "
                             "of their shard")
    parser.add_argument("--only-cuts", action="store_true",
                        help="no fault but workers that run on while they are cut off from the nodes and from the store")
    parser.add_argument("--only-failures", action="store_true",
                        help="no workers that come, leave or crash, but workers that fail what they start beside signals to "
                             "nodes, restarts, broken links and cuts")
    parser.add_argument("--only-slow-nodes", action="store_true",
                        help="no fault but nodes with a small share of the processor beside shards full of tasks that last; "
                             "in half of the seeds signals to nodes, restarts and broken links, too")
    parser.add_argument("--connections", choices=("drawn",) + KINDS, default="drawn",
                        help="how connections to workers end, see connectionbehavior.py; drawn: by seed")
    parser.add_argument("--evacuations", action="store_true",
                        help="the operator evacuates failure domains and takes them back")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # So that the nodes are ended, too.
    results = [run_seed(options, seed) for seed in range(options.seed, options.seed + options.seeds)]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
