"""A minion fails part of its requests, some with 503 and some with a reset: does a task run twice?"""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from standins import PREFIX, main  # noqa: E402  pylint: disable=wrong-import-position

SECONDS = 40
PAUSE_SECONDS = 0.1
TASK_MS = 1500
# The shares of the starts that the unhealthy minion answers with 503, and whose connection it resets after it has carried
# them out; together the 0.4 of `fleetbench kinds`.
REJECTED_SHARE = 0.2
RESET_SHARE = 0.2
UNHEALTHY_MINIONS = 1
# The minion is unhealthy for the first of these times out of each of the second.
UNHEALTHY_SECONDS, PERIOD_SECONDS = 6.5, 8.0


async def case(world, has_trouble):
    await world.start(["zone-a", "zone-a", "zone-b"], [("m-%02d" % number, "zone-a", "ka", "ra-%d" % (number // 4))
                                                       for number in range(12)])
    await asyncio.sleep(7)
    chance = random.Random(9)
    began_at = world.now()

    def on_call(minion, target, call):
        is_unhealthy = (world.now() - began_at) % PERIOD_SECONDS < UNHEALTHY_SECONDS
        if target != "/run-start" or not has_trouble or not is_unhealthy:
            return None
        drawn = chance.random()
        if drawn < REJECTED_SHARE:
            world.note("the unhealthy minion answers 503", minion=minion.identity, task=call["task"],
                       attempt=call["attempt"])
            return 503, minion.fields()
        if drawn < REJECTED_SHARE + RESET_SHARE:
            status, _ = minion.start_run(call)
            world.note("the unhealthy minion resets the connection", minion=minion.identity, task=call["task"],
                       attempt=call["attempt"], carried_out=status == 200)
            return "drop"
        return None
    for minion in world.minions[:UNHEALTHY_MINIONS]:
        minion.on_call = on_call
    phases = [{"count": 3, "cpu": 1500, "mem_mb": 100, "estimate_ms": TASK_MS}]

    async def submit():
        job = "%016x" % random.getrandbits(64)
        await world.nodes[0].call("POST", PREFIX + job, {"spec": json.dumps({"ms": TASK_MS}), "phases": phases})
    tasks = []
    for _ in range(int(SECONDS / PAUSE_SECONDS)):
        tasks.append(asyncio.create_task(submit()))
        await asyncio.sleep(PAUSE_SECONDS)
    await asyncio.gather(*tasks)
    await asyncio.sleep(4)
    return ["TWICE: two runs of task %s at the same time, on minions that are up" % task
            for task in sorted(set(world.doubled))]


main(FOLDER, case)
