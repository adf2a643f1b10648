#!/usr/bin/env python3
"""Lookups whose server seems to hang, while no other server could take them."""
import unittest
from concurrent.futures import ThreadPoolExecutor

from lab import http
from lab.configuration import generated
from lab.fleet import Fleet

WARMING_CALLS = 40
SLOWER = 75  # Times the service time of 8 ms: three times what makes a run overdue.
TOGETHER = 5  # The second and third overdue run leave hardly a doubt that the server hangs.


class HangWithoutAlternativeTest(unittest.TestCase):
    # The only server of a service answers, but far later than usual. A node that cuts lookups off to run them elsewhere
    # finds nobody, and callers are told that the outcome is unknown though their answers were on the way.
    def test_lookups_slowAtTheOnlyServer_areAwaited(self):
        with Fleet(lambda block: generated(block, vms=1), backends=["--service-time-ms", 8]) as fleet:
            key = fleet.configuration.keys["shops"]

            def call(_):
                answer = http.call_with_key(fleet.caller_port("vm-01"), key, "GET", "/balances/7")
                return answer.status, answer.code

            self.assertEqual([call(0) for _ in range(WARMING_CALLS)], [(200, "")] * WARMING_CALLS)
            fleet.server_fault(fleet.configuration.servers[0]["id"], "slow", factor=SLOWER)
            with ThreadPoolExecutor(TOGETHER) as callers:
                self.assertEqual(list(callers.map(call, range(TOGETHER))), [(200, "")] * TOGETHER)


if __name__ == "__main__":
    unittest.main()
