"""The overhead of the request path: added latency and processor time."""
from ..configuration import generated
from ..fleet import Fleet
from ..report import percentile

RATE = 200
KEYED_RATE = 50
PLENTY = {"shops": (1000000, 1000000)}


def hop_overhead(options, report):
    """Added latency against the backend servers asked directly, paired, 200 requests per second, keep-alive."""
    seconds = options.seconds or 20
    with Fleet(lambda block: generated(block, vms=6, slots=50, workspaces={"shops": (1000, 1000)}),
               backends=["--service-time-ms", 2, "--sigma", 0]) as fleet:
        servers = [f"127.0.0.1:{server['port']}" for server in fleet.configuration.servers]
        plain = {"rate": RATE, "path": "/balances/{n}"}
        fleet.load([fleet.stream("shops", RATE)], 3).wait()
        direct = fleet.load([plain], seconds, servers)
        through = fleet.load([fleet.stream("shops", RATE)], seconds)
        direct_ms = [attempt["latency_ms"] for attempt in direct.wait() if attempt["status"] == 200]
        attempts = through.wait()
        through_ms = [attempt["latency_ms"] for attempt in attempts if attempt["status"] == 200]
        report.note(f"{len(through_ms)} of {len(attempts)} calls answered; direct p50 "
                    f"{percentile(direct_ms, 0.5):.3f} ms, p99 {percentile(direct_ms, 0.99):.3f} ms")
        report("p50_added_ms", percentile(through_ms, 0.5) - percentile(direct_ms, 0.5), "ms")
        report("p99_added_ms", percentile(through_ms, 0.99) - percentile(direct_ms, 0.99), "ms")
        report("answered_ratio", len(through_ms) / len(attempts), "ratio")


def key_overhead(options, report):
    """Added latency of an Idempotency-Key: refunds with and without one, paired, 50 requests per second each."""
    seconds = options.seconds or 20
    with Fleet(lambda block: generated(block, vms=6, slots=50, workspaces=PLENTY),
               backends=["--service-time-ms", 2, "--sigma", 0]) as fleet:
        plain = fleet.stream("shops", KEYED_RATE, "POST", "/refunds")
        fleet.load([plain], 3).wait()
        attempts = fleet.load([plain, {**plain, "idempotencyKey": True}], seconds).wait()
        latencies = {keyed: [attempt["latency_ms"] for attempt in attempts
                             if attempt["status"] == 200 and attempt["idempotency_key"] == keyed]
                     for keyed in (False, True)}
        for keyed, found in latencies.items():
            report.note(f"{'with' if keyed else 'without'} key: {len(found)} answered, "
                        f"p50 {percentile(found, 0.5):.3f} ms, p99 {percentile(found, 0.99):.3f} ms")
        report("p50_added_ms", percentile(latencies[True], 0.5) - percentile(latencies[False], 0.5), "ms")
        report("p99_added_ms", percentile(latencies[True], 0.99) - percentile(latencies[False], 0.99), "ms")
        report("answered_ratio", sum(map(len, latencies.values())) / len(attempts), "ratio")


def throughput(options, report):
    """Small requests per second through one node, closed loop, and its processor time for each."""
    seconds = options.seconds or 10
    clients, connections = 2, 16
    with Fleet(lambda block: generated(block, vms=1, zones="a", slots=100, workspaces=PLENTY),
               backends=["--service-time-ms", 0, "--sigma", 0]) as fleet:
        node = fleet.nodes["vm-01"]
        fleet.load([fleet.stream("shops", 0)], 1, connections=connections).wait()
        before = node.cpu_seconds()
        loads = [fleet.load([fleet.stream("shops", 0)], seconds, connections=connections) for _ in range(clients)]
        attempts = [attempt for load in loads for attempt in load.wait()]
        cpu = node.cpu_seconds() - before
        answered = sum(attempt["status"] == 200 for attempt in attempts)
        report.note(f"{answered} of {len(attempts)} calls answered by {clients} x {connections} connections")
        report("requests_per_second", answered / seconds, "1/s")
        report("cpu_us_per_request", cpu / max(answered, 1) * 1e6, "us")
        report("node_cores", cpu / seconds, "cores")
        report("answered_ratio", answered / max(len(attempts), 1), "ratio")
