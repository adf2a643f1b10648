#!/usr/bin/env python3
"""A serving node crashes with a refund in progress, and its next process is asked for the refund's outcome."""
import json
import threading
import unittest

from lab import http, ports
from lab.fleet import Fleet
from lab.processes import wait_until

REFUNDS = 12


class RestartDuringCancelTest(unittest.TestCase):
    def test_refund_whoseServingNodeIsNewWhenAsked_runsOnce(self):
        # The entry receives no answer for a refund sent to another node and asks whether it started. Meanwhile that
        # node has crashed and restarted. It has no record of the refund, which does not prove that it was not paid:
        # after a reply "never started" the entry would have it paid again through another server.
        with Fleet(proxied=True) as fleet:
            fleet.server_fault("counter-1", "refuse")
            for index in (1, 2):
                fleet.link_fault(ports.HOP_LINK, index, drop="to-caller")
                fleet.link_fault(ports.PEER_LINK, index, drop="to-target")
            threads = [threading.Thread(target=self.refund, args=(fleet, number)) for number in range(REFUNDS)]
            for thread in threads:
                thread.start()
            wait_until(lambda: any(self.ran(fleet, server) for server in ("counter-2", "counter-3")), 10, "a refund")
            for name in ("vm-02", "vm-03"):
                fleet.nodes[name].kill()
            for name in ("vm-02", "vm-03"):
                fleet.restart(name, wait=False)
            for index in (1, 2):
                fleet.link_fault(ports.PEER_LINK, index)
                fleet.link_fault(ports.HOP_LINK, index)
            for thread in threads:
                thread.join()
            actions = [action["action"] for action in fleet.actions()]
            self.assertTrue(actions)
            self.assertEqual(sorted(actions), sorted(set(actions)))

    @staticmethod
    def ran(fleet, server):
        return fleet.server_record(server)["actions"]

    @staticmethod
    def refund(fleet, number):
        http.call_with_key(fleet.caller_port("vm-01"), fleet.configuration.keys["shops"], "POST", "/refunds",
                           json.dumps({"action": f"refund-{number}"}), 20)


if __name__ == "__main__":
    unittest.main()
