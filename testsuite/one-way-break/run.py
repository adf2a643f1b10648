#!/usr/bin/env python3
"""A link fails in one direction: connections stay open and one side receives nothing. Lookups run elsewhere."""
import unittest

from lab import ports
from lab.configuration import generated
from lab.fleet import Fleet
from lab.history import History, check

SECONDS = 4


class OneWayBreakTest(unittest.TestCase):
    def run_with_broken_hop(self, direction):
        """Runs calls through two nodes while the hops to the third lose all bytes of one direction."""
        with Fleet(lambda block: generated(block, deadline="3s"), proxied=True) as fleet:
            fleet.link_fault(ports.HOP_LINK, 2, drop=direction)
            load = fleet.load([fleet.stream("shops", 40), fleet.stream("vans", 20, "POST", "/refunds")], SECONDS,
                              fleet.targets(["vm-01", "vm-02"]), timeout=6)
            attempts = load.wait()
            records = fleet.server_records()
            actions = [{**action, "server": name} for name, record in records.items() for action in record["actions"]]
            return History(attempts, actions, sum(record["keys_seen"] for record in records.values()))

    def assert_callers_served(self, history):
        self.assertEqual(check(history), [])
        lookups = [attempt for attempt in history.attempts if attempt["method"] == "GET"]
        self.assertEqual({attempt["status"] for attempt in lookups}, {200})

    def test_lookups_whenRequestsToAVmAreLost_areAllAnswered(self):
        # From the entry's view the hop was sent. No server is unhealthy, and none may be ejected for all nodes.
        self.assert_callers_served(self.run_with_broken_hop("to-target"))

    def test_lookups_whenAnswersOfAVmAreLost_areAllAnswered(self):
        # The serving node runs the refund and its answer is lost. The entry must not run it again.
        self.assert_callers_served(self.run_with_broken_hop("to-caller"))


if __name__ == "__main__":
    unittest.main()
