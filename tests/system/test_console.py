"""Configuration and console with real processes: races, lost responses, outages, restarts and forms."""

import random
import threading
import unittest

from consolefleet import (TOKEN, Browser, ConsoleFleet, api, get, hidden, history, put, revision, wait_revision,
                          with_objective)
from harness import POLICY, call, wait_until

OPERATORS = 20
ROUNDS = 3
SEED = 11
FAULT_ROUNDS = 15


def accepted_once(test, console):
    """Checks that the history contains every revision from 1 on once, and each write id once."""
    entries = history(console)
    test.assertEqual([entry["revision"] for entry in entries], list(range(len(entries), 0, -1)))
    test.assertEqual(len({entry["write_id"] for entry in entries}), len(entries))
    return entries


class ConfigurationTest(unittest.TestCase):
    def test_one_of_concurrent_changes_is_accepted_and_the_others_get_the_differences(self):
        with ConsoleFleet(("console-a", "console-b")) as fleet:
            fleet.put_first()
            for round_number in range(ROUNDS):
                base = get(fleet.consoles[0]).headers["ETag"]
                barrier = threading.Barrier(OPERATORS)
                answers = [None] * OPERATORS

                def change(index):
                    text = with_objective(1000 * (round_number + 1) + index)
                    barrier.wait()
                    answers[index] = put(fleet.consoles[index % 2], text, base)

                threads = [threading.Thread(target=change, args=(index,)) for index in range(OPERATORS)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                statuses = sorted(answer.status for answer in answers)
                self.assertEqual(statuses, [200] + [412] * (OPERATORS - 1))
                winner = next(index for index in range(OPERATORS) if answers[index].status == 200)
                for index, answer in enumerate(answers):
                    if index == winner:
                        continue
                    lost = answer.json()
                    self.assertEqual([(entry["section"], entry["key"]) for entry in lost["changed_since_base"]],
                                     [("service rounds", "objective_ms")])
                    self.assertEqual(lost["wanted"][0]["after"], str(1000 * (round_number + 1) + index))
                    self.assertEqual(answer.headers["ETag"], answers[winner].headers["ETag"])
            self.assertEqual(len(accepted_once(self, fleet.consoles[0])), ROUNDS + 1)

    def test_a_lost_response_is_resolved_and_a_repeated_change_is_accepted_once(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            console = fleet.consoles[0]
            base = get(console).headers["ETag"]
            fleet.platform.fault("lose-answer", 1)
            first = put(console, with_objective(300), base, "change-1")
            again = put(console, with_objective(300), base, "change-1")
            self.assertEqual((first.status, again.status), (200, 200))
            self.assertEqual(first.json()["revision"], 2)
            self.assertEqual(again.json()["revision"], 2)
            self.assertEqual(put(console, with_objective(300), base, "change-2").status, 412)
            self.assertEqual(len(accepted_once(self, console)), 2)

    def test_an_outage_only_prevents_changes_and_new_processes_get_the_configuration_from_peers(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            console = fleet.consoles[0]
            base = get(console).headers["ETag"]
            self.assertEqual(put(console, with_objective(300), base).status, 200)
            wait_revision(console, 2)
            fleet.platform.fault("down", 1)
            read = get(console)
            self.assertEqual((read.status, read.headers["Geraniumquay-Source"]), (200, "in-force"))
            self.assertEqual(read.body.decode(), with_objective(300))
            self.assertIn(put(console, with_objective(400), read.headers["ETag"]).status, (503, 504))
            late = fleet.start_console("console-late")
            wait_revision(late, 2)
            fleet.platform.fault("down", 0)
            self.assertEqual(put(late, with_objective(500), read.headers["ETag"], "after").status, 200)
            wait_revision(console, 3)
            accepted_once(self, console)

    def test_no_process_returns_to_an_older_revision_despite_restarts_outages_and_lost_responses(self):
        source = random.Random(SEED)
        with ConsoleFleet(("console-a", "console-b", "console-c")) as fleet:
            fleet.put_first()
            for step in range(FAULT_ROUNDS):
                fleet.platform.fault("lose-answer", source.randint(0, 1))
                fleet.platform.fault("down", 1 if source.random() < 0.3 else 0)
                if source.random() < 0.4:
                    index = source.randrange(len(fleet.consoles))
                    fleet.consoles[index].kill()
                    fleet.consoles[index] = fleet.start_console("console-%d-%d" % (index, step))
                newest = max(revision(console) for console in fleet.consoles)
                before = {console: revision(console) for console in fleet.consoles}
                console = source.choice(fleet.consoles)
                read = get(console)
                if read.status == 200:
                    put(console, with_objective(1000 + step), read.headers["ETag"])
                for console in fleet.consoles:
                    self.assertGreaterEqual(revision(console), before[console])
                fleet.platform.fault("down", 0)
                for console in fleet.consoles:
                    wait_revision(console, newest)
            entries = accepted_once(self, fleet.consoles[0])
            for console in fleet.consoles:
                wait_revision(console, entries[0]["revision"])
                self.assertEqual(revision(console), entries[0]["revision"])

    def test_all_faults_are_reported_with_section_and_key(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            text = POLICY.replace("guaranteed_percent = 40", "guaranteed_percent = 70").replace(
                "default_class = normal", "default_class = vip").replace("to = abuja", "to = lagos")
            answer = put(fleet.consoles[0], text, get(fleet.consoles[0]).headers["ETag"])
            self.assertEqual(answer.status, 422)
            found = {(fault["section"], fault["key"]) for fault in answer.json()["faults"]}
            self.assertEqual(found, {("priority_class urgent", "guaranteed_percent"),
                                     ("priority_class normal", "guaranteed_percent"),
                                     ("priority_class background", "guaranteed_percent"),
                                     ("service rounds", "default_class"), ("link lagos-abuja", "to")})


class AccessTest(unittest.TestCase):
    def test_requests_need_the_operator_token_which_is_not_logged(self):
        with ConsoleFleet() as fleet:
            console = fleet.consoles[0]
            fleet.put_first()
            for target in ("/v1/configuration", "/v1/configuration/history", "/v1/members", "/v1/burn"):
                self.assertEqual(call(console.port(), "GET", target).status, 401)
                self.assertEqual(api(console, "GET", target, token=TOKEN[:-1]).status, 401)
                self.assertEqual(api(console, "GET", target).status, 200)
            self.assertEqual(call(console.port(), "PUT", "/v1/configuration", POLICY).status, 401)
            self.assertIn(b"Operator token", call(console.port(), "GET", "/").body)
            Browser(console).get("/")
            self.assertEqual(console.stop(), 0)
            self.assertNotIn(TOKEN, "".join(console.lines))

    def test_forms_of_other_sites_are_rejected(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            browser = Browser(fleet.consoles[0])
            page = browser.get("/").body.decode()
            form = {"draft": with_objective(999), "base": "1", "form_token": hidden(page, "form_token")}
            headers = {"Cookie": browser.cookie}
            self.assertEqual(browser.post("/accept", dict(form, form_token="")).status, 403)
            self.assertEqual(browser.post("/accept", form, dict(headers, Origin="http://evil.example")).status, 403)
            other = Browser(fleet.consoles[0])
            last = other.cookie[-1]
            stale = dict(headers, Cookie=other.cookie[:-1] + ("1" if last == "0" else "0"))
            self.assertNotEqual(stale["Cookie"], other.cookie)
            self.assertIn(b"Operator token", browser.post("/accept", form, stale).body)
            self.assertEqual(len(history(fleet.consoles[0])), 1)
            self.assertEqual(browser.post("/accept", form).status, 303)
            self.assertEqual(len(history(fleet.consoles[0])), 2)


class FormsTest(unittest.TestCase):
    def test_a_change_is_corrected_reviewed_and_accepted(self):
        with ConsoleFleet() as fleet:
            fleet.put_first()
            browser = Browser(fleet.consoles[0])
            page = browser.get("/").body.decode()
            form = {name: hidden(page, name) for name in ("draft", "base", "form_token")}
            form.update({"kind": "service", "section": "service rounds", "key.default_class": "vip",
                         "key.objective_ms": "300"})
            faulty = browser.post("/preview", form)
            self.assertEqual(faulty.status, 422)
            self.assertIn("aria-invalid=\"true\"", faulty.body.decode())
            self.assertIn("&#39;vip&#39; has no section", faulty.body.decode())
            form["draft"] = hidden(faulty.body.decode(), "draft")
            form["key.default_class"] = "urgent"
            review = browser.post("/preview", form).body.decode()
            self.assertIn("<td>objective_ms</td><td>250</td><td>300</td>", review)
            self.assertIn("<td>default_class</td><td>normal</td><td>urgent</td>", review)
            self.assertEqual(len(history(fleet.consoles[0])), 1)
            accept = {name: hidden(review, name) for name in ("draft", "base", "form_token", "write_id")}
            self.assertEqual(browser.post("/accept", accept).status, 303)
            self.assertEqual(browser.post("/accept", accept).status, 303)
            self.assertEqual(len(history(fleet.consoles[0])), 2)
            late = dict(accept, draft=with_objective(777), write_id="another")
            conflict = browser.post("/accept", late)
            self.assertEqual(conflict.status, 412)
            self.assertIn("<td>objective_ms</td><td>250</td><td>300</td>", conflict.body.decode())
            for path in ("/history", "/history?revision=2", "/members", "/burn"):
                self.assertEqual(browser.get(path).status, 200)

    def test_members_and_their_revisions_are_shown(self):
        with ConsoleFleet(("console-a", "console-b")) as fleet:
            fleet.put_first()
            entry = fleet.start_entry("entry-a", extra="[peer console-a]\naddress = 127.0.0.1\nport = %d\n"
                                      % fleet.consoles[0].port("peers"))
            entry.wait_ready()

            def known():
                members = api(fleet.consoles[1], "GET", "/v1/members").json()["members"]
                return {(member["name"], member["state"], member["revision"]) for member in members}

            wanted = {("console-a/console", "alive", 1), ("console-b/console", "alive", 1),
                      ("entry-a/entry", "alive", 1)}
            wait_until(lambda: known() == wanted, "the console knows all members")


if __name__ == "__main__":
    unittest.main()
