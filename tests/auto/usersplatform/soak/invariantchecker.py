"""Checks the guarantees of the system against what callers and workers observe."""

import time

from standinplatform import BASE_CAPACITY, CAPACITY_NOTICE_SECONDS

# Failed attempts of a task after which its job fails, as configured.
MAX_ATTEMPTS = 8
# The users' bounds: a task starts no later than this after the store has accepted that its worker drains, if the 4 s
# before are calm.
DRAIN_SECONDS = 2.5
DRAIN_CALM_SECONDS = 4.0
# A lease is at most this long.
LAPSE_CALM_SECONDS = 10.0
# A task may be given up after the first number of crashes under it. The start of the third number after the second
# number of crashes breaks the users' rule.
MIN_CRASHES_OF_FAILED_JOB = 2
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 3


class InvariantChecker:
    """Collects a description of each violated invariant in `violations`."""

    def __init__(self, faults, log_event):
        self.faults = faults
        self.log_event = log_event
        self.violations = []
        self.running_attempts = {}  # task -> set of (worker, attempt)
        self.acknowledged_tasks = {}  # task -> time at which its end was acknowledged
        self.finished_tasks = set()
        self.rejected = set()  # jobs whose only submission was answered as not accepted
        self.accepted = {}
        self.cancelled = {}  # job -> time of the acknowledgement
        self.completed = set()
        self.start_count = 0
        self.crashes = {}  # task that crashes workers -> number of crashes
        self.starts_after_crashes = {}
        self.calm_lapses = 0  # Runs whose lease was not renewed although no fault was near.
        self.failures = {}  # task -> number of failed attempts
        self.evacuations = None  # The operator's evacuations, if there are any.

    def report_violation(self, text):
        self.violations.append(self.log_event("VIOLATION " + text))

    def on_attempt_started(self, worker, task, attempt):
        self.start_count += 1
        self.log_event("%s starts attempt %d on %s" % (task, attempt, worker.identity), is_short=False)
        job = task.split(".")[0]
        runs = self.running_attempts.setdefault(task, set())
        if runs:
            self.report_violation("task %s runs twice: attempt %d on %s besides %s"
                                  % (task, attempt, worker.identity, runs))
        if task in self.acknowledged_tasks:
            self.report_violation("task %s is started again after its end was acknowledged" % task)
        if job in self.rejected:
            self.report_violation("job %s is started although its submission was rejected" % job)
        if job in self.cancelled and time.monotonic() - self.cancelled[job] > 4:
            self.report_violation("task %s is started %.1f s after its job's cancellation"
                                  % (task, time.monotonic() - self.cancelled[job]))
        runs.add((worker.identity, attempt))
        drained = 0 if worker.drains_since is None else time.monotonic() - worker.drains_since
        if drained > DRAIN_SECONDS and self.faults.calm_seconds() > DRAIN_SECONDS + DRAIN_CALM_SECONDS:
            self.report_violation("task %s is started on %s, which drains since %.1f s"
                                  % (task, worker.identity, drained))
        if self.evacuations:
            self.evacuations.check_start(worker, task)
        used = sum(run["cpu"] for run in worker.runs.values())
        # A start may be carried out late if the link to the worker was disturbed.
        is_late = worker.proxy.mode or time.monotonic() - worker.proxy.disturbed_at < CAPACITY_NOTICE_SECONDS
        capacity = BASE_CAPACITY if is_late else worker.largest_recent_capacity()
        if used > capacity:
            self.report_violation("worker %s has %d of %d processors in use by the start of %s"
                                  % (worker.identity, used, capacity, task))
        if self.crashes.get(task, 0) >= MAX_CRASHES:
            self.starts_after_crashes[task] = self.starts_after_crashes.get(task, 0) + 1
            if self.starts_after_crashes[task] == MAX_STARTS_AFTER_CRASHES:
                self.report_violation("task %s is started three times more after three workers crashed under it" % task)

    def on_worker_crashed(self, deadly_tasks):
        for task in deadly_tasks:
            self.crashes[task] = self.crashes.get(task, 0) + 1

    def on_attempt_ended(self, worker, task, attempt, outcome):
        self.log_event("%s ends attempt %d on %s: %s" % (task, attempt, worker.identity, outcome), is_short=False)
        self.running_attempts.get(task, set()).discard((worker.identity, attempt))
        if outcome == "lapsed" and self.faults.calm_seconds() > LAPSE_CALM_SECONDS:
            self.calm_lapses += 1
        if outcome == "done":
            self.finished_tasks.add(task)
        if outcome == "failed":
            self.failures[task] = self.failures.get(task, 0) + 1

    def on_end_acknowledged(self, task, outcome):
        if outcome == "done":
            self.acknowledged_tasks.setdefault(task, time.monotonic())

    def on_state_reported(self, job, state, tasks):
        """Checks the state of a job that a caller received; `tasks` has the names of all tasks of the job."""
        if job in self.completed and state != "completed":
            self.report_violation("job %s was completed and is reported as %s" % (job, state))
        if state == "completed":
            self.completed.add(job)
            missing = [task for task in tasks if task not in self.finished_tasks]
            if missing:
                self.report_violation("job %s is completed without %s" % (job, missing))
        if state == "failed" and not any(self.failures.get(task, 0) >= MAX_ATTEMPTS
                                         or self.crashes.get(task, 0) >= MIN_CRASHES_OF_FAILED_JOB for task in tasks):
            self.report_violation("job %s is reported as failed without cause" % job)
        if state is None and job in self.accepted:
            self.report_violation("job %s was accepted and is unknown" % job)
