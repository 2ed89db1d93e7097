"""A fleet with a platform stand-in, entry daemons and consoles, for tests of the configuration."""

import html
import os
import re
import urllib.parse

from harness import POLICY, Fleet, call, wait_until

TOKEN = "correct-horse-battery-staple"


class ConsoleFleet(Fleet):
    """Starts consoles that are peers of each other; put_first() submits a first policy."""

    def __init__(self, consoles=("console-a",)):
        super().__init__()
        self.token_file = os.path.join(self.folder.name, "token")
        with open(self.token_file, "w", encoding="utf-8") as stream:
            stream.write(TOKEN + "\n")
        self.start_platform()
        self.publish_vms()
        self.consoles = [self.start_console(name) for name in consoles]

    def start_console(self, name, domain="lagos-a", extra=""):
        peers = "".join("[peer %s]\naddress = 127.0.0.1\nport = %d\n" % (other.name, other.port("peers"))
                        for other in self.processes if "peers" in other.ports)
        extra += "[security]\noperator_token_file = %s\n%s" % (self.token_file, peers)
        console = self.start_daemon("gqconsoled", name, domain, extra=extra)
        console.port("peers")
        console.port("main")
        return console

    def put_first(self):
        assert put(self.consoles[0], POLICY).status == 200
        for console in self.consoles:
            console.wait_ready()


def api(console, method, target, body=None, headers=None, token=TOKEN):
    return call(console.port(), method, target, body, dict(headers or {}, Authorization="Bearer " + token))


def put(console, text, tag=None, key=None):
    headers = {}
    if tag:
        headers["If-Match"] = tag
    if key:
        headers["Idempotency-Key"] = key
    return api(console, "PUT", "/v1/configuration", text, headers)


def get(console):
    return api(console, "GET", "/v1/configuration")


def history(console):
    return api(console, "GET", "/v1/configuration/history?limit=200").json()["history"]


def revision(process):
    """Returns the revision in force at a daemon."""
    body = process.call("GET", "/metrics", port="administration").body.decode()
    return int(re.search(r"geraniumquay_configuration_revision (\d+)", body).group(1))


def with_objective(milliseconds):
    return POLICY.replace("objective_ms = 250", "objective_ms = %d" % milliseconds)


def wait_revision(process, wanted):
    wait_until(lambda: revision(process) >= wanted, "%s has revision %d in force" % (process.name, wanted))


class Browser:
    """Signs in and submits forms like a browser."""

    def __init__(self, console):
        self.port = console.port()
        answer = self.post("/login", {"token": TOKEN}, {})
        self.cookie = answer.headers["Set-Cookie"].split(";")[0]

    def get(self, path):
        return call(self.port, "GET", path, headers={"Cookie": self.cookie})

    def post(self, path, fields, headers=None):
        headers = {"Cookie": self.cookie} if headers is None else headers
        headers = dict(headers, **{"Content-Type": "application/x-www-form-urlencoded"})
        return call(self.port, "POST", path, urllib.parse.urlencode(fields), headers)


def hidden(page, name):
    """Returns the value of the first hidden input with the given name."""
    return html.unescape(re.search(r'name="%s" value="([^"]*)"' % name, page).group(1))
