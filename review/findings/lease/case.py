"""A minion starts again and takes a lease in the clock of its former life; its owner is killed, and the minion is cut off."""

import asyncio
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(HERE)), "common"))

from standins import Case, Minion, main  # noqa: E402  pylint: disable=wrong-import-position

TASK_MS = 30000
RESTART_SECONDS = 0.05
CUT_SECONDS = 5.5  # The longest cut of minions in the site file.
JOB = {"spec": "job", "phases": [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": TASK_MS, "constraints": "c"}]}


class CutMinion(Minion):
    """Answers nothing while it is cut off, and runs on."""

    is_cut = False

    async def handle(self, method, target, headers, body):
        return None if self.is_cut else await super().handle(method, target, headers, body)


def make_run(folder, has_trouble):
    return Case(folder, lambda task, spec: TASK_MS, has_trouble), run


async def run(case):
    await case.start(["lagos-ikeja", "lagos-yaba", "lagos-ikeja"], ["lagos-ikeja"], 8)
    # Only two minions can run the task, and the first by name is chosen while both are idle.
    first = case.fleet.minions[0]
    first.__class__ = CutMinion
    first.labels[0] = case.fleet.minions[1].labels[0] = "c"
    await asyncio.sleep(6)
    owner = next(node for node in case.nodes if node.name in case.shard_owners().values())
    if case.has_trouble:
        first.crash()
        await asyncio.sleep(RESTART_SECONDS)
        await first.rise()
    job = "%016x" % random.getrandbits(64)
    submitting = asyncio.create_task(case.submit(job, JOB, node=owner))
    until = time.monotonic() + 3
    while time.monotonic() < until and not case.fleet.starts_of(job):
        await asyncio.sleep(0.002)
    case.record.note("the lease of %s ends in %.2f s" % (first.identity, first.lease_until - time.monotonic()))
    owner.signal(signal.SIGKILL)
    await owner.process.wait()
    await asyncio.sleep(0.3)
    first.is_cut = case.has_trouble
    cut_at = time.monotonic()
    await owner.start()
    while time.monotonic() - cut_at < CUT_SECONDS + 3:
        places = case.fleet.running(job + ".0.0.0")
        if len(places) > 1:
            case.record.rule_broken("TWICE: %s.0.0.0 runs at the same time on %s and on %s" % (job, places[0], places[1]))
        if first.is_cut and time.monotonic() - cut_at > CUT_SECONDS:
            first.is_cut = False
            case.record.note("the cut heals")
        await asyncio.sleep(0.01)
    await submitting


if __name__ == "__main__":
    sys.exit(main(HERE, make_run))
