"""Workers of the soak test that are replaced while it runs."""

import asyncio
import time

from faultproxy import FaultProxy
from standinplatform import BASE_CAPACITY, DRAIN_MS, STOP_SECONDS, Worker

CUT_KINDS = ("refused", "refused", "reset", "reset_answers", "one_way")
# A worker's entry is removed after this many heartbeats were missed.
MISSED_HEARTBEATS = 3
CUT_SHARE = 0.17
# Workers that restart together, and how long they are down before they are cut off.
RESTARTED_SHARE = 0.4
UNHEALTHY_SHARE = 0.15
LONGEST_RESTART_SECONDS = 0.9
REPORTS = ("at once", "at once", "at once", "late", "never")
HEARTBEAT_SECONDS = 1.5
# The users' bound on clocks of workers.
SLOWEST_CLOCK = 0.98
# Time in which a run surely ends less the time between two looks at it.
END_MARGIN_SECONDS = 0.05


class WorkerPool:
    """Starts workers, lets them leave with and without a report, and lists them in the store."""

    def __init__(self, random, disturbances, cuts, failures, timing, restarts, connections, store, checker, faults,
                 log_event, size):
        self.random = random
        self.disturbances = disturbances  # Random numbers for crashes and capacities.
        self.cuts = cuts  # Random numbers for cuts.
        self.failures = failures  # Random numbers for workers that fail what they start.
        self.timing = timing  # Random numbers for clocks and the time in which runs end.
        self.restarts = restarts  # Random numbers for workers that restart and are cut off.
        self.connections = connections  # Draws how connections to workers end.
        self.kept_tasks = []
        self.store = store
        self.checker = checker
        self.faults = faults
        self.log_event = log_event
        self.zones = size.zones
        self.racks_per_zone = size.racks_per_zone
        self.workers_per_rack = size.workers_per_rack
        self.lease_limit_ms = size.lease_limit_ms
        self.longest_end_seconds = size.stop_ms / 1000 - END_MARGIN_SECONDS
        self.workers = []
        self.count = 0
        self.is_ending = False
        self.failing_fleets = []  # Workers of each time in which all fail what they start.

    def base_capacity(self):
        return len(self.zones) * self.racks_per_zone * self.workers_per_rack * BASE_CAPACITY

    async def start(self):
        for zone in self.zones:
            for rack in range(self.racks_per_zone):
                for _ in range(self.workers_per_rack):
                    await self.add(zone, "%s-r%d" % (zone, rack))

    async def add(self, zone, rack):
        worker = Worker("w%03d-%s" % (self.count, rack), zone, rack, self.checker, self.random,
                        self.lease_limit_ms, self.connections.draw(), self.timing.choice((1.0, SLOWEST_CLOCK)),
                        self.timing.uniform(STOP_SECONDS, self.longest_end_seconds))
        self.count += 1
        await worker.start()
        worker.crash = self.crash
        worker.proxy = FaultProxy(worker.port)
        await worker.proxy.start()
        self.workers.append(worker)
        for fleet in self.failing_fleets:
            fleet.append(worker)
            worker.active_failures += 1
        self.list(worker)
        return worker

    def list(self, worker):
        if worker.is_gone:
            return
        if not worker.is_listed:
            worker.listed_since = time.monotonic()
        worker.is_listed = True
        self.store.put("servers", "", worker.identity, worker.entry())

    def unlist(self, worker):
        worker.is_listed = False
        self.store.remove("servers", "", worker.identity)

    def replaceable(self):
        return [worker for worker in self.workers if not worker.is_replaced]

    async def take_away(self, worker, report=None, random=None):
        """Lets a worker drain and leave. Its report may come late or never."""
        if worker.is_replaced:
            return
        worker.is_replaced = True
        random = random or self.random
        report = report or random.choice(REPORTS)
        serve_seconds = random.uniform(0.2, 3) if random.random() < 0.7 else random.uniform(3, 12)
        late_seconds = random.uniform(0.5, 12)
        is_entry_removed = random.random() < 0.5
        lapse_seconds = random.uniform(1, 6)
        self.log_event("%s leaves, report %s" % (worker.identity, report))
        if report == "never":
            await asyncio.sleep(serve_seconds)
            self.faults.note()
        else:
            if report == "late":
                await asyncio.sleep(late_seconds)
            while self.store.mode == "busy":
                await asyncio.sleep(0.1)
            worker.drains_since = time.monotonic()
            self.list(worker)
            self.log_event("%s is listed as draining" % worker.identity)
            await asyncio.sleep(DRAIN_MS / 1000 + serve_seconds)
        worker.leave()
        worker.proxy.close()
        self.workers.remove(worker)
        self.log_event("%s has left" % worker.identity)
        if not is_entry_removed:
            await asyncio.sleep(lapse_seconds)
        while self.store.mode == "busy" and not self.is_ending:
            await asyncio.sleep(0.1)
        self.unlist(worker)

    async def replace(self, worker):
        """Starts a new worker in the same rack or in another one of the zone, and takes the old one away."""
        rack = worker.rack
        if self.random.random() < 0.4:
            rack = "%s-r%d" % (worker.zone, self.random.randrange(self.racks_per_zone + 1))
        pause = self.random.uniform(0, 3)
        if self.random.random() < 0.5:
            await self.add(worker.zone, rack)
            await asyncio.sleep(pause)
            await self.take_away(worker)
        else:
            leaving = asyncio.create_task(self.take_away(worker))
            await asyncio.sleep(pause)
            await self.add(worker.zone, rack)
            await leaving

    async def run_wave(self):
        """Replaces several workers within seconds, or all of a moment."""
        candidates = self.replaceable()
        share = self.random.choice((0.15, 0.25, 0.5))
        chosen = self.random.sample(candidates, int(len(candidates) * share))
        spread = self.random.choice((0, 2, 8))
        self.log_event("wave of %d of %d workers in %d s" % (len(chosen), len(candidates), spread))

        async def replace_later(worker, seconds):
            await asyncio.sleep(seconds)
            await self.replace(worker)
        await asyncio.gather(*[replace_later(worker, self.random.uniform(0, spread)) for worker in chosen])

    async def empty_group(self):
        """Takes all workers of a rack or of a whole zone away; new ones come after many seconds."""
        is_zone = self.random.random() < 0.4
        model = self.random.choice(self.replaceable())
        chosen = [worker for worker in self.replaceable()
                  if worker.zone == model.zone and (is_zone or worker.rack == model.rack)]
        if 2 * len(chosen) > len(self.replaceable()):
            return
        self.log_event("%s loses all %d workers" % (model.zone if is_zone else model.rack, len(chosen)))
        leaving = [asyncio.create_task(self.take_away(worker)) for worker in chosen]
        await asyncio.sleep(self.random.uniform(8, 25))
        for worker in chosen:
            await self.add(worker.zone, worker.rack)
            await asyncio.sleep(self.random.uniform(0, 0.5))
        await asyncio.gather(*leaving)

    async def empty_share(self, share, random, pause):
        """Lets a share of the workers drain and leave at once, as planned work; new ones come after a pause."""
        candidates = self.replaceable()
        chosen = random.sample(candidates, int(len(candidates) * share))
        self.log_event("%d of %d workers are emptied" % (len(chosen), len(candidates)))
        leaving = [asyncio.create_task(self.take_away(worker, "at once", random)) for worker in chosen]
        await asyncio.sleep(pause)
        for worker in chosen:
            await self.add(worker.zone, worker.rack)
            await asyncio.sleep(random.uniform(0, 0.1))
        await asyncio.gather(*leaving)

    async def lapse(self):
        """Removes the entry of a worker that lives, and puts it back."""
        worker = self.random.choice(self.replaceable())
        self.log_event("%s is not listed for some time" % worker.identity)
        with self.faults:
            self.unlist(worker)
            await asyncio.sleep(self.random.uniform(0.5, 6))
            if not worker.is_gone:
                self.list(worker)

    def restart(self, worker):
        """Starts a new incarnation at once."""
        worker.restart()
        self.faults.note()
        if worker.is_listed:
            worker.listed_since = time.monotonic()
            self.list(worker)

    def crash(self, worker):
        """Ends all that runs on a worker; after some seconds it is back, at times under another identifier."""
        if worker.is_down or worker.is_gone:
            return
        self.log_event("%s crashes" % worker.identity)
        self.checker.on_worker_crashed([task for task, run in worker.runs.items() if run["is_deadly"]])
        worker.is_down = True
        worker.is_silent = self.disturbances.random() < 0.3
        worker.restart()
        worker.close()
        if not worker.is_silent:
            worker.proxy.close()
        self.kept_tasks = [task for task in self.kept_tasks if not task.done()]
        self.kept_tasks.append(asyncio.create_task(self.restore(worker)))

    async def restore(self, worker):
        has_new_identity = self.disturbances.random() < 0.4 and not worker.is_replaced
        down_seconds = self.disturbances.uniform(1, 4)
        with self.faults:
            if has_new_identity:
                worker.is_replaced = True
                worker.leave()
                worker.proxy.close()
                self.workers.remove(worker)
            elif worker.is_silent:
                await worker.start()
            await asyncio.sleep(down_seconds)
            if has_new_identity:
                await self.add(worker.zone, worker.rack)
            elif not worker.is_gone:
                if not worker.is_silent:
                    await worker.start()
                    await worker.proxy.start()
                worker.is_silent = False
                worker.is_down = False
                self.restart(worker)
                self.log_event("%s is back" % worker.identity)
        if has_new_identity:
            await asyncio.sleep(max(0, MISSED_HEARTBEATS * HEARTBEAT_SECONDS - down_seconds))
            self.unlist(worker)

    async def lose_power(self, worker, random):
        """Ends a worker for good without a sign: its connections stay open, and its entry lapses. A new one comes."""
        self.log_event("%s loses power" % worker.identity)
        worker.is_replaced = worker.is_down = worker.is_silent = True
        worker.proxy.set_mode("silent")
        worker.end_runs("crashed")
        self.workers.remove(worker)
        pause = random.uniform(1, 4)
        lapse_seconds = MISSED_HEARTBEATS * HEARTBEAT_SECONDS - random.uniform(0, HEARTBEAT_SECONDS)
        with self.faults:
            await asyncio.sleep(min(pause, lapse_seconds))
            await self.add(worker.zone, worker.rack)
            await asyncio.sleep(max(0, lapse_seconds - pause))
            self.unlist(worker)

    async def cut_off(self, worker, kind, seconds):
        """Cuts a worker off from the nodes and from the store; it runs on under its lease."""
        if worker.is_cut_off or worker.is_down or worker.is_gone:
            return
        heartbeat_age = self.cuts.uniform(0, HEARTBEAT_SECONDS)
        lapse_seconds = MISSED_HEARTBEATS * HEARTBEAT_SECONDS - heartbeat_age
        self.log_event("%s is cut off for %.1f s, its entry lapses after %.1f s: %s"
                       % (worker.identity, seconds, lapse_seconds, kind))
        worker.is_cut_off = True
        with self.faults:
            if kind == "refused":
                worker.proxy.refuse()
            else:
                worker.proxy.set_mode(kind)
            await asyncio.sleep(min(seconds, lapse_seconds))
            if seconds > lapse_seconds and worker.is_listed:
                self.unlist(worker)
                await asyncio.sleep(seconds - lapse_seconds)
            worker.is_cut_off = False
            if worker.is_gone:
                return
            if kind != "refused":
                worker.proxy.set_mode(None)
            elif not worker.proxy.is_listening() and (not worker.is_down or worker.is_silent):
                await worker.proxy.start()
            await asyncio.sleep(self.cuts.uniform(0, HEARTBEAT_SECONDS))
        if not worker.is_gone and not worker.is_listed and not worker.is_cut_off:
            self.list(worker)

    async def cut_off_several(self):
        """Cuts some workers off at once."""
        kind = self.cuts.choice(CUT_KINDS)
        seconds = self.cuts.uniform(2.5, 5.5) if self.cuts.random() < 0.8 else self.cuts.uniform(5.5, 9)
        chosen = self.cuts.sample(self.workers, max(1, int(len(self.workers) * CUT_SHARE)))
        await asyncio.gather(*[self.cut_off(worker, kind, seconds) for worker in chosen])

    async def restart_and_cut_off(self, worker, down_seconds, delay, kind, seconds):
        """Starts a new incarnation under the same identifier and cuts it off, at times before its first report."""
        if worker.is_down or worker.is_cut_off or worker.is_gone:
            return
        self.log_event("%s restarts in %.2f s" % (worker.identity, down_seconds))
        worker.is_down = worker.is_silent = True
        worker.restart()
        with self.faults:
            await asyncio.sleep(down_seconds)
            worker.is_down = worker.is_silent = False
            if worker.is_gone:
                return
            self.restart(worker)
            await asyncio.sleep(delay)
            await self.cut_off(worker, kind, seconds)

    async def restart_and_cut_off_several(self):
        """Restarts a share of the workers at once and cuts them off at the same time soon after."""
        random = self.restarts
        chosen = random.sample(self.workers, max(1, int(len(self.workers) * RESTARTED_SHARE)))
        down_seconds = random.uniform(0.05, LONGEST_RESTART_SECONDS)
        delay = random.uniform(0.01, 0.5) if random.random() < 0.5 else random.uniform(0.5, 2.5)
        kind = random.choice(CUT_KINDS)
        seconds = random.uniform(4, 9)
        await asyncio.gather(*[self.restart_and_cut_off(worker, down_seconds, delay, kind, seconds) for worker in chosen])

    async def fail_several(self, share, seconds):
        """Lets a share of the workers fail what they start; if it is 1, new workers, too."""
        chosen = self.failures.sample(self.workers, max(1, int(len(self.workers) * share)))
        if share == 1:
            self.failing_fleets.append(chosen)
        self.log_event("%d workers fail what they start for %.1f s" % (len(chosen), seconds))
        with self.faults:
            for worker in chosen:
                worker.active_failures += 1
            await asyncio.sleep(seconds)
            self.failing_fleets = [fleet for fleet in self.failing_fleets if fleet is not chosen]
            for worker in chosen:
                worker.active_failures -= 1

    async def make_several_unhealthy(self, random):
        """Lets some workers reject a part of the starts and carry out another part without an answer."""
        chosen = random.sample(self.workers, max(1, int(len(self.workers) * UNHEALTHY_SHARE)))
        self.log_event("%d workers are unhealthy" % len(chosen))
        with self.faults:
            for worker in chosen:
                worker.health = random
            await asyncio.sleep(random.uniform(2, 6.5))
            for worker in chosen:
                worker.health = None

    async def crash_several(self):
        """Lets one worker, 30% of a zone's workers or all of a rack crash at the same moment."""
        model = self.disturbances.choice(self.workers)
        kind = self.disturbances.choice(("worker", "zone", "rack"))
        chosen = [worker for worker in self.workers if (worker.zone == model.zone if kind == "zone" else
                                                        worker.rack == model.rack if kind == "rack" else
                                                        worker is model)]
        if kind == "zone":
            chosen = self.disturbances.sample(chosen, max(1, len(chosen) * 3 // 10))
        for worker in chosen:
            self.crash(worker)

    async def shrink_capacities(self):
        """Lets some workers offer a share of their capacity only; their entries show it up to a heartbeat later."""
        chosen = self.disturbances.sample(self.workers, self.disturbances.randint(1, max(1, len(self.workers) // 3)))
        share = self.disturbances.uniform(0.1, 0.8)
        self.log_event("%d workers have %d%% of their capacity" % (len(chosen), 100 * share))
        await self.set_capacities(chosen, int(BASE_CAPACITY * share))
        ends_at = time.monotonic() + self.disturbances.uniform(3, 20)
        while time.monotonic() < ends_at and not self.is_ending:
            await asyncio.sleep(0.25)
        await self.set_capacities(chosen, BASE_CAPACITY)

    async def set_capacities(self, workers, capacity):
        for worker in workers:
            worker.set_capacity(capacity)
        for worker in workers:
            await asyncio.sleep(self.disturbances.uniform(0, HEARTBEAT_SECONDS / len(workers)))
            if worker.is_listed:
                self.list(worker)
