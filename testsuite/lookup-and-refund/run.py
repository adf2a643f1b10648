#!/usr/bin/env python3
"""The whole request path: a lookup and a refund through every node, and the refusals that occur without a fault."""
import json
import unittest

from lab import http
from lab.fleet import Fleet


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet()
        cls.addClassCleanup(cls.fleet.close)
        cls.key = cls.fleet.configuration.keys["shops"]

    def call(self, method, path, body=None, node="vm-01", key=None, **headers):
        return http.call_with_key(self.fleet.caller_port(node), key or self.key, method, path, body, **headers)

    def test_lookup_throughEachNode_isAnsweredForItsWorkspace(self):
        for node in self.fleet.nodes:
            answer = self.call("GET", "/balances/7", node=node, X_Marker=f"m-{node}")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertEqual(answer.json()["workspace"], "shops")
            self.assertEqual(answer.json()["echo"]["marker"], f"m-{node}")
            self.assertTrue(answer.server.startswith("counter-"))
            self.assertEqual(answer.headers["papayastep-request-id"], answer.json()["requestId"])

    def test_refund_sentOnce_runsOnceAtTheServerNamed(self):
        answer = self.call("POST", "/refunds", json.dumps({"action": "refund-1"}))
        self.assertEqual(answer.status, 200, answer.body)
        ran = [action for action in self.fleet.actions() if action["action"] == "refund-1"]
        self.assertEqual([action["server"] for action in ran], [answer.server])

    def test_scan_ofAMegabyte_arrivesWhole(self):
        answer = self.call("GET", "/scans/1000000")
        self.assertEqual((answer.status, len(answer.body)), (200, 1000000))

    def test_call_withAnUnknownKey_isRefusedAndNotRun(self):
        answer = self.call("POST", "/refunds", json.dumps({"action": "stolen"}), key="no-such-key")
        self.assertEqual((answer.status, answer.outcome, answer.code), (401, "not-run", "3008"))
        self.assertNotIn("stolen", [action["action"] for action in self.fleet.actions()])

    def test_call_withoutKey_isRefused(self):
        answer = http.call(self.fleet.caller_port("vm-01"), "GET", "/balances/7")
        self.assertEqual((answer.outcome, answer.code), ("not-run", "3007"))

    def test_call_toAnUnknownRoute_isRefused(self):
        answer = self.call("GET", "/nowhere")
        self.assertEqual((answer.status, answer.outcome, answer.code), (404, "not-run", "3009"))

    def test_backendServers_afterCallsWithKeys_sawNoKey(self):
        self.call("GET", "/balances/8")
        self.assertEqual(sum(record["keys_seen"] for record in self.fleet.server_records().values()), 0)

    def test_logs_afterCallsWithKeys_holdNoKeyButEachDecision(self):
        answer = self.call("GET", "/balances/9")
        logs = "".join(node.log() for node in self.fleet.nodes.values())
        self.assertNotIn(self.key, logs)
        self.assertIn(answer.headers["papayastep-request-id"], logs)


if __name__ == "__main__":
    unittest.main()
