#!/usr/bin/env python3
"""Signals that operators' tools send while a node starts and while it has requests in flight."""
import json
import signal
import threading
import unittest

from lab import http
from lab.configuration import generated
from lab.fleet import Fleet
from lab.processes import Process, wait_until

SERVICE_MS = 3000


def at_settings(fleet, name):
    """Returns the system call that opens the settings file."""
    return "openat", ["-P", fleet.path(f"{name}.json")]


def at_first_disposition(fleet, name):
    """Returns the first call that sets a signal disposition: after the libraries' initialisation, before all else."""
    return "rt_sigaction", []


def signalled_at_start(fleet, name, number, moment=at_settings):
    """Restarts a stopped node so that it receives the signal during a given system call.

    strace sends the signal from inside that call, so the moment is the same on a fast and on a slow machine. With -D
    the node remains a child of this process, and its process id and exit status are the node's.
    """
    call, path = moment(fleet, name)
    tracing = ["strace", "-D", "-qq", "-o", fleet.path(f"{name}.strace"), *path, "-e", f"trace={call}", "-e",
               f"inject={call}:signal={signal.Signals(number).name}:when=1"]
    old = fleet.nodes[name]
    fleet.nodes[name] = Process(name, tracing + old.arguments, old.log_path)
    return fleet.nodes[name]


class SignalAtStartTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(lambda block: generated(block, vms=1))
        self.addCleanup(self.fleet.close)
        self.name = next(iter(self.fleet.nodes))
        self.assertTrue(self.fleet.nodes[self.name].stop())

    # Settings are changed on all VMs while one VM restarts its node. A process that receives the reload signal before
    # it has registered for it is ended by it, and its VM refuses connections until an operator restarts the node.
    # Symptom: the exit status names the signal, and the trace of system calls shows no registration before it.
    def test_reload_whileSettingsAreRead_isTaken(self):
        node = signalled_at_start(self.fleet, self.name, signal.SIGHUP)
        self.fleet.wait_serving(self.name)
        self.assertTrue(node.is_running())
        self.assertIn("Asked to reload.", node.log())

    # The same before any code of the node has run; the libraries' initialisation alone takes milliseconds.
    def test_reload_beforeTheFirstDisposition_isTaken(self):
        node = signalled_at_start(self.fleet, self.name, signal.SIGHUP, at_first_disposition)
        self.fleet.wait_serving(self.name)
        self.assertTrue(node.is_running())
        self.assertIn("Asked to reload.", node.log())

    # An operator stops a node directly after its start. The process must end as after any planned stop, not as after a
    # crash, or its supervisor raises an alarm and restarts it.
    def test_stop_whileSettingsAreRead_endsAsPlanned(self):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT):
            with self.subTest(signal=signal.Signals(number).name):
                node = signalled_at_start(self.fleet, self.name, number)
                self.assertEqual(node.wait(20), 0)


class SignalUnderLoadTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(backends=["--service-time-ms", SERVICE_MS, "--sigma", 0])
        self.addCleanup(self.fleet.close)
        self.names = list(self.fleet.nodes)
        self.answers = []

    def refund(self, number):
        port = self.fleet.caller_port(self.names[number % len(self.names)])
        try:
            answer = http.call_with_key(port, self.fleet.configuration.keys["shops"], "POST", "/refunds",
                                        json.dumps({"action": f"refund-{number}"}))
            self.answers.append(answer.status)
        except (OSError, http.http.client.HTTPException) as error:
            self.answers.append(repr(error))

    def started(self):
        return sum(record["started"] for record in self.fleet.server_records().values())

    def expect_all_answered(self, numbers, reaction):
        """Sends the signals to every node while each is the entry of a refund that is running at a server."""
        before = self.started()
        count = len(self.names)
        refunds = [threading.Thread(target=self.refund, args=(number,)) for number in range(count)]
        for refund in refunds:
            refund.start()
        wait_until(lambda: self.started() == before + count, 10, "every refund to be in flight")
        self.assertEqual(self.answers, [])  # Every refund is in flight when the signals arrive.
        for number in numbers:
            for node in self.fleet.nodes.values():
                node.send(number)
        for refund in refunds:
            refund.join()
        self.assertEqual(self.answers, count * [200])
        self.assertEqual(len(self.fleet.actions()), count)
        for node in self.fleet.nodes.values():
            wait_until(lambda node=node: node.log().count(reaction) >= len(numbers), 10, reaction)
            self.assertTrue(node.is_running())

    # Operators change the settings on all VMs and send SIGHUP to every node while refunds run. A process that has not
    # registered for the signal is ended by its default action: callers see their connections end without an answer in
    # the same millisecond, the refunds complete, and no caller receives the result. Symptom: the process ends with 128
    # plus the signal's number, at any load, and its log has no line about it.
    def test_reload_withRefundsInFlight_answersThemAll(self):
        for name in self.names:
            path = self.fleet.path(f"{name}.json")
            with open(path, encoding="utf-8") as file:
                settings = json.load(file)
            with open(path, "w", encoding="utf-8") as file:
                json.dump({**settings, "drainTimeoutMs": 9000}, file)
        self.expect_all_answered([signal.SIGHUP], "Asked to reload.")
        for node in self.fleet.nodes.values():
            self.assertIn("Took over changed settings.", node.log())

    # Operators' tools send other signals that are meant for other programs: to reopen log files, to dump state. By
    # default each of them ends a process immediately, with its callers' requests.
    def test_signalsWithoutMeaning_withRefundsInFlight_answerThemAll(self):
        self.expect_all_answered([signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM], "Ignored a signal.")


if __name__ == "__main__":
    unittest.main()
