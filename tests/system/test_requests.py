"""Requests with real processes that are killed, paused, unresponsive, leaving, disconnected or overloaded.

The tests check the run logs of the backend servers and the outcomes reported to callers, never the elapsed time.
"""

import http.client
import json
import subprocess
import threading
import unittest

import harness
from harness import Fleet, call, wait_until

LEAVING_SECONDS = 3.0


class Caller(threading.Thread):
    """Sends one request after the other over a persistent connection until end() is called."""

    def __init__(self, port, method="POST", target="/services/rounds/plan?ms=5"):
        super().__init__(daemon=True)
        self.port = port
        self.method = method
        self.target = target
        self.ending = threading.Event()
        self.answers = 0
        self.outcomes = {}
        self.interrupted = []

    def run(self):
        connection = None
        while not self.ending.is_set():
            if connection is None:
                connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=harness.WAIT_SECONDS)
                try:
                    connection.connect()
                except ConnectionRefusedError:
                    return
            try:
                connection.request(self.method, self.target, body="order")
                response = connection.getresponse()
                response.read()
            except (OSError, http.client.HTTPException) as failure:
                self.interrupted.append(repr(failure))
                return
            self.answers += 1
            outcome = response.headers.get("Geraniumquay-Outcome")
            self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            if response.headers.get("Connection") == "close":
                connection.close()
                connection = None

    def end(self):
        self.ending.set()
        self.join(harness.WAIT_SECONDS)


def run_log(backend):
    return backend.call("GET", "/log").json()


def runs_of(backends, request_id):
    return sum(run_log(backend)["runs"].get(request_id, 0) for backend in backends)


class RequestTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.start_platform()

    def start(self, backends=2, entries=1, slots=8, policy=harness.POLICY):
        """Starts a failure domain with backend servers and entry VMs and waits until it is ready for requests."""
        self.backends = [self.fleet.start_backend("backend-%d" % i, slots=slots) for i in range(backends)]
        self.entries = [self.fleet.start_entry("entry-%d" % i) for i in range(entries)]
        self.fleet.publish_vms()
        self.fleet.put_policy(policy)
        for entry in self.entries:
            entry.wait_ready()
        self.entry = self.entries[0]

    def send(self, entry, method="POST", query="", headers=None, body="order"):
        return entry.call(method, "/services/rounds/plan" + query, body=body, headers=headers)

    def send_later(self, entry, answers, **arguments):
        """Sends a request on a thread, retries it while the outcome is not-run, and appends the answer to a list."""
        def work():
            try:
                answer = self.send(entry, **arguments)
                while answer.outcome == "not-run":
                    answer = self.send(entry, **arguments)
                answers.append(answer)
            except (OSError, http.client.HTTPException):
                answers.append(None)
        thread = threading.Thread(target=work, daemon=True)
        thread.start()
        return thread

    def test_outcome_is_unknown_when_the_backend_server_is_killed_during_a_request(self):
        self.start()
        answers = []
        headers = {"Geraniumquay-Request-Id": "charge-1"}
        sender = self.send_later(self.entry, answers, query="?ms=20000", headers=headers)
        wait_until(lambda: runs_of(self.backends, "charge-1") == 1, "the request runs")
        victim = next(b for b in self.backends if runs_of([b], "charge-1") == 1)
        victim.kill()
        sender.join(harness.WAIT_SECONDS)
        self.assertEqual(answers[0].outcome, "unknown")
        others = [b for b in self.backends if b is not victim]
        self.assertEqual(runs_of(others, "charge-1"), 0)

    def test_an_idempotent_request_is_retried_on_another_backend_server(self):
        self.start()
        answers = []
        sender = self.send_later(self.entry, answers, method="GET", query="?ms=2000",
                                 headers={"Geraniumquay-Request-Id": "look-1"})
        wait_until(lambda: runs_of(self.backends, "look-1") == 1, "the request runs")
        next(b for b in self.backends if runs_of([b], "look-1") == 1).kill()
        sender.join(harness.WAIT_SECONDS)
        self.assertEqual(answers[0].outcome, "completed")

    def test_concurrent_requests_with_one_key_at_two_entry_vms_run_once(self):
        self.start(entries=2)
        answers = []
        senders = [self.send_later(entry, answers, query="?ms=100", headers={"Idempotency-Key": "invoice-1",
                   "Geraniumquay-Request-Id": "invoice-1-%d" % index}) for index, entry in enumerate(self.entries)]
        for sender in senders:
            sender.join(harness.WAIT_SECONDS)
        runs = sum(runs_of(self.backends, "invoice-1-%d" % index) for index in range(2))
        self.assertEqual(runs, 1)
        self.assertIn("completed", [answer.outcome for answer in answers])

    def test_a_key_does_not_run_again_after_its_entry_vm_is_killed(self):
        self.start(entries=2)
        answers = []
        sender = self.send_later(self.entry, answers, query="?ms=2000", headers={"Idempotency-Key": "invoice-2",
                                 "Geraniumquay-Request-Id": "first"})
        wait_until(lambda: runs_of(self.backends, "first") == 1, "the request runs")
        self.entry.kill()
        sender.join(harness.WAIT_SECONDS)
        second = self.send(self.entries[1], query="?ms=2000", headers={"Idempotency-Key": "invoice-2", "Geraniumquay-Request-Id": "second",
                                                     "Geraniumquay-Deadline-Ms": "1500"})
        self.assertNotEqual(second.outcome, "not-run")
        self.assertEqual(runs_of(self.backends, "second"), 0)

    def test_a_key_runs_once_when_the_response_to_its_claim_is_lost(self):
        self.start(entries=2)
        self.fleet.platform.fault("lose-answer", 1)
        first = self.send(self.entries[0], headers={"Idempotency-Key": "invoice-3", "Geraniumquay-Request-Id": "first"})
        second = self.send(self.entries[1], headers={"Idempotency-Key": "invoice-3", "Geraniumquay-Request-Id": "second"})
        self.assertEqual(runs_of(self.backends, "first") + runs_of(self.backends, "second"), 1)
        self.assertEqual(first.outcome, "completed")
        self.assertEqual(second.outcome, "completed")

    def test_a_key_does_not_run_while_the_table_is_unavailable(self):
        self.start()
        self.fleet.platform.fault("down", 1)
        answer = self.send(self.entry, headers={"Idempotency-Key": "invoice-4", "Geraniumquay-Request-Id": "first",
                                                "Geraniumquay-Deadline-Ms": "1000"})
        # An earlier request with the key may have run elsewhere, which only the table records.
        self.assertEqual(answer.outcome, "unknown")
        self.assertEqual(runs_of(self.backends, "first"), 0)
        self.assertEqual(self.send(self.entry).outcome, "completed")

    def test_a_graceful_stop_interrupts_no_request(self):
        self.start()
        callers = [Caller(self.entry.port()) for _ in range(8)]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(caller.answers > 20 for caller in callers), "load is running")
        self.assertEqual(self.entry.stop(), 0)
        for caller in callers:
            caller.end()
            self.assertEqual(caller.interrupted, [])
            self.assertEqual(list(caller.outcomes), ["completed"])
        answered = sum(caller.answers for caller in callers)
        ran = sum(sum(run_log(backend)["runs"].values()) for backend in self.backends)
        self.assertEqual(ran, answered)

    def test_a_graceful_stop_completes_a_request_that_waits_longer_than_credits_are_valid(self):
        policy = harness.POLICY.replace("guaranteed_percent = 30\n", "guaranteed_percent = 30\nmax_queue_ms = 20000\n")
        self.start(backends=1, entries=2, slots=2, policy=policy)
        answers = []
        first = self.send_later(self.entry, answers, query="?ms=5000", headers={"Geraniumquay-Request-Id": "first"})
        wait_until(lambda: runs_of(self.backends, "first") == 1, "the first request runs")
        second = self.send_later(self.entry, answers, headers={"Geraniumquay-Request-Id": "second"})
        queued = b'geraniumquay_requests_queued{service="rounds",class="normal"} 1'
        wait_until(lambda: queued in self.entry.call("GET", "/metrics", port="administration").body, "the second waits")
        self.assertEqual(self.entry.stop(), 0)
        first.join(harness.WAIT_SECONDS)
        second.join(harness.WAIT_SECONDS)
        self.assertEqual([answer.outcome for answer in answers], ["completed", "completed"])

    def test_a_leaving_backend_server_gets_no_new_work(self):
        self.start()
        caller = Caller(self.entry.port())
        caller.start()
        wait_until(lambda: caller.answers > 20, "load is running")
        self.fleet.vms[0]["leaving"] = True
        self.fleet.publish_vms()
        threading.Event().wait(LEAVING_SECONDS)
        before = sum(run_log(self.backends[0])["runs"].values())
        answered = caller.answers
        wait_until(lambda: caller.answers > answered + 50, "load goes on")
        caller.end()
        self.assertEqual(sum(run_log(self.backends[0])["runs"].values()), before)
        self.assertEqual(list(caller.outcomes), ["completed"])

    def test_slots_are_not_exceeded_by_the_entry_vms_of_a_domain(self):
        self.start(backends=1, entries=2)
        # Without its limit the stand-in executes all requests, so that the test detects exceeded slots.
        self.backends[0].fault("slots", 0)
        callers = [Caller(entry.port(), method="GET", target="/services/rounds/plan?ms=20")
                   for entry in self.entries for _ in range(16)]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(caller.answers > 5 for caller in callers), "load is running")
        self.entries[0].pause()
        threading.Event().wait(6.0)
        self.entries[0].resume()
        answered = sum(caller.answers for caller in callers)
        wait_until(lambda: sum(caller.answers for caller in callers) > answered + 300, "load goes on")
        for caller in callers:
            caller.ending.set()
        for caller in callers:
            caller.end()
        self.assertLessEqual(run_log(self.backends[0])["most_running"], 8)

    def test_new_entry_vms_get_slots_after_all_old_ones_are_replaced(self):
        self.start(entries=2)
        for entry in self.entries:
            entry.kill()
        self.fleet.vms = [vm for vm in self.fleet.vms if vm["role"] != "VM_ROLE_ENTRY"]
        fresh = [self.fleet.start_entry("fresh-%d" % index) for index in range(2)]
        self.fleet.publish_vms()
        for entry in fresh:
            wait_until(entry.is_ready, entry.name + " has slots", 90.0)
            self.assertEqual(self.send(entry).outcome, "completed")

    def test_another_domain_serves_requests_if_the_local_one_has_no_backend_server(self):
        near = self.fleet.start_backend("near", domain="lagos-a")
        entry = self.fleet.start_entry("entry-near", domain="lagos-a")
        far = self.fleet.start_entry("entry-far", domain="abuja-a", region="abuja")
        self.fleet.publish_vms()
        self.fleet.put_policy(harness.POLICY)
        entry.wait_ready()
        far.wait_ready()
        answer = self.send(far, headers={"Geraniumquay-Request-Id": "abroad"})
        self.assertEqual(answer.outcome, "completed")
        self.assertEqual(answer.body, b"order")
        self.assertEqual(runs_of([near], "abroad"), 1)

    def test_a_domain_without_the_platform_serves_its_callers(self):
        self.start()
        self.fleet.platform.kill()
        threading.Event().wait(2.0)
        for _ in range(20):
            self.assertEqual(self.send(self.entry).outcome, "completed")

    def test_invalid_input_gets_an_error_response(self):
        self.start()
        self.assertEqual(self.entry.call("GET", "/services/nothing/").status, 404)
        self.assertEqual(self.entry.call("GET", "/elsewhere").status, 404)
        self.assertEqual(self.send(self.entry, headers={"Geraniumquay-Class": "vip"}).status, 400)
        self.assertEqual(self.send(self.entry, headers={"Geraniumquay-Deadline-Ms": "soon"}).status, 400)
        self.assertEqual(self.send(self.entry, body=b"x" * (9 << 20)).status, 413)
        for answer in (self.entry.call("GET", "/services/nothing/"), self.send(self.entry, headers={"Geraniumquay-Class": "vip"})):
            self.assertEqual(answer.outcome, "not-run")
            self.assertEqual(set(answer.json()), {"error", "step", "peer", "message"})


class StartTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.start_platform()

    def run_entry(self, path, *more):
        program = harness.BUILD + "/src/app/gqentryd/gqentryd"
        return subprocess.run([program, "--config", path, *more], capture_output=True, text=True, timeout=harness.WAIT_SECONDS)

    def test_invalid_settings_are_rejected_with_all_faults(self):
        path = self.fleet.settings("bad", "lagos-a", "lagos", "colour = red\n[listen]\nport = 70000\n")
        ended = self.run_entry(path)
        self.assertEqual(ended.returncode, 2)
        self.assertIn("[platform] colour: is not a known key", ended.stderr)
        self.assertIn("from 0 to 65535", ended.stderr)

    def test_valid_settings_pass_the_check(self):
        ended = self.run_entry(self.fleet.settings("good", "lagos-a", "lagos"), "--check")
        self.assertEqual((ended.returncode, ended.stderr), (0, ""))

    def test_startup_fails_if_a_port_is_in_use(self):
        path = self.fleet.settings("taken", "lagos-a", "lagos", "[listen]\nport = %d\n" % self.fleet.platform.port())
        self.assertEqual(self.run_entry(path).returncode, 1)

    def test_a_non_loopback_address_needs_certificates(self):
        path = self.fleet.settings("open", "lagos-a", "lagos", "[listen]\naddress = 0.0.0.0\n")
        self.assertEqual(self.run_entry(path).returncode, 2)

    def test_a_daemon_started_without_the_platform_recovers(self):
        self.fleet.platform.fault("down", 1)
        entry = self.fleet.start_entry("entry-1")
        self.assertEqual(entry.call("GET", "/healthz", port="administration").status, 200)
        self.assertEqual(entry.call("GET", "/readyz", port="administration").status, 503)
        self.assertEqual(entry.call("GET", "/services/rounds/").outcome, "not-run")
        self.fleet.platform.fault("down", 0)
        self.fleet.publish_vms()
        self.fleet.put_policy(harness.POLICY)
        entry.wait_ready()


if __name__ == "__main__":
    unittest.main()
