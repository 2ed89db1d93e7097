"""Checks all the time that accepted tasks run while there is a worker for them and no fault is near.

The bounds are the users': a long-running task may be without a run for 6 s and 3 s more, and a job may have nothing
running for 3 s (1 s is added for what the check itself does not see), if these seconds and the 4 s before are calm.
A planned replacement of a worker is no fault; a worker that leaves without a report is one.
"""

import os
import time

LONG_RUNNING_SECONDS = 9.0
JOB_SECONDS = 4.0
CALM_SECONDS = 7.0
# Time after which all nodes must know of a worker whose entry has appeared.
SETTLE_SECONDS = 3.0
INTERVAL_SECONDS = 0.25
# The check stands still for this long only if the soak itself is late.
MAX_LAG_SECONDS = 0.5
LOG_TAIL_BYTES = 2000000
MAX_LOG_LINES = 4


class TrackedJob:
    """A submitted job: its steps, with the names of their tasks, and since when nothing of it runs."""

    def __init__(self, name, body, steps, processors, is_long_running):
        self.name = name
        self.body = body
        self.steps = steps  # list of (names of tasks, numbers of the steps before)
        self.processors = processors
        self.is_long_running = is_long_running
        self.tasks = [task for tasks, _ in steps for task in tasks]
        self.is_deadly = False  # A task of it crashes each worker that starts it.
        self.is_cancelling = False
        self.is_ended = False  # Its end was told to a caller.
        self.idle_since = {}  # task, or '' for the whole job -> time since which it does not run
        self.reported = {}  # the same -> number of its violation


class ProgressChecker:
    """Reports tasks and jobs that wait too long to the invariant checker."""

    def __init__(self, checker, faults, pool, folder, checks_short_jobs=True):
        # The users' bound on jobs that end holds only from some time after the traffic on, that on tasks that last always.
        self.checks_short_jobs = checks_short_jobs
        self.checker = checker
        self.faults = faults
        self.pool = pool
        self.folder = folder
        self.jobs = {}
        self.longest_lag = 0.0
        self.last_tick_at = None
        self.longest_calm_wait = {True: 0.0, False: 0.0}

    def tick(self):
        now = time.monotonic()
        if self.last_tick_at is not None:
            lag = now - self.last_tick_at - INTERVAL_SECONDS
            self.longest_lag = max(self.longest_lag, lag)
            if lag > MAX_LAG_SECONDS:
                self.checker.log_event("the soak itself was late by %.1f s" % lag)
                self.faults.note()
        self.last_tick_at = now
        for worker in self.pool.workers:
            worker.sample_room(now, SETTLE_SECONDS, LONG_RUNNING_SECONDS + 1)
        for job in list(self.jobs.values()):
            if job.is_cancelling or job.is_ended or job.name not in self.checker.accepted:
                continue
            if job.is_long_running:
                for task in job.tasks:
                    self.check(job, task, [task], now)
            elif self.checks_short_jobs:
                self.check(job, "", self.due_tasks(job), now)

    def due_tasks(self, job):
        finished = self.checker.finished_tasks
        done_steps = [all(task in finished for task in tasks) for tasks, _ in job.steps]
        return [task for (tasks, after) in job.steps if all(done_steps[number] for number in after)
                for task in tasks if task not in finished]

    def check(self, job, key, due_tasks, now):
        is_running = any(self.checker.running_attempts.get(task) for task in (due_tasks if key else job.tasks))
        if is_running or not due_tasks:
            since = job.idle_since.pop(key, now)
            if key in job.reported:
                self.checker.violations[job.reported.pop(key)] += "; %s after %.1f s" % (
                    "it runs again" if is_running else "it has ended", now - since)
            return
        waited = now - job.idle_since.setdefault(key, max(now, self.checker.accepted[job.name]))
        limit = LONG_RUNNING_SECONDS if job.is_long_running else JOB_SECONDS
        if self.faults.calm_seconds() <= CALM_SECONDS or not self.has_room(job, now, limit):
            return
        self.longest_calm_wait[job.is_long_running] = max(self.longest_calm_wait[job.is_long_running], waited)
        if waited <= limit or key in job.reported:
            return
        job.reported[key] = len(self.checker.violations)
        self.checker.report_violation("%s %s has nothing running for %.1f s although there is room; %s"
                                      % ("long-running task" if key else "job", key or job.name, waited,
                                         self.last_log_lines(key or job.name, job.name)))

    def has_room(self, job, now, seconds):
        """Tells whether the same workers had room all the time: one for a long-running task, for another job
        room twice over on two workers, with less than half of all processors in use."""
        evacuated = self.checker.evacuations.since if self.checker.evacuations else {}
        workers = [worker for worker in self.pool.workers if worker.zone not in evacuated]
        rooms = sorted((worker.room_for(now, seconds) for worker in workers), reverse=True)
        if job.is_long_running:
            return bool(rooms) and rooms[0] >= job.processors
        capacity = sum(worker.capacity for worker in self.pool.workers)
        free = sum(worker.free_processors() for worker in workers)
        return len(rooms) > 1 and rooms[1] >= 2 * job.processors and 2 * free > capacity

    def last_log_lines(self, name, job):
        """Returns what the nodes' logs tell last about a task that waits."""
        needle = '"job":"%s"' % job
        lines = []
        for file_name in sorted(os.listdir(self.folder)):
            if not file_name.endswith(".log"):
                continue
            with open(os.path.join(self.folder, file_name), "rb") as file:
                file.seek(max(0, os.path.getsize(file.name) - LOG_TAIL_BYTES))
                text = file.read().decode("utf-8", "replace")
            lines += [file_name[:-4] + " " + line for line in text.splitlines() if needle in line
                      and (name == job or '"task":"%s"' % name.split(".", 1)[1] in line)]
        lines.sort(key=lambda line: line.split('"time":"')[-1][:24])
        return "logs: " + ("\n    ".join([""] + lines[-MAX_LOG_LINES:]) if lines else "nothing")
