"""A job whose row outgrows the store's limit after it was accepted."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from standins import Case, main  # noqa: E402  pylint: disable=wrong-import-position

STEPS = 590
LARGE_TASK_MS = 4000
SMALL_TASK_MS = 300
LONG_IMAGE = "rounds-planner/route-solver-for-riders-and-kitchens-2026-11-4-"
SHORT_IMAGE = "solver"
# The bound of rule LOST: for 3 s, a job has nothing running while a task's turn has come and there is capacity.
IDLE_SECONDS = 3.0
SMALL = {"spec": "small", "phases": [
    {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": SMALL_TASK_MS},
    {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": SMALL_TASK_MS, "after": [0]}]}


def large_job(image):
    """A step, and 590 steps of one task each that follow it, with a specification of 4,000 bytes."""
    phases = [{"count": 1, "cpu": 500 + number % 7, "mem_mb": 256 + number, "estimate_ms": LARGE_TASK_MS, "image": image,
               "checkpointed": True, "after": [0]} for number in range(STEPS)]
    first = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": LARGE_TASK_MS, "image": image}
    return {"spec": "x" * 4000, "phases": [first] + phases}


def make_run(folder, has_trouble):
    return Case(folder, lambda task, spec: SMALL_TASK_MS if spec == "small" else LARGE_TASK_MS, has_trouble), run


def tasks_of(job, body):
    return [["%s.0.%d.%d" % (job, step, index) for index in range(phase["count"])]
            for step, phase in enumerate(body["phases"])]


def next_tasks(case, job, body):
    """Returns the tasks of a job that are not done and whose turn has come."""
    steps = tasks_of(job, body)
    is_done = [all(case.fleet.done(task) for task in step) for step in steps]
    return [task for step, phase in zip(steps, body["phases"]) if all(is_done[before] for before in phase.get("after", []))
            for task in step if not case.fleet.done(task)]


def free_share(case):
    running = sum(len(minion.runs) for minion in case.fleet.minions)
    return 1 - running / (len(case.fleet.minions) * 32)  # No task takes more than a 32nd of a minion.


async def run(case):
    await case.start(["lagos-ikeja", "lagos-yaba", "lagos-ikeja"], ["lagos-ikeja"], 8)
    accepted = {}

    async def submit(job, body):
        if await case.submit(job, body):
            accepted[job] = (body, time.monotonic())

    async def submit_small(seconds):
        tasks, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(submit("%016x" % random.getrandbits(64), SMALL)))
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)

    small = asyncio.create_task(submit_small(10))
    await asyncio.sleep(5)
    large = "%016x" % random.getrandbits(64)
    await submit(large, large_job(LONG_IMAGE if case.has_trouble else SHORT_IMAGE))
    case.record.note("the large job %s is %s" % (large, "accepted" if large in accepted else "not accepted"))
    await small
    # Time for all of it many times over: the large job needs three rounds of 4 s, and a small one needs 1 s.
    await asyncio.sleep(30)
    await check(case, accepted)
    case.record.note("transactions that the store refused: %d" % case.store.refused)


async def check(case, accepted):
    # The time for which each job has had nothing running.
    last_event = {}
    for event in case.fleet.starts + case.fleet.ends:
        job = event[1].split(".")[0]
        last_event[job] = max(last_event.get(job, 0), event[0])
    now = time.monotonic()
    free = free_share(case)
    case.record.note("%.0f%% of the capacity is free" % (100 * free))
    for job, (body, accepted_at) in accepted.items():
        waiting = next_tasks(case, job, body)
        runs = [task for step in tasks_of(job, body) for task in step if case.fleet.running(task)]
        idle = now - max(last_event.get(job, 0), accepted_at)
        if waiting and not runs and idle > IDLE_SECONDS and free > 0.5:
            case.record.rule_broken("LOST: the accepted job %s (%s) has had nothing running for %.0f s; the turn of %d of its tasks "
                                    "has come, and %.0f%% of the service's capacity is free"
                                    % (job, body["spec"][:8], idle, len(waiting), 100 * free))
        if not waiting:
            status, state = await case.state(job)
            if status == 200 and state != "completed":
                case.record.note("%s is done and shown as %s" % (job, state))


if __name__ == "__main__":
    sys.exit(main(HERE, make_run))
