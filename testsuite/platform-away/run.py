#!/usr/bin/env python3
"""The configuration source is unavailable for hours or returns stale data: the fleet serves on and does not revert."""
import unittest

from lab import http
from lab.fleet import Fleet
from lab.processes import wait_until


class PlatformAwayTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def lookup(self, name):
        return http.call_with_key(self.fleet.caller_port(name), self.fleet.configuration.keys["shops"], "GET",
                                  "/balances/1")

    def wait_for_revision(self, name, revision):
        wait_until(lambda: self.fleet.status(name)["revision"] == revision, 10, f"{name} to hold {revision}")

    def test_node_restartedWhileThePlatformIsAway_startsFromItsPeers(self):
        # A VM is replaced while the platform is down. If its node did not load the configuration from its peers, its
        # callers would be refused until the platform is back.
        self.fleet.publish(self.fleet.configuration.copy())
        for name in self.fleet.nodes:
            self.wait_for_revision(name, 2)
        self.fleet.platform_mode("away")
        self.fleet.nodes["vm-02"].kill()
        self.fleet.restart("vm-02")
        self.assertEqual(self.fleet.status("vm-02")["revision"], 2)
        self.assertEqual(self.lookup("vm-02").status, 200)

    def test_fleet_whenThePlatformIsStale_keepsTheNewerRevision(self):
        # One replica of the platform lags and offers the first revision again, which still has a withdrawn key.
        self.fleet.publish(self.fleet.configuration.copy())
        for name in self.fleet.nodes:
            self.wait_for_revision(name, 2)
        self.fleet.platform_mode("stale", revision=1)
        self.fleet.nodes["vm-03"].kill()
        self.fleet.restart("vm-03")
        self.wait_for_revision("vm-03", 2)
        self.assertEqual({self.fleet.status(name)["revision"] for name in self.fleet.nodes}, {2})
        self.assertEqual(self.lookup("vm-03").status, 200)

    def test_publishedRevision_thatIsInvalid_leavesTheFleetAsItIs(self):
        # An operator publishes an invalid file. Callers must not be affected.
        broken = self.fleet.configuration.copy()
        broken.routes[0]["service"] = "no-such-service"
        valid = self.fleet.configuration.copy()
        self.fleet.publish(broken)
        self.fleet.publish(valid)
        for name in self.fleet.nodes:
            self.wait_for_revision(name, 3)
            self.assertEqual(self.lookup(name).status, 200)


if __name__ == "__main__":
    unittest.main()
