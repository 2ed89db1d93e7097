"""Stand-in platform for the soak test: a row store and workers that serve HTTP/1.1 on one event loop."""

import asyncio
import base64
import bisect
import json
import time
import urllib.parse

STORE_ROWS_LIMIT = 500
STOP_SECONDS = 0.05
DRAIN_MS = 2500
BASE_CAPACITY = 8000
# Time after which a capacity that has shrunk counts: the users' contact_ms and one heartbeat interval.
CAPACITY_NOTICE_SECONDS = 4.0 + 1.5
# Time from the start of a task that crashes workers to the crash.
CRASH_SECONDS = 0.01
# Shares of the starts that an unhealthy worker rejects, and carries out but does not answer.
REJECTED_SHARE = 0.2
UNANSWERED_SHARE = 0.2
# Time after which a long-running task fails on a worker that fails what it starts.
FAILURE_MS = 300
MAX_CONNECTIONS = 4096


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

    def __init__(self, connections=None):
        self.server = None
        self.port = 0
        self.writers = set()
        self.connections = connections  # How connections end; None: with the process.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=MAX_CONNECTIONS)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Closes the port and breaks all connections."""
        self.server.close()
        self.break_connections()

    def break_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        connections, answer_count, is_last = self.connections, 0, False
        try:
            while not is_last:
                request = read_request(reader)
                if connections and connections.idle_seconds:
                    request = asyncio.wait_for(request, connections.idle_seconds)
                method, target, headers, body = await request
                if writer.transport.is_closing():
                    break
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(60)
                    break
                status, fields = answer
                text = json.dumps(fields).encode()
                answer_count += 1
                is_last = connections is not None and connections.is_last_answer(answer_count)
                notice = b"Connection: close\r\n" if is_last and connections.announces_close else b""
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n"
                             % (status, notice, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.TimeoutError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
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
        self.partitions = {}  # (table, partition) -> key -> (value, version)
        self.changes = {}  # table -> list of (version, name, fields), ordered by version
        self.changed = {}  # table -> event that is set at its next change
        self.version = 1
        self.mode = None

    def put(self, table, part, key, value):
        self.version += 1
        self.apply_put((table, part, key), base64.b64encode(value).decode())

    def remove(self, table, part, key):
        self.version += 1
        self.apply_removal((table, part, key))

    def row(self, name):
        return self.partitions.get(name[:2], {}).get(name[2], ("", 0))

    def apply_put(self, name, value):
        self.partitions.setdefault(name[:2], {})[name[2]] = (value, self.version)
        self.record_change(name, {"value": value})

    def apply_removal(self, name):
        if self.partitions.get(name[:2], {}).pop(name[2], None):
            self.record_change(name, {"deleted": True})

    def record_change(self, name, fields):
        self.changes.setdefault(name[0], []).append((self.version, name, fields))
        self.changed.pop(name[0], asyncio.Event()).set()

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
        if any(self.row(name)[1] != version for name, version in current):
            return 412, {"rows": [self.describe(name, *self.row(name)) for name, _ in current], "ver": self.version}
        self.version += 1
        for entry in call.get("puts", []):
            self.apply_put(name_of(entry), entry["value"])
        for entry in call.get("remove", []):
            self.apply_removal(name_of(entry))
        return 200, {"ver": self.version, "now_ms": unix_ms()}

    def get(self, query):
        partition = (query["table"], query.get("part", ""))
        rows = self.partitions.get(partition, {})
        keys = sorted(key for key in rows
                      if key >= query.get("from", "") and ("target" not in query or key < query["target"]))
        limit = int(query.get("limit", STORE_ROWS_LIMIT))
        return 200, {"rows": [self.describe(partition + (key,), *rows[key]) for key in keys[:limit]],
                     "has_more": len(keys) > limit, "ver": self.version, "now_ms": unix_ms()}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            changes = self.changes.setdefault(table, [])
            found = changes[bisect.bisect_right(changes, after, key=lambda change: change[0]):]
            remaining = deadline - time.monotonic()
            if found or remaining <= 0:
                rows = [dict(self.describe(name, "", version), **fields) for version, name, fields in found]
                return 200, {"rows": rows, "ver": self.version, "now_ms": unix_ms()}
            try:
                await asyncio.wait_for(self.changed.setdefault(table, asyncio.Event()).wait(), remaining)
            except asyncio.TimeoutError:
                pass


class Worker(HttpServer):
    """Runs tasks under a lease and reports each start and end to the invariant checker."""

    def __init__(self, identity, zone, rack, checker, random, lease_limit_ms, connections, clock_rate=1.0,
                 end_seconds=STOP_SECONDS):
        super().__init__(connections)
        self.late_calls = set()
        self.lease_limit_ms = lease_limit_ms
        self.clock_rate = clock_rate
        self.end_seconds = end_seconds  # Time that a run takes to end once it is stopped or its lease is over.
        self.identity = identity
        self.zone = zone
        self.rack = rack
        self.checker = checker
        self.random = random
        self.capacity = BASE_CAPACITY
        self.listed_capacity = BASE_CAPACITY
        self.capacity_changes = []  # (time, capacity until then)
        self.crash = None  # Called when a task crashes the worker.
        self.is_down = False
        self.is_silent = False
        self.health = None  # Random numbers while it answers only a part of the starts.
        self.active_failures = 0  # Times, which may overlap, in which it fails what it starts.
        self.is_cut_off = False  # It runs on, but neither the nodes nor the store are in touch with it.
        self.proxy = None
        self.is_listed = False
        self.listed_since = 0.0
        self.is_replaced = False  # It drains, or will soon.
        self.is_gone = False
        self.drains_since = None  # Time at which the store accepted the report that the worker drains.
        self.free_samples = []  # (time, processors that were free all the time since the sample before)
        self.lowest_free = 0
        self.restart()

    def restart(self):
        """Starts a new incarnation that runs nothing and knows nothing of the previous one."""
        if not self.connections.outlives_process:
            self.break_connections()
        self.end_runs("crashed")
        self.started_unix_ms = unix_ms()
        self.highest_epoch = 0
        self.runs = {}
        self.ends = []
        self.last_end_sequence = 0
        self.refused_attempts = {}
        self.lease_until = 0.0
        self.lapsed_at = 0.0  # Latest time at which the lease is known to have been over.
        self.end_times = {}  # sequence of an end that was not acknowledged -> its time
        self.attempt_ended = asyncio.Event()

    def end_runs(self, how):
        """Ends all runs at once, without listing their ends."""
        for task, run in getattr(self, "runs", {}).items():
            self.checker.on_attempt_ended(self, task, run["attempt"], how)

    def clock_ms(self):
        return int((unix_ms() - self.started_unix_ms) * self.clock_rate)

    def set_capacity(self, capacity):
        self.capacity_changes.append((time.monotonic(), self.capacity))
        self.capacity = capacity
        self.lowest_free = min(self.lowest_free, self.free_processors())

    def largest_recent_capacity(self):
        since = time.monotonic() - CAPACITY_NOTICE_SECONDS
        return max([self.capacity] + [capacity for at, capacity in self.capacity_changes if at >= since])

    def entry(self):
        self.listed_capacity = self.capacity
        fields = {"service": "service", "addr": "127.0.0.1:%d" % self.proxy.port, "zone": self.zone,
                  "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1,
                  "born": self.started_unix_ms, "labels": ["a", self.rack],
                  "capacity": {"cpu": self.capacity, "mem_mb": 64000, "gpu": 0}}
        if self.drains_since is not None:
            fields["state"] = "draining"
            fields["drain_remaining_ms"] = max(0, DRAIN_MS - int((time.monotonic() - self.drains_since) * 1000))
        return json.dumps(fields).encode()

    def leave(self):
        """Closes the port and ends all runs; nothing of it is reported to a caller any more."""
        self.is_gone = True
        self.restart()
        self.close()

    def free_processors(self):
        """Returns the processors that a node which knows the worker's entry can use."""
        return min(self.capacity, self.listed_capacity) - sum(run["cpu"] for run in self.runs.values())

    def sample_room(self, now, settle_seconds, kept_seconds):
        """Records the room that new tasks could have used: none while nodes need not know of the worker yet."""
        is_usable = (self.is_listed and not self.is_down and not self.is_cut_off and not self.active_failures
                     and now - self.listed_since >= settle_seconds and not self.is_replaced
                     and self.proxy.mode is None and (unix_ms() - self.started_unix_ms) / 1000 >= settle_seconds)
        self.free_samples.append((now, self.lowest_free if is_usable else 0))
        self.lowest_free = self.free_processors()
        while self.free_samples[0][0] < now - kept_seconds:
            self.free_samples.pop(0)

    def room_for(self, now, seconds):
        """Returns the processors that were free without a break for that time; 0 without samples of all of it."""
        samples = [free for at, free in self.free_samples if at >= now - seconds]
        return min(samples) if samples and self.free_samples[0][0] <= now - seconds + 1 else 0

    def end_attempt(self, task, how):
        run = self.runs.pop(task)
        self.last_end_sequence += 1
        self.ends.append([self.last_end_sequence, task, run["attempt"], how, ""])
        self.end_times[self.last_end_sequence] = time.monotonic()
        self.refused_attempts[task] = max(self.refused_attempts.get(task, 0), run["attempt"])
        self.checker.on_attempt_ended(self, task, run["attempt"], how)
        self.attempt_ended.set()
        self.attempt_ended = asyncio.Event()

    def tick(self):
        now = time.monotonic()
        for task, run in list(self.runs.items()):
            if now > self.lease_until and run["lapse_at"] is None:
                run["lapse_at"] = self.lease_until + self.end_seconds
            if run["lapse_at"] and now > run["lapse_at"]:
                self.end_attempt(task, "lapsed")
            elif run["stop_at"] and now > run["stop_at"]:
                self.end_attempt(task, "stopped")
            elif run["done_at"] and now > run["done_at"]:
                self.end_attempt(task, "failed" if run["fails"] or self.random.random() < 0.02 else "done")

    def extend_lease(self, until_ms):
        if time.monotonic() > self.lease_until:
            self.lapsed_at = time.monotonic()
        deadline = time.monotonic() + min(until_ms - self.clock_ms(), self.lease_limit_ms) / 1000 / self.clock_rate
        self.lease_until = max(self.lease_until, deadline)

    def repeat_later(self, delay, method, target, headers, body):
        async def carry_out():
            await asyncio.sleep(delay)
            if not self.is_silent and not self.is_gone:
                await self.handle(method, target, headers, body)
        task = asyncio.ensure_future(carry_out())
        self.late_calls.add(task)
        task.add_done_callback(self.late_calls.discard)

    async def handle(self, method, target, headers, body):
        while self.connections.holds_calls and self.is_silent and not self.is_gone:
            await asyncio.sleep(0.01)
        if self.is_silent and target in ("/run-start", "/hold"):
            delay = self.connections.draw_delay()
            if delay is not None:
                self.repeat_later(delay, method, target, headers, body)
        if self.is_gone or self.is_silent:
            return None
        call = json.loads(body) if body else {}
        if headers.get("x-expect-instance", self.identity) != self.identity:
            return 421, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms}
        if call.get("fencing_token", 0) < self.highest_epoch:
            return 409, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms, "reason": "fence"}
        self.highest_epoch = max(self.highest_epoch, call.get("fencing_token", 0))
        if target == "/run-start":
            return self.start_unhealthily(call) if self.health else self.start_attempt(call)
        if target == "/run-stop":
            run = self.runs.get(call["task"])
            self.refused_attempts[call["task"]] = max(self.refused_attempts.get(call["task"], 0), call["attempt"])
            if run and run["attempt"] <= call["attempt"] and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + self.end_seconds
        if target == "/hold":
            return await self.poll(call)
        return 200, {"wall_clock_ms": self.clock_ms(), "born": self.started_unix_ms}

    def start_unhealthily(self, call):
        """Raises ConnectionResetError, which ends the connection, for a start that gets no answer."""
        draw = self.health.random()
        if draw < REJECTED_SHARE:
            return 503, {}
        answer = self.start_attempt(call)
        if draw < REJECTED_SHARE + UNANSWERED_SHARE:
            raise ConnectionResetError
        return answer

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
        position = task.split(".", 2)[2]
        is_deadly = shape.get("deadly") == position
        fails = self.active_failures > 0 or shape.get("hopeless") == position
        run_ms = FAILURE_MS if fails and is_long_running else shape["ms"]
        self.runs[task] = {"attempt": attempt, "stop_at": None, "lapse_at": None, "started": time.monotonic(), "cpu": shape["cpu"],
                           "ms": run_ms, "is_deadly": is_deadly, "fails": fails,
                           "done_at": None if is_long_running and not fails else time.monotonic() + run_ms / 1000}
        self.lowest_free = min(self.lowest_free, self.free_processors())
        self.checker.on_attempt_started(self, task, attempt)
        if is_deadly:
            asyncio.get_running_loop().call_later(CRASH_SECONDS, self.crash, self)
            if shape["is_unanswered"]:
                return None
        return 200, fields

    async def poll(self, call):
        if time.monotonic() > self.lease_until:
            self.lapsed_at = time.monotonic()
        if call.get("until_ms"):
            self.extend_lease(call["until_ms"])
        acknowledged = call.get("ack_cursor", 0)
        for end in self.ends:
            if end[0] <= acknowledged:
                # The rule on second runs does not hold for an end that is acknowledged after the lease has lapsed.
                if self.lapsed_at < self.end_times.pop(end[0]):
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
