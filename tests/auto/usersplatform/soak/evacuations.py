"""Evacuations of failure domains by the operator, and the check that no task starts in one."""

import asyncio
import time

# The users' bound on the time from a request until nothing starts in the domain, as in the nodes' settings.
EVACUATE_SECONDS = 5.0
# A node is in touch after this time without faults.
CALM_SECONDS = 4.0
UNKNOWN_DOMAIN = "no-such-zone"


class Evacuations:
    """Requests evacuations in the store, by a random stream of its own."""

    def __init__(self, soak, random):
        self.soak = soak
        self.random = random
        self.since = {}  # domain -> time of the request

    def request(self, zone):
        if zone in self.since:
            return False
        self.since[zone] = time.monotonic()
        self.soak.store.put("op", "", "evacuate/" + zone, b"{}")
        self.soak.log_event("%s is evacuated" % zone)
        return True

    def withdraw(self, zone):
        del self.since[zone]
        self.soak.store.remove("op", "", "evacuate/" + zone)
        self.soak.log_event("%s is taken back" % zone)

    def check_start(self, worker, task):
        evacuated = time.monotonic() - self.since.get(worker.zone, time.monotonic())
        if evacuated > EVACUATE_SECONDS and self.soak.faults.calm_seconds() > CALM_SECONDS:
            self.soak.checker.report_violation("task %s is started on %s, whose domain is evacuated since %.1f s"
                                               % (task, worker.identity, evacuated))

    async def evacuate(self, zone, seconds):
        if self.request(zone):
            await asyncio.sleep(seconds)
            self.withdraw(zone)

    async def run(self, deadline):
        """Evacuates one or two domains at a time, some only for a moment, and one that does not exist."""
        zones = list(self.soak.size.zones)
        while time.monotonic() < deadline:
            await asyncio.sleep(self.random.uniform(0.5, 4))
            seconds = self.random.uniform(0.05, 1) if self.random.random() < 0.3 else self.random.uniform(6, 10)
            count = 2 if len(zones) > 2 and self.random.random() < 0.3 else 1
            chosen = self.random.sample(zones, count) + ([UNKNOWN_DOMAIN] if self.random.random() < 0.2 else [])
            await asyncio.gather(*[self.evacuate(zone, seconds) for zone in chosen])
