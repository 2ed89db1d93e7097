"""Jobs whose tasks need a kind of minion that only one of three zones has."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from standins import Case, main  # noqa: E402  pylint: disable=wrong-import-position

ZONES = ["abuja-wuse", "lagos-ikeja", "lagos-yaba"]
KINDS = {"abuja-wuse": "a", "lagos-ikeja": "a", "lagos-yaba": "c"}
MINIONS_PER_ZONE = 4
TASK_MS = 500
# From the page: finish_s after the end of the traffic, a job may have nothing running for 3 s at most.
FINISH_SECONDS = 14.0
IDLE_SECONDS = 3.0
WATCH_SECONDS = 25.0
START_SECONDS = 2.0
MAX_JOBS = 12


def make_run(folder, has_trouble):
    return Case(folder, lambda task, spec: TASK_MS, has_trouble), run


async def run(case):
    await case.start(ZONES, ZONES, MINIONS_PER_ZONE, kinds=KINDS)
    phase = {"count": 1, "cpu": 2300, "mem_mb": 4600, "estimate_ms": TASK_MS}
    if case.has_trouble:
        phase["constraints"] = "c"
    deadline = time.monotonic() + 90 - WATCH_SECONDS
    for _ in range(MAX_JOBS):
        job = "%016x" % random.getrandbits(64)
        if not await case.submit(job, {"spec": "job", "phases": [phase]}):
            continue
        accepted_at = time.monotonic()
        while time.monotonic() - accepted_at < START_SECONDS and not case.fleet.starts_of(job):
            await asyncio.sleep(0.05)
        # The next job comes after the end of this one.
        if not case.fleet.starts_of(job):
            await watch(case, job, accepted_at)
        while case.fleet.starts_of(job) and not case.fleet.done(job + ".0.0.0"):
            await asyncio.sleep(0.05)
        if case.record.broken or time.monotonic() > deadline:
            return


async def watch(case, job, accepted_at):
    """Watches a job that doesn't start; it is the only one."""
    suitable = [minion for minion in case.fleet.minions if not case.has_trouble or "c" in minion.labels]
    while time.monotonic() - accepted_at < WATCH_SECONDS and not case.fleet.starts_of(job):
        await asyncio.sleep(0.05)
    if case.fleet.starts_of(job):
        case.record.note("%s has started after %.1f s" % (job, time.monotonic() - accepted_at))
        return
    _, state = await case.state(job)
    if time.monotonic() - accepted_at > FINISH_SECONDS + IDLE_SECONDS:
        case.record.rule_broken("LOST: the accepted job %s is shown as %s and has had nothing running for %.0f s; %d idle minions "
                                "have the label and room for it" % (job, state, time.monotonic() - accepted_at, len(suitable)))


if __name__ == "__main__":
    sys.exit(main(HERE, make_run))
