#!/usr/bin/env python3
"""Callers repeat a refund with the same Idempotency-Key through other nodes: it runs at most once."""
import json
import threading
import unittest

from lab import http, ports
from lab.fleet import Fleet


class RefundTest(unittest.TestCase):
    PROXIED = False

    def setUp(self):
        self.fleet = Fleet(proxied=self.PROXIED)
        self.addCleanup(self.fleet.close)

    def refund(self, node, key, action="refund", timeout=10):
        return http.call_with_key(self.fleet.caller_port(node), self.fleet.configuration.keys["shops"], "POST",
                                  "/refunds", json.dumps({"action": action}), timeout, Idempotency_Key=key)

    def runs(self, action="refund"):
        return sum(found["action"] == action for found in self.fleet.actions())


class RepeatTest(RefundTest):
    def test_refund_repeatedThroughOtherNodes_isAnsweredFromTheFirstRun(self):
        # The caller's connection broke after the refund was paid, and the caller retries at the next known address.
        answers = [self.refund(node, "till-1") for node in self.fleet.nodes]
        self.assertEqual([answer.status for answer in answers], 3 * [200])
        self.assertEqual(len({answer.body for answer in answers}), 1)
        self.assertEqual(self.runs(), 1)

    def test_refund_sentThroughAllNodesAtOnce_runsOnce(self):
        answers = []
        threads = [threading.Thread(target=lambda name=name: answers.append(self.refund(name, "till-2")))
                   for name in 4 * list(self.fleet.nodes)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.runs(), 1)
        self.assertIn(200, [answer.status for answer in answers])

    def test_key_usedAgainForAnotherRefund_isRefused(self):
        # If a caller restarts its key counter at one after each start, a different refund gets a used key and would be
        # dropped without notice.
        self.assertEqual(self.refund("vm-01", "till-3").status, 200)
        answer = self.refund("vm-02", "till-3", action="another")
        self.assertEqual((answer.outcome, answer.code), ("not-run", "3019"))
        self.assertEqual(self.runs("another"), 0)

    def test_refund_whoseServerNeverAnswers_isNotRunAgain(self):
        # Every server stops responding, before or after it paid. Which of them cannot be known, so no repeat may run.
        for server in self.fleet.configuration.servers:
            self.fleet.server_fault(server["id"], "hang")
        first = self.refund("vm-01", "till-4", timeout=20)
        for server in self.fleet.configuration.servers:
            self.fleet.server_fault(server["id"], "none")
        self.assertEqual(first.outcome, "unknown")
        repeats = [self.refund(node, "till-4") for node in self.fleet.nodes]
        self.assertNotIn(200, [answer.status for answer in repeats])
        self.assertLessEqual(self.runs(), 1)


class LatePeersTest(RefundTest):
    PROXIED = True

    def test_refund_repeatedAtItsHomeAtOnce_isAnsweredFromTheFirstRun(self):
        # The caller has the answer and immediately repeats the refund through the node that holds the key's record.
        # Messages between nodes are slow, so the repeat arrives before the report that the first run ended.
        for index in range(len(self.fleet.nodes)):
            self.fleet.link_fault(ports.PEER_LINK, index, delayMs=100)
        for number in range(8):  # Each node holds the records of some of these keys.
            with self.subTest(key=number):
                answers = [self.refund(node, f"late-{number}", f"late-{number}") for node in self.fleet.nodes]
                self.assertEqual([(answer.status, answer.code) for answer in answers], 3 * [(200, "")])
                self.assertEqual(len({answer.body for answer in answers}), 1)
                self.assertEqual(self.runs(f"late-{number}"), 1)


if __name__ == "__main__":
    unittest.main()
