#!/usr/bin/env python3
"""Lookups whose server seems to hang while no other server is available."""
import unittest
from concurrent.futures import ThreadPoolExecutor

from lab import http
from lab.configuration import generated
from lab.fleet import Fleet

WARMING_CALLS = 40
SLOWDOWN_FACTOR = 75  # Factor on the service time of 8 ms: three times the time after which a run is overdue.
CONCURRENT_CALLS = 5  # Concurrent lookups; a second and third overdue run make a hang of the server almost certain.


class HangWithoutAlternativeTest(unittest.TestCase):
    # The only server of a service answers far later than usual. If a node cancels lookups to run them elsewhere, it
    # finds no other server, and callers get an unknown outcome although their answers were on the way.
    def test_lookups_slowAtTheOnlyServer_areAwaited(self):
        with Fleet(lambda block: generated(block, vms=1), backends=["--service-time-ms", 8]) as fleet:
            key = fleet.configuration.keys["shops"]

            def call(_):
                answer = http.call_with_key(fleet.caller_port("vm-01"), key, "GET", "/balances/7")
                return answer.status, answer.code

            self.assertEqual([call(0) for _ in range(WARMING_CALLS)], [(200, "")] * WARMING_CALLS)
            fleet.server_fault(fleet.configuration.servers[0]["id"], "slow", factor=SLOWDOWN_FACTOR)
            with ThreadPoolExecutor(CONCURRENT_CALLS) as callers:
                self.assertEqual(list(callers.map(call, range(CONCURRENT_CALLS))), [(200, "")] * CONCURRENT_CALLS)


if __name__ == "__main__":
    unittest.main()
