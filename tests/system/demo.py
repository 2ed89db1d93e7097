"""Demonstrates requests, a job and a configuration change with stand-ins; exits with 0 on success."""

import sys

from demofleet import TASKS, DemoFleet
from harness import POLICY, TOKEN, wait_until


def show(text):
    print(text, flush=True)


def send_requests(fleet):
    for entry in fleet.entries:
        answer = entry.call("POST", "/services/rounds/plan", "order", {"Geraniumquay-Class": "urgent"})
        show("request  %-18s outcome=%s served-by=%s" % (
            entry.name, answer.outcome, answer.headers.get("Geraniumquay-Served-By")))
        if answer.outcome != "completed" or answer.body != b"order":
            return False
    return True


def run_job(fleet):
    fleet.submit("demo-job")
    wait_until(lambda: fleet.status("demo-job")["done"] == TASKS, "the job is done")
    show("job      demo-job           state=%s done=%d of %d" % (fleet.status("demo-job")["state"], TASKS, TASKS))
    return True


def revision(process):
    for line in process.call("GET", "/metrics", port="administration").body.decode().splitlines():
        if line.startswith("geraniumquay_configuration_revision"):
            return int(line.split()[1])
    return 0


def change_configuration(fleet):
    headers = {"Authorization": "Bearer " + TOKEN}
    current = fleet.console.call("GET", "/v1/configuration", headers=headers)
    headers["If-Match"] = current.headers["ETag"]
    text = POLICY.replace("objective_ms = 250", "objective_ms = 300")
    answer = fleet.console.call("PUT", "/v1/configuration", text, headers)
    daemons = fleet.entries + fleet.schedulers + [fleet.console]
    wait_until(lambda: all(revision(daemon) == 2 for daemon in daemons), "the change is in force everywhere")
    show("config   accepted=%d, revision 2 in force in %d daemons" % (answer.status, len(daemons)))
    return answer.status == 200


def stop_all(fleet):
    codes = [process.stop() for process in fleet.entries + fleet.schedulers + [fleet.console]]
    show("stop     exit codes of %d daemons: %s" % (len(codes), sorted(set(codes))))
    return set(codes) == {0}


def main():
    with DemoFleet() as fleet:
        for step in (send_requests, run_job, change_configuration, stop_all):
            if not step(fleet):
                show("failed: " + step.__name__)
                return 1
    show("all paths went through")
    return 0


if __name__ == "__main__":
    sys.exit(main())
