"""Stand-in platform for the soak test: a row store and workers that serve HTTP/1.1 on one event loop."""

import asyncio
import base64
import json
import time
import urllib.parse

STORE_ROWS_LIMIT = 500
MAX_LEASE_MS = 10000
STOP_SECONDS = 0.05


def unix_ms():
    return int(time.time() * 1000)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return method, target, headers, body


class HttpServer:
    """Serves the requests of each connection sequentially; handle() may return None to send no response."""

    def __init__(self):
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                method, target, headers, body = await read_request(reader)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(60)
                    break
                status, fields = answer
                text = json.dumps(fields).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        raise NotImplementedError


class Store(HttpServer):
    """Row store with versions and conditional transactions.

    Fault modes: None, 'busy', 'slow', 'lost' (some transactions are applied, but not answered).
    """

    def __init__(self, random):
        super().__init__()
        self.random = random
        self.rows = {}
        self.changes = []
        self.version = 1
        self.mode = None
        self.changed = asyncio.Event()

    def put(self, table, part, key, value):
        self.version += 1
        self.apply_put((table, part, key), base64.b64encode(value).decode())

    def apply_put(self, name, value):
        self.rows[name] = (value, self.version)
        self.record_change(name, {"value": value})

    def record_change(self, name, fields):
        self.changes.append((self.version, name, fields))
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def describe(name, value, version):
        return {"table": name[0], "part": name[1], "key": name[2], "value": value, "ver": version}

    async def handle(self, method, target, headers, body):
        if self.mode == "busy":
            return 503, {}
        await asyncio.sleep(0.6 if self.mode == "slow" else 0.004)
        url = urllib.parse.urlsplit(target)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, True).items()}
        if url.path == "/rows-tx":
            answer = self.commit(json.loads(body))
            return None if self.mode == "lost" and self.random.random() < 0.3 else answer
        if url.path == "/rows-get":
            return self.get(query)
        if url.path == "/rows-feed":
            return await self.feed(query)
        return 404, {}

    def commit(self, call):
        def name_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        current = [(name_of(entry), entry["ver"]) for entry in call.get("expected_rev", [])]
        if any(self.rows.get(name, ("", 0))[1] != version for name, version in current):
            rows = [self.describe(name, *self.rows.get(name, ("", 0))) for name, _ in current]
            return 412, {"rows": rows, "ver": self.version}
        self.version += 1
        for entry in call.get("puts", []):
            self.apply_put(name_of(entry), entry["value"])
        for entry in call.get("remove", []):
            if self.rows.pop(name_of(entry), None):
                self.record_change(name_of(entry), {"deleted": True})
        return 200, {"ver": self.version, "now_ms": unix_ms()}

    def get(self, query):
        names = sorted(name for name in self.rows
                       if name[:2] == (query["table"], query.get("part", "")) and name[2] >= query.get("from", "")
                       and ("target" not in query or name[2] < query["target"]))
        limit = int(query.get("limit", STORE_ROWS_LIMIT))
        rows = [self.describe(name, *self.rows[name]) for name in names[:limit]]
        return 200, {"rows": rows, "has_more": len(names) > limit, "ver": self.version, "now_ms": unix_ms()}

    async def feed(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            found = [change for change in self.changes if change[0] > after and change[1][0] == query["table"]]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                rows = [dict(self.describe(name, "", version), **fields) for version, name, fields in found]
                return 200, {"rows": rows, "ver": self.version, "now_ms": unix_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Worker(HttpServer):
    """Runs tasks under a lease and reports each start and end to the invariant checker."""

    def __init__(self, identity, zone, checker, random):
        super().__init__()
        self.identity = identity
        self.zone = zone
        self.checker = checker
        self.random = random
        self.capacity = 8000
        self.restart()

    def restart(self):
        """Starts a new incarnation that runs nothing and knows nothing of the previous one."""
        for task, run in getattr(self, "runs", {}).items():
            self.checker.on_attempt_ended(self, task, run["attempt"], "crashed")
        self.started_unix_ms = unix_ms()
        self.highest_epoch = 0
        self.runs = {}
        self.ends = []
        self.last_end_sequence = 0
        self.refused_attempts = {}
        self.lease_until = 0.0
        self.attempt_ended = asyncio.Event()

    def clock_ms(self):
        return unix_ms() - self.started_unix_ms

    def entry(self):
        return json.dumps({"service": "service", "addr": "127.0.0.1:%d" % self.listed_port, "zone": self.zone,
                           "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
                           "born": self.started_unix_ms, "labels": ["a", self.zone + "-r1"],
                           "capacity": {"cpu": self.capacity, "mem_mb": 64000, "gpu": 0}}).encode()

    def end_attempt(self, task, how):
        run = self.runs.pop(task)
        self.last_end_sequence += 1
        self.ends.append([self.last_end_sequence, task, run["attempt"], how, ""])
        self.refused_attempts[task] = max(self.refused_attempts.get(task, 0), run["attempt"])
        self.checker.on_attempt_ended(self, task, run["attempt"], how)
        self.attempt_ended.set()
        self.attempt_ended = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if now > self.lease_until:
                self.end_attempt(task, "lapsed")
            elif run["stop_at"] and now > run["stop_at"]:
                self.end_attempt(task, "stopped")
            elif run["done_at"] and now > run["done_at"]:
                self.end_attempt(task, "failed" if self.random.random() < 0.02 else "done")

    def extend_lease(self, until_ms):
        deadline = time.monotonic() + min(until_ms - self.clock_ms(), MAX_LEASE_MS) / 1000
        self.lease_until = max(self.lease_until, deadline)

    async def handle(self, method, target, headers, body):
        call = json.loads(body) if body else {}
        if headers.get("x-expect-instance", self.identity) != self.identity:
            return 421, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms}
        if call.get("fencing_token", 0) < self.highest_epoch:
            return 409, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms, "reason": "fence"}
        self.highest_epoch = max(self.highest_epoch, call.get("fencing_token", 0))
        if target == "/run-start":
            return self.start_attempt(call)
        if target == "/run-stop":
            run = self.runs.get(call["task"])
            self.refused_attempts[call["task"]] = max(self.refused_attempts.get(call["task"], 0), call["attempt"])
            if run and run["attempt"] <= call["attempt"] and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + STOP_SECONDS
        if target == "/hold":
            return await self.poll(call)
        return 200, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms}

    def start_attempt(self, call):
        task, attempt = call["task"], call["attempt"]
        known = self.runs.get(task)
        self.extend_lease(call["until_ms"])
        fields = {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms}
        if known and known["attempt"] == attempt:
            return 200, fields
        if known or attempt <= self.refused_attempts.get(task, 0):
            return 409, dict(fields, reason="old")
        if time.monotonic() > self.lease_until:
            return 409, dict(fields, reason="late")
        shape = json.loads(call["spec"])
        is_long_running = shape.get("lasts", False)
        self.runs[task] = {"attempt": attempt, "stop_at": None, "started": time.monotonic(), "cpu": shape["cpu"],
                           "ms": shape["ms"],
                           "done_at": None if is_long_running else time.monotonic() + shape["ms"] / 1000}
        self.checker.on_attempt_started(self, task, attempt)
        return 200, fields

    async def poll(self, call):
        if call.get("until_ms"):
            self.extend_lease(call["until_ms"])
        acknowledged = call.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= acknowledged:
                self.checker.on_end_acknowledged(end[1], end[3])
        self.ends = [end for end in self.ends if end[0] > acknowledged]
        if not self.ends and call.get("wait_ms"):
            try:
                await asyncio.wait_for(self.attempt_ended.wait(), min(call["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            percent = 100 if not run["done_at"] else int(
                min(99, 100 * (time.monotonic() - run["started"]) * 1000 / max(1, run["ms"])))
            running.append([task, run["attempt"], "", percent, 5 if not run["done_at"] else run["cpu"]])
        return 200, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms, "running": running,
                     "finished": self.ends[:500]}
