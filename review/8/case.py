"""A task crashes each minion that starts it, before the start is answered: how often is it started?"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))

from standins import PREFIX, main  # noqa: E402  pylint: disable=wrong-import-position

TASK_MS = 2000
# From the start of the task until its minion crashes, and until the minion is up again.
CRASH_AFTER_SECONDS = 0.01
DOWN_SECONDS = 2.0
OBSERVED_SECONDS = 75
# The rule: not three starts more after three minions have crashed.
MINIONS, MORE_STARTS = 3, 3


async def case(world, has_trouble):
    await world.start(["zone-a", "zone-a", "zone-b"], [("m-%02d" % number, "zone-a", "ka", "ra-%d" % (number // 4))
                                                       for number in range(12)])
    await asyncio.sleep(7)
    deadly = "%016x" % random.getrandbits(64)
    crashes = []
    tasks = []

    async def crash(minion):
        await asyncio.sleep(CRASH_AFTER_SECONDS)
        crashes.append((world.now(), minion.identity))
        world.note("minion crashes", minion=minion.identity, crashes=len(crashes))
        await minion.crash_for(DOWN_SECONDS)

    def on_call(minion, target, call):
        if target != "/run-start" or not has_trouble or not call["task"].startswith(deadly):
            return None
        if minion.start_run(call)[0] == 200:
            tasks.append(asyncio.create_task(crash(minion)))
        return "hang"
    for minion in world.minions:
        minion.on_call = on_call

    async def load():
        # Ordinary jobs, so that the minions are in use.
        while True:
            await world.nodes[1].call("POST", PREFIX + "%016x" % random.getrandbits(64), {
                "spec": '{"ms": 400}', "phases": [{"count": 6, "cpu": 1500, "mem_mb": 100, "estimate_ms": 400}]})
            await asyncio.sleep(0.5)
    loading = asyncio.create_task(load())
    await asyncio.sleep(3)
    status, _ = await world.nodes[0].call("POST", PREFIX + deadly, {"spec": '{"ms": %d}' % TASK_MS, "phases": [
        {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": TASK_MS}]})
    if status != 200:
        raise RuntimeError("the job was not accepted")
    state = None
    for _ in range(OBSERVED_SECONDS):
        await asyncio.sleep(1)
        status, fields = await world.nodes[0].call("GET", PREFIX + deadly)
        state = fields.get("state") if status == 200 else state
        if state in ("completed", "failed"):
            break
    loading.cancel()
    starts = [at for at, _, task, _ in world.starts if task.startswith(deadly)]
    # The time from which three different minions have crashed.
    third = next((at for number, (at, _) in enumerate(crashes)
                  if len({identity for _, identity in crashes[:number + 1]}) == MINIONS), None)
    after = [at for at in starts if third is not None and at > third]
    world.note("starts", all=len(starts), after_three_minions=len(after), state=state)
    if has_trouble and third is None and state != "failed":
        raise RuntimeError("not three minions have crashed")
    if not has_trouble and state != "completed":
        return ["the job is shown as %s" % state]
    if len(after) >= MORE_STARTS:
        return ["BUDGET: a task that crashes the minions that start it is started %d times more after three minions have crashed "
                "under it; its job is shown as %s" % (len(after), state)]
    return []


main(FOLDER, case)
