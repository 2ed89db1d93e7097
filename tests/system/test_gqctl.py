"""gqctl with real processes: results, JSON and exit codes."""

import json
import os
import subprocess
import unittest

from consolefleet import TOKEN, ConsoleFleet, get, with_objective
from harness import BUILD, POLICY, wait_until


class Control:
    """Runs gqctl for a fleet."""

    def __init__(self, fleet, entry=None):
        self.fleet = fleet
        self.flags = ["--console", "127.0.0.1:%d" % fleet.consoles[0].port(), "--token-file", fleet.token_file]
        if entry:
            self.flags += ["--entry", "127.0.0.1:%d" % entry.port()]

    def run(self, *arguments, text=None):
        path = os.path.join(BUILD, "src/tools/gqctl/gqctl")
        return subprocess.run([path] + self.flags + list(arguments), input=text, capture_output=True, text=True,
                              timeout=60, check=False)


class ControlTest(unittest.TestCase):
    def test_configuration_commands_and_their_exit_codes(self):
        with ConsoleFleet() as fleet:
            control = Control(fleet)
            self.assertEqual(control.run("config", "get").returncode, 7)
            first = control.run("--base", "0", "--author", "ada", "--json", "config", "put", "-", text=POLICY)
            self.assertEqual((first.returncode, json.loads(first.stdout)["author"]), (0, "ada"))
            got = control.run("config", "get")
            self.assertEqual((got.stdout, got.stderr), (POLICY, "revision 1\n"))
            self.assertEqual(json.loads(control.run("--json", "config", "get").stdout),
                             {"revision": 1, "text": POLICY})
            self.assertEqual(control.run("config", "validate", "-", text=POLICY).returncode, 0)
            broken = POLICY.replace("default_class = normal", "default_class = vip")
            invalid = control.run("--json", "config", "validate", "-", text=broken)
            self.assertEqual(invalid.returncode, 3)
            self.assertEqual(json.loads(invalid.stdout)["faults"][0]["key"], "default_class")
            refused = control.run("--base", "1", "config", "put", "-", text=broken)
            self.assertEqual(refused.returncode, 3)
            self.assertIn("[service rounds] default_class: 'vip'", refused.stderr)
            self.assertEqual(control.run("config", "put", "-", text=POLICY).returncode, 2)
            self.assertEqual(control.run("--base", "1", "config", "put", "-", text=with_objective(300)).returncode, 0)
            lost = control.run("--base", "1", "config", "put", "-", text=with_objective(400))
            self.assertEqual(lost.returncode, 4)
            self.assertIn("accepted meanwhile: [service rounds] objective_ms: '250' -> '300'", lost.stderr)
            entries = json.loads(control.run("--json", "config", "history").stdout)["history"]
            self.assertEqual([entry["revision"] for entry in entries], [2, 1])
            with open(fleet.token_file, "w", encoding="utf-8") as stream:
                stream.write("another-token-of-some-length")
            self.assertEqual(control.run("members").returncode, 6)
            self.assertNotIn(TOKEN, control.run("members").stderr)
            self.assertEqual(fleet.consoles[0].stop(), 0)
            self.assertEqual(control.run("members").returncode, 1)
            self.assertEqual(control.run("unheard-of").returncode, 2)

    def test_a_drained_backend_server_gets_no_new_work_until_it_is_undrained(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            for name in ("backend-a", "backend-b"):
                fleet.start_backend(name)
            fleet.publish_vms()
            entry = fleet.start_entry("entry-a")
            entry.wait_ready()
            control = Control(fleet, entry)

            def servers():
                answers = [entry.call("GET", "/services/rounds/echo") for _ in range(20)]
                return {answer.headers["Geraniumquay-Served-By"] for answer in answers}

            self.assertLessEqual(servers(), {"backend-a", "backend-b"})
            self.assertEqual(control.run("--reason", "new kernel", "drain", "backend-a").returncode, 0)
            wait_until(lambda: servers() == {"backend-b"}, "the drained one gets nothing")
            self.assertEqual(servers(), {"backend-b"})
            self.assertIn("[drain backend-a]\nreason = new kernel\n", get(fleet.consoles[0]).body.decode())
            self.assertEqual(control.run("undrain", "backend-a").returncode, 0)
            self.assertEqual(get(fleet.consoles[0]).body.decode(), POLICY)
            self.assertEqual(control.run("drain", "backend-b").returncode, 0)
            wait_until(lambda: servers() == {"backend-a"}, "only the undrained one gets work")
            self.assertEqual(servers(), {"backend-a"})

    def test_jobs_members_and_burn(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            fleet.start_backend("backend-a")
            worker = fleet.start("worker-a", "tests/standins/standin-worker", ["--port", "0"])
            fleet.vms.append({"name": "worker-a", "role": "VM_ROLE_WORKER", "address": "127.0.0.1",
                              "port": worker.port(), "region": "lagos", "domain": "lagos-a", "rack": "rack-1",
                              "processors": 4, "memory_mb": 16000})
            fleet.publish_vms()
            fleet.start_daemon("gqschedd", "scheduler-a")
            entry = fleet.start_entry("entry-a", extra="[peer console-a]\naddress = 127.0.0.1\nport = %d\n"
                                      % fleet.consoles[0].port("peers"))
            entry.wait_ready()
            control = Control(fleet, entry)
            spec = {"id": "job-1", "team": "planning", "kind": "BATCH", "count": 1, "run_ms": 10,
                    "size": {"processors": 1, "memory_mb": 10}}
            # The job is rejected until the scheduling daemon has claimed the rack.
            wait_until(lambda: control.run("submit", "-", text=json.dumps(spec)).returncode == 0, "the job is taken")
            submitted = control.run("--json", "submit", "-", text=json.dumps(spec))
            self.assertEqual((submitted.returncode, json.loads(submitted.stdout)["id"]), (0, "job-1"))
            self.assertEqual(control.run("status", "job-1").returncode, 0)
            self.assertEqual(control.run("status", "job-2").returncode, 7)
            self.assertEqual(control.run("cancel", "job-1").returncode, 0)
            wait_until(lambda: "entry-a/entry" in control.run("members").stdout, "the entry daemon is listed")
            for _ in range(10):
                entry.call("GET", "/services/rounds/echo")

            def counted():
                report = json.loads(control.run("--json", "burn-report").stdout)
                return report["objectives"] and report["objectives"][0]["windows"][0]["good"] == 10

            wait_until(counted, "the report counts the requests")
            self.assertIn("99% in 250 ms", control.run("burn-report").stdout)
            self.assertTrue(control.run("--format", "svg", "burn-report").stdout.startswith("<svg"))


if __name__ == "__main__":
    unittest.main()
