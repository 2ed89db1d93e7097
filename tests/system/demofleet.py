"""A fleet of two failure domains in two regions, each with daemons, backend servers and workers."""

import json

from harness import POLICY, Fleet, wait_until

DOMAINS = (("lagos-a", "lagos"), ("abuja-a", "abuja"))
TASKS = 8
RUN_MS = 1000
BATCH = "[batch]\nlease_ms = 1000\nround_ms = 100\n"


class DemoFleet(Fleet):
    """The fleet of the demonstration; ready for requests and jobs once constructed."""

    def __init__(self):
        super().__init__()
        self.start_platform()
        self.backends = []
        self.workers = []
        self.entries = []
        self.schedulers = []
        for domain, region in DOMAINS:
            self.backends += [self.start_backend("backend-%s-%d" % (domain, i), domain, region) for i in range(2)]
            self.workers += [self.start_worker("worker-%s-%d" % (domain, i), domain, region) for i in range(2)]
            self.entries += [self.start_entry("entry-%s-%d" % (domain, i), domain, region) for i in range(2)]
            self.schedulers += [self.start_daemon("gqschedd", "scheduler-%s-%d" % (domain, i), domain, region, BATCH)
                                for i in range(2)]
        self.publish_vms()
        self.put_policy(POLICY)
        for daemon in self.entries + self.schedulers:
            daemon.wait_ready()

    def submit(self, job):
        spec = {"id": job, "team": "planning", "name": "plan", "kind": "BATCH", "task_class": "planning",
                "count": TASKS, "run_ms": RUN_MS, "size": {"processors": 1, "memory_mb": 100}, "checkpointable": True}
        body = json.dumps(spec)
        wait_until(lambda: self.entries[0].call("POST", "/v1/jobs", body).status in (200, 201), "the job is taken")

    def status(self, job, entry=None):
        return (entry or self.entries[0]).call("GET", "/v1/jobs/" + job).json()

    def run_counts(self):
        """Returns how often each request id was executed by all backend servers."""
        counts = {}
        for backend in self.backends:
            for request, count in backend.call("GET", "/log").json()["runs"].items():
                counts[request] = counts.get(request, 0) + count
        return counts
