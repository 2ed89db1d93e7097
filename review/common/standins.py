"""Stand-ins for the scripts of the review: the platform's store, minions, clients, and the nodes as processes.

The store is the one of the project's soak test with the limits of PROTOCOL.md added. The minions are new; they follow
the sections "Running tasks" and "Service discovery" of PROTOCOL.md. All addresses are loopback addresses.
"""

import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "auto", "usersplatform", "soak"))

from standinplatform import HttpServer, Store  # noqa: E402  pylint: disable=wrong-import-position

HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.5
MAX_LEASE_MS = 10000  # hold_max_ms
STOP_SECONDS = 0.1  # at most stop_ms = 200
ROW_BYTES = 65536
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1 << 20
QUEUE_HOST = "jobs.example"
QUEUE_PREFIX = "/rounds/"

SETTINGS = {
    "listen": {}, "internal_ports": [], "advice": HOST + ":9",
    "platform": {"row_bytes": ROW_BYTES}, "limits": {"cpu_share": 1, "cores": 1},
    "bounds": {"hold_max_ms": MAX_LEASE_MS, "stop_ms": 200, "drain_ms": 2500, "grace_s": 6, "status_s": 120,
               "remote_penalty": 3, "interference_ms": 4000, "notice_ms": 5500, "gang_ms": 3000}}


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Makes the kernel kill a node when its script ends, even if the script is killed itself."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count):
    """Ports below the range of ephemeral ports, so that no outgoing connection takes one."""
    ports = []
    for port in random.sample(range(15000, 32000), 17000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("no free ports")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()
        self.broken = []

    def note(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.started_at, text))
        self.file.flush()

    def rule_broken(self, text):
        if text not in self.broken:
            self.broken.append(text)
            self.note("RULE BROKEN: " + text)


class LimitedStore(Store):
    """The store of the soak test; it refuses transactions beyond the limits of the page with 400."""

    def __init__(self, record):
        super().__init__(random.Random(1))
        self.record = record
        self.refused = 0

    def commit(self, call):
        entries = call.get("expected_rev", []) + call.get("puts", []) + call.get("remove", [])
        # The limit holds for the value, whose base64 text is longer.
        largest = max([len(entry["value"]) * 3 // 4 - entry["value"].count("=") for entry in call.get("puts", [])] + [0])
        fault = ("a value of %d bytes" % largest if largest > ROW_BYTES else
                 "%d entries" % len(entries) if len(entries) > MAX_TRANSACTION_ENTRIES else
                 "%d bytes" % len(json.dumps(call)) if len(json.dumps(call)) > MAX_TRANSACTION_BYTES else
                 "several parts" if len({entry.get("part", "") for entry in entries}) > 1 else None)
        if fault:
            self.refused += 1
            if self.refused < 20:
                self.record.note("store: transaction of %s refused with 400: %s"
                                 % (entries[0].get("part", "") if entries else "", fault))
            return 400, {"error": fault}
        return super().commit(call)


class StoreFront(HttpServer):
    """The store's address for one node, so that a script knows which node calls."""

    def __init__(self, store, name):
        super().__init__()
        self.store = store
        self.name = name
        self.list_read_at = 0.0  # When the node last began to read the list of minions.
        self.beat_at = 0.0  # When the node last wrote its heartbeat.
        self.on_answer = None  # Called with a transaction and its answer before the answer is sent.
        self.is_rejecting = False  # The store turns the node away with 503 and has then done nothing.

    async def handle(self, method, target, headers, body):
        if self.is_rejecting:
            return 503, {}
        if target.startswith("/rows-get?table=servers"):
            self.list_read_at = time.monotonic()
        answer = await self.store.handle(method, target, headers, body)
        if target == "/rows-tx" and answer:
            call_fields = json.loads(body)
            if any(entry["table"] == "nodes" for entry in call_fields.get("puts", [])):
                self.beat_at = time.monotonic()
            if self.on_answer:
                await self.on_answer(call_fields, answer)
        return answer


class Minion(HttpServer):
    """Runs tasks as PROTOCOL.md says. `fleet` is told of each start and end."""

    def __init__(self, identity, zone, labels, capacity, fleet, service):
        super().__init__()
        self.identity = identity
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.fleet = fleet
        self.seq = 0
        self.is_up = True
        self.reset()

    def reset(self):
        """A new life: it runs nothing, holds nothing and has seen no fencing token; its counts start anew."""
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.highest_token = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.over = {}  # task -> highest run that was stopped or has ended here
        self.lease_until = 0.0
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000) + 1

    def entry(self):
        self.seq += 1
        return json.dumps({
            "service": self.service, "addr": "%s:%d" % (HOST, self.port), "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "labels": self.labels, "wall_clock_ms": self.clock_ms(),
            "capacity": {"cpu": self.capacity, "mem_mb": 128000, "gpu": 0}, "seq": self.seq, "born": self.born}).encode()

    def crash(self):
        """Ends all that runs without a trace and closes the port."""
        for task in list(self.runs):
            self.fleet.on_end(self, task, self.runs.pop(task)["attempt"], "crashed")
        self.is_up = False
        self.close()

    async def rise(self):
        """Starts a new life under the same id and address."""
        self.reset()
        self.is_up = True
        await self.start()
        self.fleet.record.note("%s is up again, born %d" % (self.identity, self.born))

    def end(self, task, how):
        run = self.runs.pop(task)
        self.last_end += 1
        self.ends.append([self.last_end, task, run["attempt"], how, ""])
        self.over[task] = max(self.over.get(task, 0), run["attempt"])
        self.fleet.on_end(self, task, run["attempt"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if now > self.lease_until:
                self.end(task, "lapsed")
            elif run["stop_at"] and now >= run["stop_at"]:
                self.end(task, "stopped")
            elif run["done_at"] and now >= run["done_at"]:
                self.end(task, "done")

    def extend(self, until_ms):
        # A time on the minion's clock, cut to the longest lease; it never shortens.
        seconds = min(until_ms - self.clock_ms(), MAX_LEASE_MS) / 1000
        self.lease_until = max(self.lease_until, time.monotonic() + seconds)

    async def handle(self, method, target, headers, body):
        call = json.loads(body) if body else {}
        fields = {"wall_clock_ms": self.clock_ms(), "born": self.born}
        if headers.get("x-expect-instance", self.identity) != self.identity:
            return 421, fields
        token = call.get("fencing_token", 0)
        if token < self.highest_token:
            return 409, dict(fields, reason="fence")
        self.highest_token = token
        if target == "/run-start":
            return self.start_run(call, fields)
        if target == "/run-stop":
            self.over[call["task"]] = max(self.over.get(call["task"], 0), call["attempt"])
            run = self.runs.get(call["task"])
            if run and run["attempt"] <= call["attempt"] and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + STOP_SECONDS
            return 200, fields
        if target == "/hold":
            return await self.hold(call)
        return 200, fields

    def start_run(self, call, fields):
        task, attempt = call["task"], call["attempt"]
        self.extend(call["until_ms"])
        run = self.runs.get(task)
        if run and run["attempt"] == attempt:
            return 200, fields
        if run or attempt <= self.over.get(task, 0):
            return 409, dict(fields, reason="old")
        if time.monotonic() > self.lease_until:
            return 409, dict(fields, reason="late")
        milliseconds = self.fleet.run_ms(task, call["spec"])
        done_at = time.monotonic() + milliseconds / 1000 if milliseconds is not None else None
        self.runs[task] = {"attempt": attempt, "stop_at": None, "done_at": done_at, "since": time.monotonic(),
                           "ms": milliseconds}
        self.fleet.on_start(self, task, attempt, call)
        return 200, fields

    async def hold(self, call):
        if call.get("until_ms"):
            self.extend(call["until_ms"])
        self.ends = [end for end in self.ends if end[0] > call.get("ack_cursor", 0)]
        if not self.ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(call["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = [[task, run["attempt"], "", 100 if not run["done_at"] else
                    min(99, int(100000 * (now - run["since"]) / max(1, run["ms"]))), 100]
                   for task, run in self.runs.items()]
        return 200, {"wall_clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.ends[:500]}


class Fleet:
    """All minions, and what runs on them."""

    def __init__(self, record, store, run_ms):
        self.record = record
        self.store = store
        self.run_ms = run_ms
        self.minions = []
        self.starts = []  # (time, task, attempt, minion)
        self.ends = []  # (time, task, attempt, how, minion)
        self.listeners = []  # Called with each start.
        self.spec_listeners = []  # Called with the task and the specification of each start.
        self.tasks = []

    async def add(self, identity, zone, rack, capacity=32000, kind="a", service="rounds-app"):
        minion = Minion(identity, zone, [kind, rack], capacity, self, service)
        await minion.start()
        self.minions.append(minion)
        self.tasks.append(asyncio.create_task(self.beat(minion)))
        return minion

    async def beat(self, minion):
        missed = 0
        while True:
            if minion.is_up:
                missed = 0
                self.store.put("servers", "", minion.identity, minion.entry())
            else:
                missed += 1
                if missed == 3:
                    self.store.remove("servers", "", minion.identity)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def tick(self):
        while True:
            for minion in self.minions:
                if minion.is_up:
                    minion.tick()
            await asyncio.sleep(0.01)

    def on_start(self, minion, task, attempt, call):
        self.starts.append((time.monotonic(), task, attempt, minion.identity))
        self.record.note("run: %s run %d starts on %s (token %s)"
                         % (task, attempt, minion.identity, call.get("fencing_token")))
        for listener in self.listeners:
            listener(minion, task, attempt)
        for listener in self.spec_listeners:
            listener(task, call["spec"])

    def on_end(self, minion, task, attempt, how):
        self.ends.append((time.monotonic(), task, attempt, how, minion.identity))
        self.record.note("run: %s run %d ends %s on %s" % (task, attempt, how, minion.identity))

    def running(self, task):
        return [(minion.identity, minion.runs[task]["attempt"]) for minion in self.minions
                if minion.is_up and task in minion.runs]

    def starts_of(self, job):
        return [start for start in self.starts if start[1].split(".")[0] == job]

    def done(self, task):
        return any(end[1] == task and end[3] == "done" for end in self.ends)


class Node:
    """A geraniumquayd process, with the command and the settings template of the deploy file."""

    def __init__(self, number, zone, region, store_port, folder, record):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        self.name = "frontend-%s-%d" % (zone, number)
        self.record = record
        ports = free_ports(4)
        self.port, self.ready_port = ports[0], ports[1]
        fields = dict(SETTINGS, node_name=self.name, zone=zone, region=region, ip=HOST,
                      listen={"frontend": "%s:%d" % (HOST, ports[0]), "readiness_addr": "%s:%d" % (HOST, ports[1])},
                      internal_ports=[ports[2]], platform={"addr": "%s:%d" % (HOST, store_port), "row_bytes": ROW_BYTES})
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = re.sub(r"{{([a-z_.0-9]+)}}", lambda match: self.value(fields, match.group(1)), file.read())
        # All nodes have one address here, so the metrics need a port of their own.
        text = text.replace("%s:9100" % HOST, "%s:%d" % (HOST, ports[3]))
        self.settings = os.path.join(folder, self.name + ".ini")
        self.log = os.path.join(folder, self.name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.process = None
        self.front = None

    @staticmethod
    def value(fields, path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    async def start(self):
        words = [self.settings if word == "/etc/geraniumquay/settings.json" else word
                 for word in self.role["run"].split()]
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, words[0]), *words[1:], stdout=log, stderr=log, cwd=ROOT, preexec_fn=end_with_parent,
                env={"PATH": os.environ.get("PATH", ""), "GERANIUMQUAY_CONFIG": self.settings})
        self.record.note("%s starts, pid %d" % (self.name, self.process.pid))

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.record.note("%s gets %s" % (self.name, signal.Signals(number).name))
            self.process.send_signal(number)

    def processor_seconds(self):
        with open("/proc/%d/stat" % self.process.pid, encoding="utf-8") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def call(port, method, path, body=None, seconds=3.0, host=QUEUE_HOST):
    """Sends one request on a new connection; returns status and fields, status 0 without a complete answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(HOST, port)
        text = json.dumps(body).encode() if body is not None else b""
        writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
                      "Content-Length: %d\r\n\r\n" % (method, path, host, int(seconds * 1000), len(text))).encode() + text)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                       if line.lower().startswith("content-length")), 0)
        answer = await reader.readexactly(length)
        return int(head.split(" ")[1]), json.loads(answer or b"{}")
    try:
        return await asyncio.wait_for(exchange(), seconds)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer:
            writer.close()


class Case:
    """What all scripts share: a store, minions, nodes, a configuration and a record."""

    def __init__(self, folder, run_ms, has_trouble):
        self.has_trouble = has_trouble
        self.record = Record(os.path.join(folder, "record.txt"))
        self.store = LimitedStore(self.record)
        self.fleet = Fleet(self.record, self.store, run_ms)
        self.nodes = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tasks = []

    async def start(self, node_zones, zones, minions_per_zone, max_attempts=4, kinds=None, capacity=32000, queues=None):
        """`kinds` gives the kind of the minions of a zone; "a" by default. `queues` gives the path prefix of each service."""
        queues = queues or {"rounds-app": QUEUE_PREFIX}
        await self.store.start()
        places = [(service, zone) for service in queues for zone in zones]
        for place, (service, zone) in enumerate(places):
            for number in range(minions_per_zone):
                await self.fleet.add("i-7f%02x91%02x" % (place, number), zone, "%s-%s-r%d" % (service, zone, number // 8),
                                     capacity, (kinds or {}).get(zone, "a"), service)
        self.tasks.append(asyncio.create_task(self.fleet.tick()))
        routes = [{"name": "r-" + service, "host": QUEUE_HOST, "path_prefix": prefix, "kind": "non_idempotent",
                   "timeout_ms": 3000, "target_latency_ms": 400, "priority": 0, "service": service,
                   "max_attempts": max_attempts, "slack_factor": 1.5} for service, prefix in queues.items()]
        services = [{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                     "admission_check": False, "standby": False} for service in queues]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put("op", "", "config", json.dumps(
            {"version": 7, "routes": routes, "services": services, "limits": limits}).encode())
        for number, zone in enumerate(node_zones):
            front = StoreFront(self.store, zone)
            await front.start()
            node = Node(number + 1, zone, "lagos", front.port, self.folder, self.record)
            node.front = front
            self.nodes.append(node)
            await node.start()
        await self.wait_until_ready()

    async def wait_until_ready(self):
        """Waits until every node is ready and the shards of all zones have owners."""
        deadline = time.monotonic() + 25
        while time.monotonic() < deadline:
            answers = [await call(node.ready_port, "GET", "/ready", seconds=1) for node in self.nodes]
            places = {(minion.service, minion.zone) for minion in self.fleet.minions}
            if all(status == 200 for status, _ in answers) and len(self.shard_owners()) >= len(places):
                await asyncio.sleep(3)
                self.record.note("all nodes are ready; owners: %s" % self.shard_owners())
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the nodes did not become ready")

    def shard_owners(self):
        """Returns the names in the owner rows, by shard. Only for the choice of the process to disturb."""
        import base64  # pylint: disable=import-outside-toplevel
        owners = {}
        for (table, part), rows in self.store.partitions.items():
            if table == "shards" and "owner" in rows:
                value = base64.b64decode(rows["owner"][0])
                if value[:1] == b"\x0a":
                    owners[part] = value[2:2 + value[1]].decode("utf-8", "replace")
        return owners

    async def submit(self, job, body, node=None, tries=4, prefix=QUEUE_PREFIX):
        """Submits a job as the users' clients do; returns whether a 2xx response accepted it."""
        for number in range(tries):
            target = node if node and number == 0 else random.choice(self.nodes)
            status, fields = await call(target.port, "POST", prefix + job, body)
            self.record.note("POST %s at %s: %s %s" % (prefix + job, target.name, status or "no answer", fields or ""))
            if 200 <= status < 300:
                return True
            if status in (404, 400, 413):
                return False
            await asyncio.sleep(0.3)
        return False

    async def state(self, job, node=None, prefix=QUEUE_PREFIX):
        target = node or random.choice(self.nodes)
        status, fields = await call(target.port, "GET", prefix + job)
        self.record.note("GET %s at %s: %s %s" % (prefix + job, target.name, status or "no answer", fields or ""))
        return status, fields.get("state")

    async def close(self):
        for node in self.nodes:
            await node.end()
        for task in self.tasks + self.fleet.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.note("all processes have ended")


def main(folder, make_run, seconds=110):
    """Runs `make_run(folder, has_trouble)`; exits with 1 if a rule was broken, 0 if not, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    random.seed(int(os.environ.get("SEED", "0")) or None)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # So that the nodes are ended, too.

    async def guarded():
        case = None
        try:
            case, run = make_run(folder, has_trouble)
            await asyncio.wait_for(run(case), seconds)
            return case
        finally:
            if case:
                await case.close()
    try:
        case = asyncio.run(guarded())
    except (Exception, KeyboardInterrupt) as error:  # pylint: disable=broad-except
        print("the case could not run: %r" % error)
        return 2
    for text in case.record.broken:
        print("rule broken: " + text)
    print("trouble: %s, rule %s" % ("yes" if has_trouble else "no", "broken" if case.record.broken else "held"))
    return 1 if case.record.broken else 0
