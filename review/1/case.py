"""A job with a wide pipeline of which one task is passed from one shard to another."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))

from standins import Case, call, main  # noqa: E402  pylint: disable=wrong-import-position

STAGES = 12
PARTITIONS = 10
TASK_MS = 100
PIPELINES = 6
# The bounds of the pages: finish_s after which each accepted job is asked for and has to be answered.
FINISH_SECONDS = 14


def pipeline(last_kind):
    """12 stages of 10 partitions; each partition of a stage needs all partitions of the stage before it."""
    phases = []
    for stage in range(STAGES):
        for _ in range(PARTITIONS):
            phase = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": TASK_MS}
            if stage > 0:
                phase["after"] = list(range((stage - 1) * PARTITIONS, stage * PARTITIONS))
            phases.append(phase)
    last = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": TASK_MS,
            "after": list(range((STAGES - 1) * PARTITIONS, STAGES * PARTITIONS))}
    if last_kind:
        last["constraints"] = last_kind
    return {"spec": "pipeline", "phases": phases + [last]}


def make_run(folder, has_trouble):
    case = Case(folder, lambda task, spec: TASK_MS, has_trouble)
    return case, run


async def run(case):
    # Two zones whose minions are of different kinds, as the pages allow.
    await case.start(["lagos-ikeja", "lagos-yaba", "lagos-ikeja"], ["lagos-ikeja", "lagos-yaba"], 4,
                     kinds={"lagos-ikeja": "a", "lagos-yaba": "b"})
    before = ["%016x" % random.getrandbits(64) for _ in range(10)]
    small = {"spec": "small", "phases": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": TASK_MS}]}
    accepted = [job for job in before if await case.submit(job, small)]
    # The last step needs a kind of minion; without the trouble, any kind.
    for number in range(PIPELINES):
        job = "%016x" % random.getrandbits(64)
        kind = ("a", "b")[number % 2] if case.has_trouble else None
        if await case.submit(job, pipeline(kind)):
            accepted.append(job)
    # The last step waits 2.2 s where no minion has the label; then it goes to the other shard.
    for _ in range(10):
        await asyncio.sleep(2)
        answers = await asyncio.gather(*[call(node.ready_port, "GET", "/ready", seconds=0.5) for node in case.nodes])
        case.record.note("; ".join("%s: %.1f processor seconds, /ready %s" % (
            node.name, node.processor_seconds(), answer[0] or "no answer") for node, answer in zip(case.nodes, answers)))
    await asyncio.sleep(FINISH_SECONDS)
    # LOST: finish_s after the end of the traffic jobs are asked for; one isn't known or gets no answer in time.
    deadline = time.monotonic() + 12
    answers = await asyncio.gather(*[ask(case, job, deadline) for job in accepted])
    for job, state in zip(accepted, answers):
        if state is None:
            case.record.rule_broken("LOST: the accepted job %s gets no answer %d s after the end of the traffic, at any node"
                                    % (job, FINISH_SECONDS))
        elif state == "unknown":
            case.record.rule_broken("LOST: the accepted job %s is answered 410" % job)
    for node in case.nodes:
        status, _ = await call(node.ready_port, "GET", "/ready", seconds=3)
        used = node.processor_seconds()
        await asyncio.sleep(2)
        share = (node.processor_seconds() - used) / 2
        case.record.note("%s: /ready %s, uses %.0f%% of a processor" % (node.name, status or "no answer", 100 * share))
        if not status and share > 0.9:
            case.record.rule_broken("Fault: %s doesn't hand back the processor and answers nothing" % node.name)


async def ask(case, job, deadline):
    """Asks for a job at all nodes in turn; returns its state, 'unknown' for 410, None without an answer."""
    while time.monotonic() < deadline:
        answers = await asyncio.gather(*[case.state(job, node) for node in case.nodes])
        for status, state in answers:
            if status == 200:
                return state
            if status == 410:
                return "unknown"
        await asyncio.sleep(0.2)
    return None


if __name__ == "__main__":
    sys.exit(main(HERE, make_run))
