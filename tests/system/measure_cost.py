"""Measures the cost of a request in gqentryd.

usage: measure_cost.py instructions   instructions per request with valgrind's callgrind (repeatable on a busy machine)
       measure_cost.py latency        added latency and maximum rate, compared with direct requests in the same run
"""

import json
import os
import re
import subprocess
import sys

import harness
from harness import BUILD, POLICY, Fleet

BACKENDS = 6
PAIRS = 5
SECONDS = 4
CONNECTIONS = 32


def load(port, **options):
    arguments = [os.path.join(BUILD, "src/tools/gqload/gqload"), "--port", str(port)]
    for name, value in options.items():
        arguments += ["--" + name.replace("_", "-"), str(value)]
    return json.loads(subprocess.run(arguments, capture_output=True, text=True, check=True).stdout)


def start(fleet):
    fleet.start_platform()
    backends = [fleet.start_backend("backend-%d" % index, slots=8) for index in range(BACKENDS)]
    entry = fleet.start_entry("entry-1", extra="[listen]\nthreads = 4\n")
    fleet.publish_vms()
    fleet.put_policy(POLICY)
    entry.wait_ready()
    return backends, entry


def instructions_of(seconds):
    """Returns the number of instructions and of requests of a complete run."""
    harness.WAIT_SECONDS = 120.0
    with Fleet() as fleet:
        output = os.path.join(fleet.folder.name, "callgrind.out")
        fleet.prefix["gqentryd"] = ["valgrind", "--tool=callgrind", "--callgrind-out-file=" + output]
        _, entry = start(fleet)
        answers = load(entry.port(), target="/services/rounds/plan", connections=8, seconds=seconds)["answers"]
        entry.stop()
        with open(output, encoding="utf-8") as stream:
            total = int(re.search(r"^(?:summary|totals): (\d+)", stream.read(), re.MULTILINE).group(1))
    return total, answers


def measure_instructions():
    short, long = instructions_of(4), instructions_of(16)
    print("instructions a request: %d (slope between %d and %d requests)" % (
        (long[0] - short[0]) / (long[1] - short[1]), short[1], long[1]))


def measure_latency():
    with Fleet() as fleet:
        backends, entry = start(fleet)
        peak = load(entry.port(), target="/services/rounds/plan", connections=CONNECTIONS, seconds=SECONDS)
        print("greatest rate: %.0f requests/s over %d kept connections" % (peak["per_second"], CONNECTIONS))
        half = int(peak["per_second"] / 2)
        for _ in range(PAIRS):
            direct = load(backends[0].port(), connections=CONNECTIONS, per_second=half, seconds=SECONDS)
            through = load(entry.port(), target="/services/rounds/plan", connections=CONNECTIONS, per_second=half,
                           seconds=SECONDS)
            print("at %d/s: direct p50 %.0f us p99 %.0f us, through gqentryd p50 %.0f us p99 %.0f us" % (
                half, direct["p50_us"], direct["p99_us"], through["p50_us"], through["p99_us"]))


if __name__ == "__main__":
    {"instructions": measure_instructions, "latency": measure_latency}[sys.argv[1]]()
