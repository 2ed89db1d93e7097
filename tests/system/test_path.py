"""Requests and jobs in two failure domains while a daemon is killed: no job is lost, and all outcomes are correct."""

import http.client
import threading
import unittest

from demofleet import TASKS, DemoFleet
from harness import wait_until

REQUESTS = 60
KILL_AFTER = 20


class KillTest(unittest.TestCase):
    def send(self, entry, request, outcomes):
        headers = {"Geraniumquay-Request-Id": request}
        try:
            outcomes[request] = entry.call("POST", "/services/rounds/plan?ms=10", "order", headers).outcome
        except (OSError, http.client.HTTPException):
            outcomes[request] = None

    def load(self, fleet, outcomes):
        for number in range(REQUESTS):
            for index, entry in enumerate(fleet.entries):
                if entry.process.poll() is None:
                    self.send(entry, "request-%d-%d" % (number, index), outcomes)

    def check(self, choose):
        with DemoFleet() as fleet:
            fleet.submit("job-1")
            outcomes = {}
            loader = threading.Thread(target=self.load, args=(fleet, outcomes))
            loader.start()
            wait_until(lambda: len(outcomes) > KILL_AFTER, "load is running")
            victim = choose(fleet)
            victim.kill()
            loader.join()
            alive = [entry for entry in fleet.entries if entry is not victim]
            wait_until(lambda: fleet.status("job-1", alive[0])["done"] == TASKS, "the job is done")
            counts = fleet.run_counts()
            for request, outcome in outcomes.items():
                self.assertLessEqual(counts.get(request, 0), 1, request)
                if outcome == "not-run":
                    self.assertEqual(counts.get(request, 0), 0, request)
                if outcome == "completed":
                    self.assertEqual(counts.get(request, 0), 1, request)
            self.assertIn("completed", outcomes.values())
            for process in fleet.entries + fleet.schedulers + [fleet.console]:
                if process is not victim:
                    self.assertEqual(process.stop(), 0, process.name)

    def test_killed_entry_daemon(self):
        self.check(lambda fleet: fleet.entries[0])

    def test_killed_schedule_daemon(self):
        self.check(lambda fleet: fleet.schedulers[0])

    def test_killed_console_daemon(self):
        self.check(lambda fleet: fleet.console)


if __name__ == "__main__":
    unittest.main()
