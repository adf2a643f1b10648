"""QUOTA: two nodes hold the pool of one tenant at the same time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import deployment as lab  # noqa: E402
import quota  # noqa: E402

ADDRESSES = [f"127.0.0.{number}" for number in range(11, 17)]
SERVICE = "counter"
TENANT, KEY = "amber", "2b9wu3fexd9dnn2ctnfz"
# The node that holds the tenant's pool is chosen by a hash of the tenant's name and the addresses of the machines, so
# it is the same in each run: first the node at .13; without it, the node at .16.
LEAVING, RESTARTED = "127.0.0.13", "127.0.0.16"
RATE, BURST = 20.0, 20.0
DRAIN = 2.0
ALLOWED = quota.allowed(RATE, BURST)
STAY = 15.0  # Seconds for which the leaving backend still serves; the pages: "at times many seconds".
FLOOD = 9.0  # Seconds in which the tenant sends many times its usual.
USUAL = RATE / 1.6  # Requests a second; the sites' allowances are 1.6 times what tenants usually send.
FACTOR = 8.0
PER_NODE = FACTOR * USUAL / (len(ADDRESSES) - 1)


async def case(deployment, trouble):
    await deployment.start(lab.configuration(3, [
        lab.route("lookup", "/lookups/", "safe", SERVICE), lab.resource("services", SERVICE, health_path="/health"),
        lab.resource("tenants", TENANT, api_keys=[KEY], rate_per_s=RATE, burst=BURST)]))
    leaving = deployment.backends[LEAVING]
    await leaving.drain()
    await asyncio.sleep(DRAIN + 0.5)
    await leaving.leave()
    gone = deployment.record.now()
    await asyncio.sleep(1.0)
    if trouble:
        deployment.nodes[RESTARTED].kill()
        await asyncio.sleep(0.5)
        deployment.nodes[RESTARTED].start()
        await deployment.wait_ready(RESTARTED, 10)
    else:
        await asyncio.sleep(1.0)
    senders = [address for address in ADDRESSES if address != LEAVING]
    await asyncio.gather(*(quota.send_steadily(deployment, address, "/lookups/", KEY, FLOOD, PER_NODE) for address in senders))
    if deployment.record.now() > gone + STAY:
        raise lab.CannotRun("the machine is too slow: the leaving machine would have gone")
    deployment.nodes[LEAVING].terminate()
    most = quota.most_in_window(deployment)
    deployment.record.write("result", most=most, allowed=ALLOWED, runs=len(deployment.runs))
    print(f"{most} requests of the tenant in {quota.WINDOW} s, allowed {ALLOWED}")
    return "QUOTA" if most > ALLOWED else None


if __name__ == "__main__":
    record = os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt")
    sys.exit(lab.run_case(record, dict.fromkeys(ADDRESSES, SERVICE), dict.fromkeys(ADDRESSES, "arima"), case))
