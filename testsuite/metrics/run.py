#!/usr/bin/env python3
"""Each metric family on the admin address counts its events, with no workspace, key or request in a label."""
import json
import os
import re
import signal
import unittest

from lab import http
from lab.fleet import Fleet
from lab.processes import wait_until


class MetricsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.names = list(cls.fleet.nodes)
        cls.service = cls.fleet.configuration.servers[0]["service"]

    def call(self, method, path, body=None, node=0, key=None):
        key = key or self.fleet.configuration.keys["shops"]
        return http.call_with_key(self.fleet.caller_port(self.names[node]), key, method, path, body)

    def total(self, family, node=None, **labels):
        """Returns the sum of a family's samples with these labels, of one node or of all."""
        wanted = [f'{name}="{value}"' for name, value in labels.items()]
        names = [self.names[node]] if node is not None else self.names
        return sum(value for name in names for sample, value in self.fleet.metrics(name).items()
                   if sample.split("{")[0] == f"papayastep_{family}" and all(label in sample for label in wanted))

    def grown(self, play, family, **where):
        before = self.total(family, **where)
        play()
        return self.total(family, **where) - before

    def test_lookup_answered_isCountedAtBothEndsOfItsHop(self):
        def lookup():
            self.assertEqual(self.call("GET", "/balances/7").status, 200)
        self.assertEqual(self.grown(lookup, "requests_total", node=0, outcome="answered", kind="idempotent", code="0",
                                    service=self.service), 1)
        self.assertEqual(self.grown(lookup, "request_seconds_count", node=0, outcome="answered"), 1)
        self.assertEqual(self.grown(lookup, "placements_total", node=0), 1)
        self.assertEqual(self.grown(lookup, "attempts_total", node=0, event="complete"), 1)
        self.assertEqual(self.grown(lookup, "retry_decisions_total", node=0, action="answer-caller"), 1)
        self.assertEqual(self.grown(lookup, "served_attempts_total", outcome="success"), 1)
        self.assertEqual(self.grown(lookup, "queue_wait_seconds_count", service=self.service), 1)
        self.assertEqual(self.grown(lookup, "slot_held_seconds_count", service=self.service), 1)
        self.assertEqual(self.grown(lookup, "tokens_admitted_total", node=0), 1)

    def test_refund_answered_isOfTheOtherKind(self):
        def refund():
            self.assertEqual(self.call("POST", "/refunds", json.dumps({"action": "counted"})).status, 200)
        self.assertEqual(self.grown(refund, "requests_total", node=0, kind="other", outcome="answered"), 1)

    def test_callerRefused_isCountedByCode(self):
        self.assertEqual(self.grown(lambda: self.call("GET", "/balances/7", key="nobody's"), "requests_total", node=0,
                                    outcome="not-run", code="3008", service="none"), 1)

    def test_lookup_thatFailsOnce_isCountedAsARetry(self):
        servers = [server["id"] for server in self.fleet.configuration.servers]
        for server in servers:
            self.fleet.server_fault(server, "errors")
        self.addCleanup(lambda: [self.fleet.server_fault(server, "none") for server in servers])

        def lookup():
            self.call("GET", "/balances/7")
        # The entry decides on a retry, and the node beside the server that accepts it counts it.
        decided = self.total("retry_decisions_total", node=0, action="retry-elsewhere")
        spent = self.grown(lookup, "retries_spent_total")
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, self.total("retry_decisions_total", node=0, action="retry-elsewhere") - decided)
        self.assertGreater(self.grown(lookup, "served_attempts_total", outcome="error"), 0)
        self.assertGreater(self.grown(lookup, "retry_decisions_total", node=0, action="retry-elsewhere"), 0)
        self.assertGreater(self.total("retry_budget_left", service=self.service), 0)
        wait_until(lambda: lookup() or self.total("server_holds_total", evidence="failed") > 0, 10, "a held server")

    def test_idleNode_showsItsSlotsItsNewsAndItsPlatform(self):
        slots = sum(server["slots"] for server in self.fleet.configuration.servers)
        self.assertEqual(self.total("slots", service=self.service), slots)
        self.assertEqual(self.total("slots_in_use"), 0)
        self.assertEqual(self.total("configuration_revision", node=0), self.fleet.revision)
        self.assertGreaterEqual(self.total("configuration_news_age_seconds", node=0), 0)
        self.assertGreater(self.total("platform_calls_total", call="configuration", answer="ok"), 0)
        self.assertGreater(self.total("platform_call_seconds_total", call="configuration", answer="ok"), 0)
        self.assertGreater(self.total("log_bytes_written_total", node=0), 0)

    def test_changedSettings_takenOrWrong_areCounted(self):
        path = self.fleet.path(f"{self.names[1]}.json")
        with open(path, encoding="utf-8") as file:
            good = file.read()
        for text, result in ((good.replace("{", '{"drainTimeoutMs": 9000,', 1), "taken"), ("{", "kept")):
            with self.subTest(result=result):
                # Replaced atomically: a node that reads a partial file correctly counts that file, too.
                with open(path + ".new", "w", encoding="utf-8") as file:
                    file.write(text)
                os.replace(path + ".new", path)
                self.fleet.nodes[self.names[1]].send(signal.SIGHUP)
                wait_until(lambda: self.total("settings_reloads_total", node=1, result=result) == 1, 10, result)

    def test_labels_ofAllFamilies_nameNoWorkspaceKeyOrRequest(self):
        self.call("GET", "/balances/7")
        labels = {label for name in self.names for sample in self.fleet.metrics(name)
                  for label in re.findall(r'([a-z_]+)="', sample)}
        self.assertLessEqual(labels, {"service", "kind", "outcome", "code", "event", "action", "reason", "evidence",
                                      "answer", "call", "budget", "result", "le", "purpose", "zone"})


if __name__ == "__main__":
    unittest.main()
