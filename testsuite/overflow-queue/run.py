#!/usr/bin/env python3
"""Requests wait in the overflow queue of a server, and the server, its node, the network or the caller fails."""
import json
import threading
import time
import unittest

from lab import http, ports
from lab.overflowcase import DEADLINE, ENTRY, HOLDER, OTHER, REFUNDS, SERVER, SLOTS, OverflowCase
from lab.processes import wait_until


class OverflowQueueTest(OverflowCase):
    # Guards against callers that wait until their deadline because nobody reports on attempts in a lost queue, and
    # against refunds that run a second time elsewhere.
    def test_nodeKilled_whileRequestsWait_answersThemAll(self):
        self.fill(lookups=4)  # The retry budget of a server without requests is five.
        self.only(SERVER, OTHER)
        self.fleet.nodes[HOLDER].kill()
        self.finish()
        self.assert_lookups_answered()
        self.assert_refunds_known_or_unknown()

    # Guards against a hold or a queue that survives a restart, which would refuse requests without evidence.
    def test_nodeRestarted_afterAHold_servesWithoutHoldAndQueue(self):
        self.fill()
        self.fleet.server_fault(SERVER, "half-alive")
        wait_until(lambda: "Held back a backend server." in self.fleet.nodes[HOLDER].log(), 10, "a hold")
        self.fleet.nodes[HOLDER].kill()
        self.finish()
        self.fleet.server_fault(SERVER, "none")
        self.fleet.restart(HOLDER)
        begun = time.monotonic()
        self.assertEqual(self.overflowing(), 0)
        held = [value for sample, value in self.fleet.metrics(HOLDER).items() if "servers_held{" in sample]
        self.assertEqual(held, [0])

        def answered():
            self.call("POST", f"after-{time.monotonic()}")
            return [answer for answer in self.group("after") if answer.status == 200]
        wait_until(answered, 5, "a refund to be answered")
        print(f"served {time.monotonic() - begun:.2f} s after the restart")

    # Guards against a cut that leaves callers without an answer while their attempts wait on the other side. Nothing
    # shows whether a refund that waits there has started, so its answer is awaited until the deadline.
    def test_network_cutWhileRequestsWait_answersThemByTheirDeadlines(self):
        self.fill()
        self.only(SERVER, OTHER)
        self.cut_until_answered()
        self.finish(DEADLINE + 2)
        self.assert_refunds_known_or_unknown()

    # Guards against an entry that waits for the answer of an attempt whose connection has ended.
    def test_connection_lostBeforeTheAcknowledgement_endsTheWait(self):
        self.only(SERVER)
        self.call("GET", "warm")
        self.fleet.link_fault(ports.HOP_LINK, 1, drop="to-caller")
        self.threads = [threading.Thread(target=self.call, args=("GET", "lookup"))]
        self.threads[0].start()
        wait_until(lambda: "Continued to wait for a silent attempt." in self.fleet.nodes[ENTRY].log(), 5, "silence")
        self.fleet.link_fault(ports.HOP_LINK, 1, reset=True)
        self.finish()

    # Guards against runs for callers that have left: 16 of 53 runs of a deployment went on.
    def test_caller_leavingWhileItsRequestWaits_isNotServed(self):
        self.fill(refunds=0)
        before = self.overflowing()
        connections = []
        for number in range(4):
            body = json.dumps({"action": f"left-{number}"})
            connection = http.http.client.HTTPConnection("127.0.0.1", self.fleet.caller_port(ENTRY))
            connection.request("POST", "/refunds", body,
                               {"Authorization": f"Bearer {self.fleet.configuration.keys['vans']}"})
            connections.append(connection)
        log = self.fleet.nodes[HOLDER]
        wait_until(lambda: log.log().count("Queued an attempt in the overflow.") >= before + 4, 5, "waiting refunds")
        for connection in connections:
            connection.close()
        self.finish()
        wait_until(lambda: self.overflowing() == 0, 5, "the queue to become empty")
        self.assert_lookups_answered()
        self.assertEqual([], [action for action in self.fleet.actions() if action["action"].startswith("left")])

    # Guards against requests that wait at a server from which operators remove the load.
    def test_server_drainedWhileRequestsWait_givesThemBackAtOnce(self):
        self.fill()
        started = self.fleet.server_record(SERVER)["started"]
        self.only(SERVER, OTHER, counter_2={"drain": True})
        self.finish()
        running = self.fleet.server_record(SERVER)["started"] - started
        self.assertLessEqual(running, 2 * SLOTS)  # Started before the configuration arrived.
        self.assertEqual({(answer.status, answer.outcome) for answer in self.group("refund") + self.group("lookup")}
                         - {(503, "not-run"), (429, "not-run")}, {(200, "")})

    # Guards against refunds that wait until their deadline behind requests that hang, although the server is held.
    def test_server_heldWhileRefundsWait_givesThemBackAtOnce(self):
        self.fill(lookups=0)
        self.fleet.server_fault(SERVER, "hang")
        self.only(SERVER, OTHER)
        wait_until(lambda: "Held back a backend server." in self.fleet.nodes[HOLDER].log(), 10, "a hold")
        wait_until(lambda: self.overflowing() == 0, 2, "the refunds to leave the queue")
        for thread in self.threads:
            thread.join()
        served = [answer.server for answer in self.group("refund") if answer.status == 200]
        self.assertIn(OTHER, served)
        self.assertGreaterEqual(len(served), REFUNDS - SLOTS)  # Those that had started hang.


if __name__ == "__main__":
    unittest.main()
