"""Stand-ins for the users' platform, written from its pages: a store, minions, clients, and the start of the nodes.

All of them run on one event loop and listen on loopback addresses. A minion does what PROTOCOL.md says; a case changes
single answers by `Minion.on_call`.
"""

import asyncio
import base64
import bisect
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/src/app/geraniumquayd/geraniumquayd")
TEMPLATE = os.path.join(ROOT, "deploy/geraniumquayd.ini.template")
HEARTBEAT_SECONDS = 1.5
STOP_SECONDS = 0.2
HOLD_MAX_MS = 10000
HOST = "jobs.example"
PREFIX = "/orders/"
SERVICE = "rounds-app"
ZONES = {"zone-a": "region", "zone-b": "region", "zone-c": "region"}
BOUNDS = {"hold_max_ms": HOLD_MAX_MS, "stop_ms": 200, "drain_ms": 2500, "grace_s": 6, "status_s": 120,
          "remote_penalty": 3, "interference_ms": 4000, "notice_ms": 5500, "gang_ms": 3000}
# The bounds of the pages that the checks use, in seconds.
CONTACT_SECONDS = 4.0
CANCEL_SECONDS = 3.0
# Time after which a machine that is gone for good is replaced (`replace_core`, `x` in the site file).
REPLACE_SECONDS = 2.0
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets the kernel end a process when the script ends, however that happens."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def encode(fields):
    return base64.b64encode(json.dumps(fields).encode()).decode()


class HttpServer:
    """Serves HTTP/1.1; handle() returns status and fields, or None to close the connection without an answer."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {name.strip().lower(): value.strip()
                           for name, _, value in (line.partition(":") for line in head[1:] if line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # Closes with a reset.
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                               struct.pack("ii", 1, 0))
                    break
                text = json.dumps(answer[1]).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (answer[0], len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


class Store(HttpServer):
    """The platform's row store."""

    def __init__(self):
        super().__init__()
        self.rows = {}  # (table, part) -> key -> (value, ver)
        self.changes = {}  # table -> list of (ver, row)
        self.changed = asyncio.Event()
        self.ver = 1

    def apply(self, name, value):
        partition = self.rows.setdefault(name[:2], {})
        row = {"table": name[0], "part": name[1], "key": name[2], "ver": self.ver}
        if value is None:
            if partition.pop(name[2], None) is None:
                return
            row["deleted"] = True
        else:
            partition[name[2]] = (value, self.ver)
            row["value"] = value
        self.changes.setdefault(name[0], []).append((self.ver, row))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, fields):
        """A write of the operator or of a minion."""
        self.ver += 1
        self.apply((table, "", key), encode(fields))

    def remove(self, table, key):
        self.ver += 1
        self.apply((table, "", key), None)

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, True).items()}
        if url.path == "/rows-tx":
            return self.commit(json.loads(body))
        if url.path == "/rows-get":
            return 200, self.get(query)
        if url.path == "/rows-feed":
            return 200, await self.feed(query)
        if url.path == "/rows-parts":
            parts = sorted(part for table, part in self.rows if table == query["table"])
            return 200, dict(self.clocks(), parts=parts, has_more=False)
        return 404, {}

    def clocks(self):
        return {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    def commit(self, call):
        def name_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        writes = call.get("puts", []) + call.get("remove", [])
        if any(entry["table"] in ("op", "servers") for entry in writes):
            return 403, self.clocks()
        expected = call.get("expected_rev", [])
        current = [(name_of(entry), *self.rows.get(name_of(entry)[:2], {}).get(entry["key"], ("", 0)))
                   for entry in expected]
        if any(ver != entry["ver"] for entry, (_, _, ver) in zip(expected, current)):
            rows = [{"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": ver}
                    for name, value, ver in current]
            return 412, dict(self.clocks(), rows=rows)
        self.ver += 1
        for entry in call.get("puts", []):
            self.apply(name_of(entry), entry["value"])
        for entry in call.get("remove", []):
            self.apply(name_of(entry), None)
        return 200, self.clocks()

    def get(self, query):
        partition = (query["table"], query.get("part", ""))
        rows = self.rows.get(partition, {})
        keys = sorted(key for key in rows
                      if key >= query.get("from", "") and ("target" not in query or key < query["target"]))
        limit = min(int(query.get("limit", 500)), 500)
        page = [{"table": partition[0], "part": partition[1], "key": key, "value": rows[key][0], "ver": rows[key][1]}
                for key in keys[:limit]]
        return dict(self.clocks(), rows=page, has_more=len(keys) > limit)

    async def feed(self, query):
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            changes = self.changes.get(query["table"], [])
            found = changes[bisect.bisect_right(changes, int(query["after"]), key=lambda change: change[0]):]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                return dict(self.clocks(), rows=[row for _, row in found])
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Minion(HttpServer):
    """Runs tasks under a lease. Its tasks do what the job's `spec` says: {"ms": time, "lasts": bool}.

    `on_call(minion, target, call)` may return an answer in its place, "drop" to reset the connection unanswered,
    "hang" not to answer, or None to go on.
    """

    def __init__(self, world, identity, zone, kind, rack, cpu=8000):
        super().__init__()
        self.world = world
        self.identity = identity
        self.zone = zone
        self.labels = [kind, rack]
        self.cpu = cpu
        self.on_call = None
        self.seq = 0
        self.is_up = False
        self.is_dark = False
        self.drain_end = None
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.token = 0
        self.runs = {}  # task -> {"attempt", "spec", "at", "stop_at"}
        self.ends = []
        self.end_count = 0
        self.refused = {}
        self.lease_end = 0.0
        self.ended = asyncio.Event()

    async def come_up(self):
        await self.start()
        self.is_up = True
        self.report()
        self.beat = asyncio.create_task(self.run())

    async def run(self):
        reported_at = time.monotonic()
        while self.is_up:
            await asyncio.sleep(0.02)
            if self.is_dark:
                return
            self.tick()
            if time.monotonic() - reported_at >= HEARTBEAT_SECONDS:
                reported_at = time.monotonic()
                self.report()

    def report(self):
        self.seq += 1
        fields = {
            "service": SERVICE, "addr": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born, "labels": self.labels,
            "capacity": {"cpu": self.cpu, "mem_mb": 64000, "gpu": 0}}
        if self.drain_end is not None:
            fields["state"] = "draining"
            fields["drain_remaining_ms"] = max(0, int((self.drain_end - time.monotonic()) * 1000))
        self.world.store.put("servers", self.identity, fields)

    async def drain(self):
        """A planned shutdown: it serves on for `drain_ms` after the store has its report, then leaves."""
        self.drain_end = time.monotonic() + BOUNDS["drain_ms"] / 1000
        self.report()
        await asyncio.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
        self.crash()
        self.world.store.remove("servers", self.identity)

    def crash(self):
        """Everything that runs is gone; nothing listens until come_up()."""
        self.is_up = False
        self.close()
        for task, run in self.runs.items():
            self.world.on_run_ended(self, task, run, "crashed")
        self.begin_life()

    async def crash_for(self, seconds):
        """A crash and the start under the same id and address."""
        self.crash()
        await asyncio.sleep(seconds)
        self.begin_life()
        self.seq = 0
        await self.come_up()

    async def go_dark(self):
        """The machine loses power for good: it answers nothing, and its entry lapses after three heartbeat intervals."""
        self.is_dark = True
        for task, run in list(self.runs.items()):
            del self.runs[task]
            self.world.on_run_ended(self, task, run, "lost")
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        self.world.store.remove("servers", self.identity)

    def clock_ms(self):
        return int((time.monotonic() - self.started_at) * 1000) + 1

    def end(self, task, how):
        run = self.runs.pop(task)
        self.end_count += 1
        self.ends.append([self.end_count, task, run["attempt"], how, ""])
        self.refused[task] = max(self.refused.get(task, 0), run["attempt"])
        self.world.on_run_ended(self, task, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if now > self.lease_end:
                self.end(task, "lapsed")
            elif run["stop_at"] and now > run["stop_at"]:
                self.end(task, "stopped")
            elif not run["spec"].get("lasts") and now > run["at"] + run["spec"]["ms"] / 1000:
                self.end(task, "done")

    def extend(self, until_ms):
        remaining = min(until_ms - self.clock_ms(), HOLD_MAX_MS) / 1000
        self.lease_end = max(self.lease_end, time.monotonic() + remaining)

    def fields(self, **more):
        return dict({"wall_clock_ms": self.clock_ms(), "born": self.born}, **more)

    async def handle(self, method, target, headers, body):
        call = json.loads(body)
        if self.is_dark:
            if target == "/run-start":
                self.world.note("start sent to a dark minion", minion=self.identity, task=call["task"])
            await asyncio.sleep(1000)
        if headers.get("x-expect-instance", self.identity) != self.identity:
            return 421, self.fields()
        if call.get("fencing_token", 0) < self.token:
            return 409, self.fields(reason="fence")
        self.token = max(self.token, call.get("fencing_token", 0))
        answer = self.on_call(self, target, call) if self.on_call else None
        if answer == "drop":
            return None
        if answer == "hang":
            await asyncio.sleep(1000)
        if answer:
            return answer
        if target == "/run-start":
            return self.start_run(call)
        if target == "/run-stop":
            self.refused[call["task"]] = max(self.refused.get(call["task"], 0), call["attempt"])
            run = self.runs.get(call["task"])
            if run and run["attempt"] <= call["attempt"] and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + STOP_SECONDS / 2
        if target == "/hold":
            return await self.hold(call)
        return 200, self.fields()

    def start_run(self, call):
        task, attempt = call["task"], call["attempt"]
        known = self.runs.get(task)
        self.extend(call["until_ms"])
        if known and known["attempt"] == attempt:
            return 200, self.fields()
        if known or attempt <= self.refused.get(task, 0):
            return 409, self.fields(reason="old")
        if time.monotonic() > self.lease_end:
            return 409, self.fields(reason="late")
        self.runs[task] = {"attempt": attempt, "spec": json.loads(call["spec"]), "at": time.monotonic(),
                           "stop_at": None}
        self.world.on_run_started(self, task, self.runs[task])
        return 200, self.fields()

    async def hold(self, call):
        if call.get("until_ms"):
            self.extend(call["until_ms"])
        cursor = call.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= cursor:
                self.world.note("taken note of", minion=self.identity, task=end[1], attempt=end[2], how=end[3])
        self.ends = [end for end in self.ends if end[0] > cursor]
        if not self.ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended.wait(), min(call["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        if self.is_dark:
            await asyncio.sleep(1000)
        now = time.monotonic()
        running = [[task, run["attempt"], "", 100 if run["spec"].get("lasts") else
                    min(99, int(100000 * (now - run["at"]) / max(1, run["spec"]["ms"]))), 5]
                   for task, run in self.runs.items()]
        return 200, self.fields(running=running, finished=self.ends[:500])


class Node:
    """A geraniumquayd process with the settings that the deploy file's template gives."""

    def __init__(self, world, number, zone):
        self.world = world
        self.number = number
        self.zone = zone
        self.name = "frontend-%s-%d" % (zone, number)
        self.ip = "127.%d.%d.%d" % (*world.net, number + 1)
        self.settings = os.path.join(world.folder, self.name + ".ini")
        self.log = os.path.join(world.folder, self.name + ".log")
        self.process = None
        self.started_at = 0.0
        values = {"node_name": self.name, "zone": zone, "region": ZONES[zone], "listen.frontend": self.ip + ":8161",
                  "listen.readiness_addr": self.ip + ":8167", "ip": self.ip, "internal_ports.0": "7720",
                  "advice": "", "platform.addr": "127.0.0.1:%d" % world.store.port, "platform.row_bytes": "65536",
                  "limits.memory_mb": "260", "limits.max_fds": "4100", "limits.cpu_share": "1", "limits.cores": "1"}
        values.update({"bounds." + key: str(value) for key, value in BOUNDS.items()})
        with open(TEMPLATE, encoding="utf-8") as file:
            text = re.sub(r"\{\{#([\w.]+)\}\}.*?\{\{/\1\}\}", "", file.read())
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([\w.]+)\}\}", lambda match: values[match.group(1)], text))

    async def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--config", self.settings, stdout=log, stderr=log, cwd=ROOT, preexec_fn=end_with_parent)
        self.started_at = self.world.now()
        self.world.note("node started", node=self.name)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()
            self.world.note("node killed", node=self.name)

    def owned(self):
        """Returns the shards that the process says it owns, from its log."""
        owned = set()
        with open(self.log, encoding="utf-8", errors="replace") as file:
            for line in file:
                if '"event":"started"' in line:
                    owned.clear()
                if '"event":"shard-loaded"' in line:
                    owned.add(json.loads(line)["shard"])
                if '"event":"shard-given-up"' in line:
                    owned.discard(json.loads(line)["shard"])
        return owned

    async def call(self, method, path, body=None, seconds=3.0):
        """Returns status and fields of the response; status 0 without a complete one."""
        text = json.dumps(body).encode() if body is not None else b""
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(self.ip, 8161)
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\n"
                          "Content-Length: %d\r\n\r\n" % (method, path, HOST, seconds * 1000, len(text))).encode() + text)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            length = int(re.search(r"(?i)content-length: *(\d+)", head).group(1))
            return int(head.split(" ")[1]), json.loads(await reader.readexactly(length) or b"{}")
        try:
            status, fields = await asyncio.wait_for(exchange(), seconds)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, fields = 0, {}
        finally:
            if writer:
                writer.transport.abort()
        self.world.note("client", node=self.name, call=method + " " + path, status=status, fields=fields)
        return status, fields


class World:
    """Store, minions and nodes of a case, and the record of what was seen."""

    def __init__(self, folder):
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="geraniumquay-review-")
        self.net = (random.randint(64, 250), random.randint(1, 250))
        self.began_at = time.monotonic()
        self.store = Store()
        self.minions = []
        self.nodes = []
        self.starts = []  # (time, minion, task, attempt)
        self.running = {}  # task -> {(minion, attempt)}
        self.ends = []  # (time, minion, task, attempt, how)
        self.doubled = []
        self.listeners = []  # Called with each start.

    def now(self):
        return time.monotonic() - self.began_at

    def note(self, what, **fields):
        self.record.write("%8.3f %s %s\n" % (self.now(), what, json.dumps(fields)))
        self.record.flush()

    def on_run_started(self, minion, task, run):
        self.note("run started", minion=minion.identity, task=task, attempt=run["attempt"])
        # Runs whose end is due are over.
        for other in self.minions:
            if other.is_up and not other.is_dark:
                other.tick()
        runs = self.running.setdefault(task, set())
        if runs:
            self.doubled.append(task)
            self.note("SECOND RUN AT THE SAME TIME", task=task, beside=sorted(runs))
        runs.add((minion.identity, run["attempt"]))
        self.starts.append((self.now(), minion.identity, task, run["attempt"]))
        for listener in self.listeners:
            listener(minion, task, run)

    def on_run_ended(self, minion, task, run, how):
        self.note("run ended", minion=minion.identity, task=task, attempt=run["attempt"], how=how)
        self.running.get(task, set()).discard((minion.identity, run["attempt"]))
        self.ends.append((self.now(), minion.identity, task, run["attempt"], how))

    async def start(self, node_zones, minions):
        """`minions`: identity, zone, kind, rack of each."""
        await self.store.start()
        self.store.put("op", "config", {
            "version": 3, "limits": {"max_body_bytes": 262144}, "services": [{"name": SERVICE, "admission_check": False}],
            "routes": [{"name": "orders", "host": HOST, "path_prefix": PREFIX, "kind": "non_idempotent",
                        "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": SERVICE,
                        "max_attempts": 3, "slack_factor": 2.0}]})
        for identity, zone, kind, rack in minions:
            self.minions.append(Minion(self, identity, zone, kind, rack))
            await self.minions[-1].come_up()
        self.nodes = [Node(self, number, zone) for number, zone in enumerate(node_zones)]
        self.next_number = len(self.nodes)
        for node in self.nodes:
            await node.start()

    async def submit(self, node, phases, spec):
        name = "%016x" % random.getrandbits(64)
        for _ in range(8):
            status, _ = await node.call("POST", PREFIX + name, {"spec": json.dumps(spec), "phases": phases})
            if status == 200:
                return name
            await asyncio.sleep(0.5)
        raise RuntimeError("no job was accepted")

    async def lose(self, node):
        """Removes a machine for good; a new one comes at another address."""
        await node.kill()
        await asyncio.sleep(REPLACE_SECONDS)
        await self.replace(node)

    async def replace(self, node):
        """Adds a machine in the place of one that was removed."""
        new = Node(self, self.next_number, node.zone)
        self.next_number += 1
        self.nodes[self.nodes.index(node)] = new
        await new.start()

    async def wait_for(self, condition, seconds):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return False

    async def stop(self):
        for node in self.nodes:
            await node.kill()
        for minion in self.minions:
            if minion.is_up:
                minion.is_up = False
                minion.close()
        self.store.close()


def main(folder, case):
    """Runs a case: `case(world, has_trouble)` returns the list of what broke the rule, or raises RuntimeError if it
    could not run. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        world = World(folder)
        # Ends the processes of the case also if the script is stopped.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            if not os.access(PROGRAM, os.X_OK):
                raise RuntimeError("the program has not been built")
            broken = await asyncio.wait_for(case(world, has_trouble), 110)
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            world.note("could not run", error=repr(error))
            print("could not run: %r" % error)
            return 2
        finally:
            await world.stop()
            shutil.rmtree(world.folder, ignore_errors=True)
        for line in broken:
            world.note("RULE BROKEN: " + line)
            print("RULE BROKEN: " + line)
        if not broken:
            world.note("the rule held")
            print("the rule held")
        return 1 if broken else 0
    code = asyncio.run(run())
    os._exit(code)  # pylint: disable=protected-access
