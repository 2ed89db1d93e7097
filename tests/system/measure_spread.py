"""Measures how long it takes until an accepted configuration is in force everywhere, and the resource usage of a node.

Usage: measure_spread.py [ENTRY_VMS [CHANGES]]: each entry VM runs the three daemons, in three failure domains.
Prints the results; this is not a test.
"""

import datetime
import json
import os
import sys
import time

from consolefleet import ConsoleFleet, get, put, with_objective
from harness import wait_until

DOMAINS = (("lagos-a", "lagos"), ("lagos-b", "lagos"), ("abuja-a", "abuja"))
DAEMONS = ("gqconsoled", "gqentryd", "gqschedd")
PAUSE_SECONDS = 2.0
TICKS = os.sysconf("SC_CLK_TCK")


class MeasuredFleet(ConsoleFleet):
    """Polls with the default interval of the settings instead of the short interval of the tests."""

    def settings(self, *arguments, **more):
        path = super().settings(*arguments, **more)
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(text.replace("poll_ms = 100\n", ""))
        return path


def applied_at(process):
    """Returns the times at which a process logged that a revision was in force, by revision."""
    times = {}
    for line in list(process.lines):
        if "configuration-applied" in line:
            event = json.loads(line)
            moment = datetime.datetime.strptime(event["time"], "%Y-%m-%dT%H:%M:%S.%f%z")
            times[int(event["revision"])] = moment.timestamp()
    return times


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.process.pid, encoding="utf-8") as stream:
        fields = stream.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    with open("/proc/%d/status" % process.process.pid, encoding="utf-8") as stream:
        return next(int(line.split()[1]) for line in stream if line.startswith("VmRSS")) / 1024


def start_nodes(fleet, count):
    daemons = []
    seeds = {}
    for index in range(count):
        domain, region = DOMAINS[index % len(DOMAINS)]
        peers = "".join("[peer seed-%d]\naddress = 127.0.0.1\nport = %d\n" % (number, port)
                        for number, port in enumerate(seeds.values()))
        for program in DAEMONS:
            security = "[security]\noperator_token_file = %s\n" % fleet.token_file
            daemon = fleet.start_daemon(program, "%s-%d" % (program, index), domain, region, security + peers)
            daemon.port("peers")
            daemons.append(daemon)
        seeds.setdefault(domain, daemons[-1].port("peers"))
    return daemons


def main():
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 24
    changes = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    with MeasuredFleet(()) as fleet:
        daemons = start_nodes(fleet, count)
        fleet.consoles = daemons[:1]
        fleet.put_first()
        wait_until(lambda: all(1 in applied_at(daemon) for daemon in daemons), "the first revision is in force", 60)
        time.sleep(10)
        cpu_before = [cpu_seconds(daemon) for daemon in daemons]
        begin = time.monotonic()
        sent = {}
        for number in range(changes):
            tag = get(fleet.consoles[0]).headers["ETag"]
            sent[number + 2] = time.time()
            assert put(fleet.consoles[0], with_objective(300 + number), tag).status == 200
            time.sleep(PAUSE_SECONDS)
        wait_until(lambda: all(changes + 1 in applied_at(daemon) for daemon in daemons), "the last is in force", 60)
        elapsed = time.monotonic() - begin
        cpu = [(cpu_seconds(daemon) - before) / elapsed for daemon, before in zip(daemons, cpu_before)]
        slowest = sorted(max(applied_at(daemon)[revision] for daemon in daemons) - moment
                         for revision, moment in sent.items())
        print("%d entry VMs, %d processes, %d changes" % (count, len(daemons), changes))
        print("in force in all processes after: median %.2f s, largest %.2f s"
              % (slowest[len(slowest) // 2], slowest[-1]))
        node = len(DAEMONS)
        print("processor time per node (three daemons): mean %.2f%%, largest %.2f%% of a core"
              % (100 * sum(cpu) / count, 100 * max(sum(cpu[i:i + node]) for i in range(0, len(cpu), node))))
        print("memory per node (three daemons): %.0f MB" % (sum(map(resident_mb, daemons)) / count))


if __name__ == "__main__":
    main()
