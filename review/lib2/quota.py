"""The check of QUOTA, and a tenant that sends at a steady pace."""
import asyncio
import bisect

WINDOW, OVERAGE, SLACK = 5.0, 0.25, 20


def allowed(rate, burst):
    """Returns the number of requests of a tenant that may be sent and run in one window."""
    return (rate * WINDOW + burst) * (1 + OVERAGE) + SLACK


def most_in_window(deployment):
    """Returns the largest number of requests that were sent, and arrived at a backend that ran them, in one window."""
    first = {}
    for arrived, _, request, *_ in deployment.runs:
        first.setdefault(request, arrived)  # A repeat of a request is no further request.
    spans = sorted((deployment.sent[request][0], arrived) for request, arrived in first.items())
    most = 0
    for begin, _ in spans:
        after = spans[bisect.bisect_left(spans, (begin, 0)):]
        most = max(most, sum(1 for sent, arrived in after if sent <= begin + WINDOW and arrived <= begin + WINDOW))
    return most


async def send_steadily(deployment, address, path, key, seconds, rate, deadline=2.0):
    """Sends `rate` requests a second to the node at `address`, each on a connection of its own."""
    loop = asyncio.get_running_loop()
    begin = loop.time()
    calls = []
    for number in range(int(seconds * rate)):
        name = f"{address.rsplit('.', 1)[1]}-{number:04d}"
        calls.append(asyncio.create_task(deployment.call(address, name, f"{path}{number}", key, deadline=deadline)))
        await asyncio.sleep(max(0.0, begin + (number + 1) / rate - loop.time()))
    await asyncio.gather(*calls)
