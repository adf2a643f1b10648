"""The demo: three nodes over examples/caribrite, a few requests, and the nodes' decisions on each."""
import json
import signal
import sys

from . import http
from .configuration import example
from .fleet import Fleet

VMS = 3
CALLS = [("a lookup", "shopkeepers", "GET", "/balances/4711", None, {}),
         ("a refund", "shopkeepers", "POST", "/refunds", {"action": "refund-1", "crates": 3}, {}),
         ("a refund with an Idempotency-Key", "rum-shops", "POST", "/refunds", {"action": "refund-2"},
          {"Idempotency_Key": "till-7-0001"}),
         ("the same refund again, through another node", "rum-shops", "POST", "/refunds", {"action": "refund-2"},
          {"Idempotency_Key": "till-7-0001"}),
         ("a pickup", "field-vans", "POST", "/pickups", {"action": "pickup-1"}, {}),
         ("a call with a key that is not known", None, "GET", "/balances/4711", None, {})]


def on_three_vms(block):
    """Returns examples/caribrite with all its servers on three VMs, one in each of three zones."""
    made = example(block, "caribrite")
    made.vms = made.vms[:VMS]
    for index, server in enumerate(made.servers):
        vm = made.vms[index % VMS]
        server["vm"], server["zone"] = vm["id"], vm["zone"]
    return made


def send(fleet, number, call):
    """Sends one call, prints the response and the nodes' log lines for it. Returns whether the status is expected."""
    what, workspace, method, path, body, headers = call
    node = list(fleet.nodes)[number % VMS]
    key = fleet.configuration.keys[workspace] if workspace else "no-such-key"
    before = {name: len(process.log()) for name, process in fleet.nodes.items()}
    answer = http.call_with_key(fleet.caller_port(node), key, method, path, json.dumps(body) if body else None,
                                **headers)
    print(f"\n{what}: {method} {path} through {node}\n  {answer.status} {answer.body.decode().strip()}")
    for name, value in answer.headers.items():
        if name.startswith("papayastep-"):
            print(f"  {name}: {value}")
    request_id = answer.headers.get("papayastep-request-id", "")
    for name, process in fleet.nodes.items():
        for line in process.log()[before[name]:].splitlines():
            if request_id and request_id in line:
                print(f"  {name} | {line}")
    return answer.status == (200 if workspace else 401)


def keep(fleet):
    print("\nIt keeps running until Ctrl-C. Try:")
    key = fleet.configuration.keys["shopkeepers"]
    for name in fleet.nodes:
        print(f"  curl -i -H 'Authorization: Bearer {key}' http://127.0.0.1:{fleet.caller_port(name)}/balances/1")
    for name in fleet.nodes:
        print(f"  curl http://127.0.0.1:{fleet.vm(name)['adminPort']}/status    # {name}; also /metrics, /readyz")
    print(f"  logs and settings: {fleet.folder}")
    sys.stdout.flush()
    ends = {signal.SIGINT, signal.SIGTERM}
    signal.pthread_sigmask(signal.SIG_BLOCK, ends)
    signal.sigwait(ends)


def main():
    with Fleet(on_three_vms) as fleet:
        print(f"three nodes are ready at {', '.join(fleet.targets())}")
        results = [send(fleet, number, call) for number, call in enumerate(CALLS)]
        refunds = [action["action"] for action in fleet.actions() if action["action"] == "refund-2"]
        print(f"\nrefund-2 was asked for twice and ran {len(refunds)} time(s)")
        if "--keep" in sys.argv:
            keep(fleet)
    return 0 if all(results) and len(refunds) == 1 else 1


if __name__ == "__main__":
    sys.exit(main())
