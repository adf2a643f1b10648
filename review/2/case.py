"""Uploads that are as large as the configuration allows end the node that takes them."""
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import fleet as lab  # noqa: E402

MACHINES = 10
MEMORY_MB = 160
MAX_BODY_BYTES = 67_108_864
USUAL_BODY_BYTES = 360_000
ENDS = 3  # Ends of one machine's process that break the rule, on a tenth of the machines and two at least.
DEADLINE_MS = 25_000
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


class MemoryLimit:
    """The platform's limit: it kills a node that uses more memory, and starts it again."""

    def __init__(self, record, nodes):
        self.record = record
        self.nodes = nodes
        self.ends = {node.address: 0 for node in nodes}
        self.peaks = {node.address: 0.0 for node in nodes}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)
        self._thread.start()

    def _watch(self):
        while not self._stopped.wait(0.002):
            for node in self.nodes:
                self._check(node)

    def _check(self, node):
        if node.child.poll() is not None:
            raise lab.CannotRun(f"the process at {node.address} ended by itself")
        with open(f"/proc/{node.child.pid}/statm", encoding="ascii") as file:
            used = int(file.read().split()[1]) * PAGE_MB
        self.peaks[node.address] = max(self.peaks[node.address], used)
        if used <= MEMORY_MB:
            return
        self.ends[node.address] += 1
        self.record.write(f"the process at {node.address} uses {used:.0f} MB of {MEMORY_MB} MB and is killed")
        node.child.send_signal(signal.SIGKILL)
        node.child.wait()
        time.sleep(0.3)
        node.start()

    def stop(self):
        self._stopped.set()
        self._thread.join()


def wait_until_ready(node):
    end = time.monotonic() + 15
    while not node.is_ready():
        if time.monotonic() > end:
            raise lab.CannotRun(f"the node at {node.address} is not ready again")
        time.sleep(0.05)


def run(record, trouble):
    services = ["tracker"] * (MACHINES - 3) + ["dispatch"] * 3
    configuration = lab.configuration([lab.route("upload", "/manifests/", "upload", "dispatch", 25)], set(services))
    configuration["resources"].append(
        {"resource_type": "limits", "metadata": {},
         "spec": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES, "header_timeout_s": 3,
                  "idle_timeout_s": 15}})
    body = b"x" * (MAX_BODY_BYTES if trouble else USUAL_BODY_BYTES)
    with lab.Fleet(record, services, configuration) as fleet:
        limit = MemoryLimit(record, fleet.nodes)
        for upload in range(1, ENDS + 1):
            for node in fleet.nodes[:2]:
                name = f"upload-{node.address}-{upload}"
                record.write(f"{name} is sent, {len(body)} bytes")
                answer = lab.call(node.outbound, name, "POST", "/manifests/7", body, DEADLINE_MS)
                record.write(f"{name} answered {answer.status or 'nothing'}, connection {answer.error}, after "
                             f"{answer.seconds:.2f} s")
                time.sleep(1)
                wait_until_ready(node)
        limit.stop()
        record.write(f"most memory in MB: {({a: round(p) for a, p in limit.peaks.items()})}")
        record.write(f"processes ended: {limit.ends}")
        ended = sum(1 for ends in limit.ends.values() if ends >= ENDS)
        return int(ended >= max(2, MACHINES / 10))


lab.main(HERE, run)
