"""A job is cancelled, and two of three machines are lost one after the other: does a task of it start afterwards?"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from standins import CANCEL_SECONDS, CONTACT_SECONDS, PREFIX, main  # noqa: E402  pylint: disable=wrong-import-position

# No round begins later than this, so that the script ends in time.
LAST_ROUND_SECONDS = 78
ROUNDS = 4
# From the loss of the first machine to the loss of the second.
SECOND_LOSS_SECONDS = 2.1
OBSERVED_SECONDS = 9
SHARD_A, SHARD_B = "/zone-a/", "/zone-b/"


def owner_of(world, zone):
    return next((node for node in world.nodes if any(zone in shard + "/" for shard in node.owned())), None)


def are_owners_apart(world):
    first, second = owner_of(world, SHARD_A), owner_of(world, SHARD_B)
    return first and second and first is not second


async def play_round(world, has_trouble):
    if not await world.wait_for(lambda: are_owners_apart(world), 20):
        raise RuntimeError("no two machines own the two groups of minions")
    await asyncio.sleep(2)
    first, second = owner_of(world, SHARD_A), owner_of(world, SHARD_B)
    third = next(node for node in world.nodes if node not in (first, second))
    # Two of the three steps need minions of zone-a, so the job belongs there, and the third step is passed on.
    step = {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 30000}
    phases = [dict(step, constraints="ka"), dict(step, constraints="ka"), dict(step, constraints="kb")]
    job = await world.submit(third, phases, {"ms": 30000})
    task = job + ".0.2.0"
    if not await world.wait_for(lambda: world.running.get(task), 10):
        raise RuntimeError("the third step has not begun")
    await asyncio.sleep(1)
    began_at = world.now()
    if has_trouble:
        await second.kill()
    await asyncio.sleep(0.2)
    # The task fails by its own fault, as a part of the tasks do. Its minion lists that from now on.
    for minion in world.minions:
        if task in minion.runs:
            minion.end(task, "failed")
    status, _ = await third.call("DELETE", PREFIX + job)
    if status not in (200, 410):
        raise RuntimeError("the cancelling was not acknowledged")
    cancelled_at = world.now()
    if has_trouble:
        await asyncio.sleep(max(0, began_at + SECOND_LOSS_SECONDS - world.now()))
        await first.kill()
    # Only the third machine is up, so it is the one that starts what is started.
    await asyncio.sleep(OBSERVED_SECONDS)
    late = [start for start in world.starts if start[2].startswith(job) and start[0] > cancelled_at + CANCEL_SECONDS]
    if has_trouble:
        await world.replace(first)
        await world.replace(second)
    if third.started_at > began_at - CONTACT_SECONDS:
        raise RuntimeError("the third machine has not been in touch for long enough")
    return ["UNASKED: task %s is started on %s %.2f s after the cancelling of its job was acknowledged, while only %s is up"
            % (task_name, minion, at - cancelled_at, third.name) for at, minion, task_name, _ in late]


async def case(world, has_trouble):
    minions = [("m-%s%d" % (zone[-1], number), zone, "k" + zone[-1], "r%s-%d" % (zone[-1], number % 2))
               for zone in ("zone-a", "zone-b") for number in range(6)]
    await world.start(["zone-a", "zone-b", "zone-c"], minions)
    await asyncio.sleep(6)
    broken = []
    for _ in range(ROUNDS):
        if world.now() > LAST_ROUND_SECONDS:
            break
        broken += await play_round(world, has_trouble)
    return broken


main(FOLDER, case)
