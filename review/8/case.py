"""Minions crash one after the other: is a job shown as failed though none of its runs has failed?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from standins import PREFIX, main  # noqa: E402  pylint: disable=wrong-import-position

JOBS = 4
CRASHES_PER_JOB = 3
TASK_MS = 4000
# From the start of a task until its minion crashes, and until the minion is up again.
CRASH_AFTER_SECONDS = 0.15
DOWN_SECONDS = 1.0


async def play_job(world, has_trouble, number):
    crashes = []

    def on_start(minion, task, run):
        if task.split(".")[0] != job or not has_trouble or len(crashes) >= CRASHES_PER_JOB:
            return
        crashes.append(minion.identity)

        async def crash():
            await asyncio.sleep(CRASH_AFTER_SECONDS)
            world.note("minion crashes", minion=minion.identity)
            await minion.crash_for(DOWN_SECONDS)
            world.note("minion is up again", minion=minion.identity)
        world.tasks.append(asyncio.create_task(crash()))
    job = ""
    world.listeners.append(on_start)
    # The listener must know the job before its first task starts.
    import random  # pylint: disable=import-outside-toplevel
    job = "%016x" % random.getrandbits(64)
    node = world.nodes[number % len(world.nodes)]
    body = {"spec": '{"ms": %d}' % TASK_MS,
            "phases": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": TASK_MS}]}
    status, _ = await node.call("POST", PREFIX + job, body)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    state = None
    for _ in range(60):
        await asyncio.sleep(0.5)
        status, fields = await node.call("GET", PREFIX + job)
        state = fields.get("state") if status == 200 else state
        if state in ("completed", "failed"):
            break
    world.listeners.remove(on_start)
    failed_ends = [end for end in world.ends if end[2].split(".")[0] == job and end[4] == "failed"]
    if has_trouble and len(crashes) < CRASHES_PER_JOB:
        raise RuntimeError("not all crashes came")
    if state == "failed" and not failed_ends:
        return ["LOST: job %s is shown as failed; none of its runs has ended failed, and its %d runs were lost in crashes "
                "of %s" % (job, len(crashes), ", ".join(crashes))]
    if state != "completed" and not failed_ends:
        return ["LOST: job %s is not shown as completed after 30 s, but as %s" % (job, state)]
    return []


async def case(world, has_trouble):
    world.tasks = []
    minions = [("m-%s%02d" % (zone[-1], number), zone, "ka", "r%s-%d" % (zone[-1], number // 4))
               for zone in ("zone-a", "zone-b") for number in range(12)]
    await world.start(["zone-a", "zone-b", "zone-c"], minions)
    await asyncio.sleep(7)
    broken = []
    for number in range(JOBS):
        broken += await play_job(world, has_trouble, number)
        await asyncio.gather(*world.tasks)
    return broken


main(FOLDER, case)
