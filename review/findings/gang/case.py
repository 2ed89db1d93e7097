"""A gang that is larger than a shard, on idle minions that could run it twice over."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "common"))

from standins import Case, main  # noqa: E402  pylint: disable=wrong-import-position

ZONES = ["lagos-ikeja", "lagos-yaba", "abuja-wuse"]
MINIONS_PER_ZONE = 3
CAPACITY = 32000
TASK_CPU = 6000
TASK_MS = 1000
LARGE_GANG, SMALL_GANG = 20, 12
# The bound of rule LOST, and how long the script looks on.
IDLE_SECONDS = 3.0
WATCH_SECONDS = 30.0


def make_run(folder, has_trouble):
    return Case(folder, lambda task, spec: None, has_trouble), run


async def run(case):
    await case.start(ZONES, ZONES, MINIONS_PER_ZONE, capacity=CAPACITY)
    count = LARGE_GANG if case.has_trouble else SMALL_GANG
    slots = len(case.fleet.minions) * (CAPACITY // TASK_CPU)
    case.record.note("a gang of %d tasks; the idle minions have room for %d of them" % (count, slots))
    job = "%016x" % random.getrandbits(64)
    names = ["%s.0.0.%d" % (job, index) for index in range(count)]
    body = {"spec": "gang", "phases": [{"count": count, "cpu": TASK_CPU, "mem_mb": 1024, "estimate_ms": TASK_MS, "gang": True}]}
    present_at = None
    longest_idle = 0.0
    if not await case.submit(job, body):
        case.record.note("the job is not accepted")
        return
    idle_since = until = time.monotonic()
    until += WATCH_SECONDS
    while time.monotonic() < until and not all(case.fleet.done(name) for name in names):
        running = [name for name in names if case.fleet.running(name)]
        now = time.monotonic()
        if running:
            idle_since = now
        longest_idle = max(longest_idle, now - idle_since)
        # The tasks work once all are present, and end together.
        present_at = (present_at or now) if len(running) == count else None
        if present_at and now - present_at > TASK_MS / 1000:
            for minion in case.fleet.minions:
                for name in [name for name in minion.runs if name.startswith(job)]:
                    minion.end(name, "done")
        await asyncio.sleep(0.02)
    _, state = await case.state(job)
    case.record.note("the job had nothing running for up to %.1f s and is shown as %s" % (longest_idle, state))
    if longest_idle > IDLE_SECONDS and slots >= 2 * count:
        case.record.rule_broken("LOST: the accepted job %s has had nothing running for %.0f s, and the minions, all idle, have room "
                                "for %d tasks of its gang of %d" % (job, longest_idle, slots, count))


if __name__ == "__main__":
    sys.exit(main(HERE, make_run))
