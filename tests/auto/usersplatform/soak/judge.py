"""Checks what callers and workers see against the promises."""

import time


class Judge:
    """Notes each broken promise as a text in `faults`."""

    def __init__(self):
        self.faults = []
        self.running = {}  # (task) -> set of (worker, attempt)
        self.done = {}  # task -> time at which its end was acknowledged
        self.finished = set()
        self.refused = set()  # jobs whose only attempt was answered as not run
        self.accepted = {}
        self.cancelled = {}  # job -> time of the acknowledgement
        self.completed = set()
        self.starts = 0

    def fault(self, text):
        self.faults.append("%.1f %s" % (time.monotonic(), text))

    def started(self, worker, task, attempt):
        self.starts += 1
        job = task.split(".")[0]
        runs = self.running.setdefault(task, set())
        if runs:
            self.fault("task %s runs twice: attempt %d on %s beside %s" % (task, attempt, worker.identity, runs))
        if task in self.done:
            self.fault("task %s is started again after its end was acknowledged" % task)
        if job in self.refused:
            self.fault("job %s is started though its submission was refused" % job)
        if job in self.cancelled and time.monotonic() - self.cancelled[job] > 4:
            self.fault("task %s is started %.1f s after its job's cancellation"
                       % (task, time.monotonic() - self.cancelled[job]))
        runs.add((worker.identity, attempt))
        used = sum(run["cpu"] for run in worker.runs.values())
        if used > worker.capacity:
            self.fault("worker %s has %d of %d processors in use" % (worker.identity, used, worker.capacity))

    def ended(self, worker, task, attempt, how):
        self.running.get(task, set()).discard((worker.identity, attempt))
        if how == "done":
            self.finished.add(task)

    def acknowledged(self, task, how):
        if how == "done":
            self.done.setdefault(task, time.monotonic())

    def shown(self, job, state, tasks):
        """Takes in the state of a job that a caller was told. tasks: names of all of its tasks."""
        if job in self.completed and state != "completed":
            self.fault("job %s was completed and is shown as %s" % (job, state))
        if state == "completed":
            self.completed.add(job)
            missing = [task for task in tasks if task not in self.finished]
            if missing:
                self.fault("job %s is completed without %s" % (job, missing))
        if state is None and job in self.accepted:
            self.fault("job %s was accepted and is unknown" % job)
