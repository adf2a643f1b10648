"""Runs in which requests wait in the overflow queue of a backend server."""
import json
import threading
import time
import unittest

from . import http, ports
from .configuration import generated
from .fleet import Fleet
from .processes import wait_until

RUN_MS = 300
SLOTS = 2
DEADLINE = 9  # Seconds.
PROMPT = DEADLINE / 2  # Answers that come later than this have waited for a time limit of the request.
REFUNDS, LOOKUPS = 8, 8
SETTINGS = {"confirmsRecovery": True, "overflowQueue": {"minTimeAfterTargetMs": 5000, "maxQueued": 64},
            "placement": "least-cost", "asksForFreeSlots": True}
ENTRY, HOLDER = "vm-01", "vm-02"
SERVER, OTHER = "counter-2", "counter-1"


class OverflowCase(unittest.TestCase):
    """Two nodes. Requests enter at one of them and wait at the server of the other one."""

    def setUp(self):
        self.fleet = Fleet(self.configuration, proxied=True, backends=["--service-time-ms", RUN_MS, "--sigma", 0],
                           settings=SETTINGS)
        self.addCleanup(self.fleet.close)
        self.answers = {}
        self.threads = []

    @staticmethod
    def configuration(block):
        made = generated(block, vms=2, slots=SLOTS, deadline=f"{DEADLINE}s", target="1s")
        for workspace in made.workspaces:  # Unlimited: the rate limits have their own cases of a lost node.
            del workspace["rate"], workspace["burst"]
            workspace["unlimited"] = True
        return made

    def only(self, *servers, **fields):
        """Publishes a configuration with these servers, and waits until both nodes use it."""
        changed = self.fleet.configuration.copy()
        changed.servers = [{**server, **fields.get(server["id"].replace("-", "_"), {})}
                           for server in self.fleet.servers if server["id"] in servers]
        self.fleet.publish(changed)
        wait_until(lambda: all(self.fleet.status(name)["revision"] == self.fleet.revision
                               for name, node in self.fleet.nodes.items() if node.is_running()), 10, "the revision")

    def call(self, method, action):
        begun = time.monotonic()
        path = "/refunds" if method == "POST" else f"/balances/{action}"
        try:
            answer = http.call_with_key(self.fleet.caller_port(ENTRY), self.fleet.configuration.keys["shops"], method,
                                        path, json.dumps({"action": action}) if method == "POST" else None,
                                        2 * DEADLINE)
        except OSError as error:
            answer = error
        self.answers[action] = (answer, time.monotonic() - begun)

    def overflowing(self):
        return sum(value for sample, value in self.fleet.metrics(HOLDER).items() if "slots_overflowing{" in sample)

    def fill(self, refunds=REFUNDS, lookups=LOOKUPS):
        """Sends requests to one server until most of them wait in its overflow queue."""
        self.only(SERVER)
        for number in range(2 * SLOTS):  # The queue learns the run time.
            self.call("GET", f"warm-{number}")
        calls = [("POST", f"refund-{number}") for number in range(refunds)]
        calls += [("GET", f"lookup-{number}") for number in range(lookups)]
        for method, action in calls:
            self.threads.append(threading.Thread(target=self.call, args=(method, action)))
            self.threads[-1].start()
        wait_until(lambda: self.overflowing() >= (refunds + lookups) / 2, 10, "requests in the overflow queue")

    def finish(self, seconds=PROMPT):
        """Waits for all callers. Checks that none hung, that refusals are true and that no refund ran twice."""
        for thread in self.threads:
            thread.join()
        for action, (answer, taken) in self.answers.items():
            self.assertIsInstance(answer, http.Answer, action)
            self.assertLess(taken, seconds, f"{action}: {answer}")
        ran = [action["action"] for action in self.fleet.actions()]
        self.assertEqual(sorted(ran), sorted(set(ran)))
        refused = {action for action, (answer, _) in self.answers.items() if answer.outcome == "not-run"}
        self.assertEqual(set(), refused & set(ran))

    def group(self, prefix):
        return [answer for action, (answer, _) in self.answers.items() if action.startswith(prefix)]

    def assert_lookups_answered(self):
        self.assertEqual([], [answer for answer in self.group("lookup") if answer.status != 200])

    def assert_refunds_known_or_unknown(self):
        """A refund that waits at a node that is lost may have started there, so only its answer proves anything."""
        outcomes = {(answer.status, answer.outcome) for answer in self.group("refund") if answer.status != 200}
        self.assertEqual({outcome for _, outcome in outcomes}, {"unknown"})

    def cut_until_answered(self):
        """Cuts the network between the nodes until all callers have an answer."""
        links = [(kind, index) for kind in (ports.HOP_LINK, ports.PEER_LINK) for index in (0, 1)]
        for kind, index in links:
            self.fleet.link_fault(kind, index, drop="both")
        for thread in self.threads:
            thread.join()
        for kind, index in links:
            self.fleet.link_fault(kind, index)
        wait_until(lambda: self.overflowing() == 0, 2 * DEADLINE, "the queue to become empty")
