"""Starts stand-ins and daemons as separate processes and sends HTTP requests to them.

The operating system chooses the ports, which are read from the log of each process.
"""

import http.client
import json
import os
import signal
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("GQ_BUILD", os.path.join(ROOT, "build"))
WAIT_SECONDS = 30.0
TOKEN = "correct-horse-battery-staple"

POLICY = """\
[priority_class urgent]
rank = 0
guaranteed_percent = 40
ceiling_percent = 80
[priority_class normal]
rank = 1
guaranteed_percent = 30
[priority_class background]
rank = 2
guaranteed_percent = 10
ceiling_percent = 60
[service rounds]
default_class = normal
objective_ms = 250
[team planning]
processors = 400
memory_mb = 2000000
[link lagos-abuja]
from = lagos
to = abuja
megabits = 30
"""


class Answer:
    """An HTTP response."""

    def __init__(self, response, body):
        self.status = response.status
        self.headers = response.headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("Geraniumquay-Outcome")


def call(port, method, target, body=None, headers=None, timeout=WAIT_SECONDS):
    """Sends a request to a local port and returns the Answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, target, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response, response.read())
    finally:
        connection.close()


def wait_until(condition, what, seconds=WAIT_SECONDS):
    """Waits for a condition. The limit is so generous that exceeding it means a fault and not a slow machine."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError("not within %.0f s: %s" % (seconds, what))


class Process:
    """A running process whose log lines are read continuously."""

    def __init__(self, name, program, arguments, prefix=()):
        self.name = name
        self.lines = []
        self.ports = {}
        command = [*prefix, os.path.join(BUILD, program), *arguments]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self):
        for line in self.process.stdout:
            self.lines.append(line)
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get("event") == "listening":
                self.ports[event["name"]] = int(event["port"])

    def port(self, name="main"):
        wait_until(lambda: name in self.ports or self.process.poll() is not None, "%s listens on %s" % (self.name, name))
        if name not in self.ports:
            raise AssertionError("%s ended: %s" % (self.name, "".join(self.lines)))
        return self.ports[name]

    def call(self, method, target, body=None, headers=None, port="main"):
        return call(self.port(port), method, target, body, headers)

    def fault(self, name, value):
        assert self.call("POST", "/fault?name=%s&value=%d" % (name, value)).status == 200

    def is_ready(self):
        return self.call("GET", "/readyz", port="administration").status == 200

    def wait_ready(self):
        wait_until(self.is_ready, self.name + " is ready")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        return self.process.wait(WAIT_SECONDS)

    def pause(self):
        self.process.send_signal(signal.SIGSTOP)

    def resume(self):
        self.process.send_signal(signal.SIGCONT)

    def stop(self):
        """Stops the process gracefully and returns its exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(WAIT_SECONDS)


class Fleet:
    """All processes of a test; a context manager that kills them at the end."""

    def __init__(self):
        self.processes = []
        self.folder = tempfile.TemporaryDirectory()
        self.vms = []
        self.platform = None
        self.console = None
        self.prefix = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.process.poll() is None:
                process.resume()
                process.process.kill()
                process.process.wait()
        self.folder.cleanup()

    def start(self, name, program, arguments):
        process = Process(name, program, arguments, self.prefix.get(os.path.basename(program), ()))
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.start("platform", "tests/standins/standin-platform", ["--port", "0"])
        return self.platform

    def start_backend(self, name, domain="lagos-a", region="lagos", service="rounds", slots=8):
        backend = self.start(name, "tests/standins/standin-backend", ["--port", "0"])
        backend.fault("slots", slots)
        self.vms.append({"name": name, "role": "VM_ROLE_BACKEND", "address": "127.0.0.1", "port": backend.port(),
                         "region": region, "domain": domain, "service": service, "slots": slots, "connections": 64})
        return backend

    def publish_vms(self):
        assert self.platform.call("PUT", "/vms", json.dumps({"vms": self.vms})).status == 200

    def settings(self, name, domain, region, extra=""):
        path = os.path.join(self.folder.name, name + ".ini")
        text = "[node]\nname = %s\ndomain = %s\nregion = %s\n[platform]\naddress = 127.0.0.1\nport = %d\npoll_ms = 100\n%s" % (
            name, domain, region, self.platform.port(), extra)
        with open(path, "w", encoding="utf-8") as stream:
            stream.write(text)
        return path

    def start_daemon(self, program, name, domain="lagos-a", region="lagos", extra=""):
        path = self.settings(name, domain, region, extra)
        return self.start(name, "src/app/%s/%s" % (program, program), ["--config", path])

    def start_entry(self, name, domain="lagos-a", region="lagos", extra="", listed=True):
        entry = self.start_daemon("gqentryd", name, domain, region, extra)
        if listed:
            self.vms.append({"name": name, "role": "VM_ROLE_ENTRY", "address": "127.0.0.1", "port": entry.port(),
                             "peer_port": entry.port("peers"), "region": region, "domain": domain})
        return entry

    def start_worker(self, name, domain="lagos-a", region="lagos", rack="rack-1", processors=4):
        worker = self.start(name, "tests/standins/standin-worker", ["--port", "0"])
        self.vms.append({"name": name, "role": "VM_ROLE_WORKER", "address": "127.0.0.1", "port": worker.port(),
                         "region": region, "domain": domain, "rack": rack, "processors": processors,
                         "memory_mb": 16000})
        return worker

    def start_console(self, name, domain="lagos-a", region="lagos", extra=""):
        token_file = os.path.join(self.folder.name, "token")
        with open(token_file, "w", encoding="utf-8") as stream:
            stream.write(TOKEN + "\n")
        extra += "[security]\noperator_token_file = %s\n" % token_file
        self.console = self.start_daemon("gqconsoled", name, domain, region, extra)
        return self.console

    def put_policy(self, text):
        """Submits the first policy through a console."""
        console = self.console or self.start_console("console-1")
        answer = console.call("PUT", "/v1/configuration", text, {"Authorization": "Bearer " + TOKEN})
        assert answer.status == 200, answer.body
