"""Clients of the soak test: single requests, and connections that are used until the node is gone."""

import asyncio
import json
import time

# The users' bound for a request whose connection is broken off although the node was only told to stop.
LOSS_SLACK_SECONDS = 0.2
CALM_SECONDS = 4.0
ANSWER_SLACK_SECONDS = 1.5
REFUSALS = (429, 503, 504)


def encode_request(method, path, body, seconds, least_bytes=0):
    text = json.dumps(body).encode().ljust(least_bytes) if body is not None else b""
    return ("%s %s HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n"
            % (method, path, int(seconds * 1000), len(text))).encode() + text


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                   if line.lower().startswith("content-length")), 0)
    answer = await reader.readexactly(length)
    return int(head.split(" ")[1]), json.loads(answer or b"{}"), "connection: close" in head.lower()


async def call(port, method, path, body=None, seconds=3.0, pause=0.0, least_bytes=0):
    """Sends one request on a new connection, in two halves if `pause` is not 0. Returns status and body; status 0
    without a complete response."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        data = encode_request(method, path, body, seconds, least_bytes)
        writer.write(data[:len(data) // 2])
        await asyncio.sleep(pause)
        writer.write(data[len(data) // 2:])
        return await read_answer(reader)
    try:
        status, fields, _ = await asyncio.wait_for(exchange(), seconds)
        return status, fields
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return 0, {}
    finally:
        if writer:
            writer.close()


class ConnectionClient:
    """Sends requests of different kinds one after the other on one connection, and checks that each answer is
    complete and of the kind of its request."""

    def __init__(self, soak, number):
        self.soak = soak
        self.random = soak.random
        self.number = number
        self.reader = None
        self.writer = None
        self.is_closing = False

    async def run(self, deadline):
        while time.monotonic() < deadline:
            node = self.random.choice(self.soak.nodes)
            try:
                self.reader, self.writer = await asyncio.open_connection("127.0.0.1", node.callers_port)
            except OSError:
                await asyncio.sleep(0.3)
                continue
            self.is_closing = False
            try:
                while time.monotonic() < deadline and not self.is_closing and await self.send_request(node):
                    is_idle = self.random.random() < 0.2
                    await asyncio.sleep(self.random.uniform(1, 6) if is_idle else self.random.uniform(0, 0.3))
            finally:
                self.writer.close()

    def choose_request(self):
        """Returns method, path, body, and a function that tells whether an answer can belong to the request."""
        known = self.soak.recent_jobs()
        kinds = ["pending", "unknown queue", "no identifier", "unknown job", "submit"] + ["known job"] * 3
        kind = self.random.choice(kinds)
        if kind == "known job" and known:
            job = self.random.choice(known)
            return "GET", "/jobs/" + job, None, lambda status, fields: (
                status == 200 and "state" in fields or status == 410 and not self.soak.is_calm(CALM_SECONDS))
        if kind == "unknown queue":
            return "GET", "/none/%016x" % self.random.getrandbits(64), None, lambda status, fields: status == 404
        if kind == "no identifier":
            return "DELETE", "/jobs/", None, lambda status, fields: status == 400
        if kind == "unknown job":
            return ("GET", "/jobs/%016x" % self.random.getrandbits(64), None,
                    lambda status, fields: status == 410 and "state" not in fields)
        if kind == "submit":
            job = self.soak.make_job(is_long_running=False, is_big=self.random.random() < 0.1)
            return ("POST", "/jobs/" + job.name, job.body,
                    lambda status, fields: status == 200 and not fields and self.soak.on_accepted(job))
        return "GET", "/jobs/", None, lambda status, fields: status == 200 and "pending" in fields

    async def send_request(self, node):
        """Returns whether the connection can be used further."""
        if self.reader.at_eof():
            return False
        if self.reader._buffer:  # pylint: disable=protected-access
            self.report(node, "got bytes without a request: %r" % bytes(self.reader._buffer[:100]))
            return False
        method, path, body, is_answer = self.choose_request()
        seconds = 3.0
        sent_at = time.monotonic()
        # Answers are told from each other by kind, not by content, so one that came too late would be seen here.
        try:
            self.writer.write(encode_request(method, path, body, seconds))
            answer = await asyncio.wait_for(read_answer(self.reader), seconds + ANSWER_SLACK_SECONDS)
        except asyncio.TimeoutError:
            if self.soak.is_calm(seconds + ANSWER_SLACK_SECONDS + CALM_SECONDS):
                self.report(node, "%s %s has no answer after %.1f s" % (method, path, time.monotonic() - sent_at))
            return False
        except (OSError, asyncio.IncompleteReadError) as error:
            self.on_broken(node, method, path, sent_at, getattr(error, "partial", b""))
            return False
        except ValueError as error:
            self.report(node, "the answer to %s %s cannot be read: %s" % (method, path, error))
            return False
        status, fields, self.is_closing = answer
        self.soak.answer_count += 1
        is_refusal = status in REFUSALS and "error" in fields and "state" not in fields and "pending" not in fields
        if not is_refusal and not is_answer(status, fields):
            self.report(node, "%s %s is answered %d %s" % (method, path, status, json.dumps(fields)[:200]))
        return True

    def on_broken(self, node, method, path, sent_at, partial):
        took = time.monotonic() - sent_at
        self.soak.broken_count += 1
        is_near_fault = self.soak.unplanned.calm_seconds() < took + CALM_SECONDS
        if (partial or took > LOSS_SLACK_SECONDS) and not is_near_fault:
            self.report(node, "%s %s is broken off after %.2f s, with %d bytes of the answer"
                        % (method, path, took, len(partial)))

    def report(self, node, text):
        self.soak.checker.report_violation("connection %d to %s: %s" % (self.number, node.name, text))
