#!/usr/bin/env python3
"""Operators withdraw a key while its caller is connected: it must stop within seconds, also on open connections."""
import unittest

from lab import http
from lab.fleet import Fleet
from lab.processes import wait_until

BOUND = 5


class WithdrawnKeyTest(unittest.TestCase):
    def test_key_withdrawnOnALiveConnection_stopsEverywhereAndForGood(self):
        # A caller keeps its connection open, and its key is withdrawn meanwhile. Calls after that must not be served
        # just because the connection was accepted with a valid key.
        with Fleet() as fleet:
            bearer = {"Authorization": f"Bearer {fleet.configuration.keys['vans']}"}
            connections = [http.Connection(fleet.caller_port(name)) for name in fleet.nodes]
            for connection in connections:
                self.assertEqual(connection.call("GET", "/balances/1", headers=bearer).status, 200)
            fleet.publish(fleet.configuration.without_keys_of("vans"))
            for connection in connections:
                wait_until(lambda live=connection: live.call("GET", "/balances/1", headers=bearer).status == 401,
                           BOUND, "the withdrawn key to stop")
            fleet.platform_mode("stale", revision=1)
            for connection in connections:
                answer = connection.call("GET", "/balances/1", headers=bearer)
                self.assertEqual((answer.status, answer.outcome, answer.code), (401, "not-run", "3008"))
            other = http.call_with_key(fleet.caller_port("vm-01"), fleet.configuration.keys["shops"], "GET",
                                       "/balances/1")
            self.assertEqual(other.status, 200)


if __name__ == "__main__":
    unittest.main()
