"""Faults that runs inject. Each is a function that starts the fault and returns a function that ends it."""
from . import ports

WHOLE_SHARE = 1.0


def server_fault(kind, **more):
    """Returns a fault that makes a backend server fail partially (a gray failure)."""
    def begin(fleet, index):
        server = fleet.servers[index]["id"]
        fleet.server_fault(server, kind, **more)
        return lambda: fleet.server_fault(server, "none")
    return begin


def link_fault(link, **fault):
    """Returns a fault on the links towards one VM. Requires a proxied fleet."""
    def begin(fleet, index):
        fleet.link_fault(link, index, **fault)
        return lambda: fleet.link_fault(link, index)
    return begin


def pause_node(fleet, index):
    """Suspends the process, as on a frozen VM. It resumes with outdated state."""
    node = list(fleet.nodes.values())[index]
    node.pause()
    return node.resume


def kill_node(fleet, index):
    """Kills the process, as a crash does, and restarts it at the end of the fault."""
    name = list(fleet.nodes)[index]
    fleet.nodes[name].kill()
    return lambda: fleet.restart(name, wait=False)


def stop_node(fleet, index):
    """Stops the process in a planned way and restarts it at the end of the fault."""
    name = list(fleet.nodes)[index]
    fleet.nodes[name].terminate()

    def end():
        fleet.nodes[name].stop()
        fleet.restart(name, wait=False)
    return end


def platform_away(fleet, index):
    """Makes the configuration source unresponsive."""
    del index
    fleet.platform_mode("away")
    return lambda: fleet.platform_mode("ok")


def platform_stale(fleet, index):
    """Makes the configuration source offer its first revision again."""
    del index
    fleet.platform_mode("stale", revision=1)
    return lambda: fleet.platform_mode("ok")


def slow_zone(fleet, index):
    """Makes every backend server of a zone ten times slower."""
    zone = fleet.servers[index]["zone"]
    servers = [server["id"] for server in fleet.servers if server["zone"] == zone]
    for server in servers:
        fleet.server_fault(server, "slow", factor=10)

    def end():
        for server in servers:
            fleet.server_fault(server, "none")
    return end


# What servers announce about themselves.
ANNOUNCEMENTS = {
    "server-names-limit": server_fault("limit", rate=2),
    "server-announces-end": server_fault("leave"),
}

# A server that fails most requests at once while its health endpoint reports success.
BRIEF_GRAY = {"server-fails-at-once": server_fault("half-alive", ratio=0.85)}

# The gray failures whose detection is measured.
GRAY = {
    "slow-tenfold": server_fault("slow", factor=10),
    "slow-twice": server_fault("slow", factor=2),
    "errors-on-a-third": server_fault("errors", ratio=1 / 3),
    "hang": server_fault("hang", ratio=WHOLE_SHARE),
    "half-alive": server_fault("half-alive"),
    "partial-answers": server_fault("partial", ratio=WHOLE_SHARE),
    "one-way-to-server": link_fault(ports.HOP_LINK, drop="to-target"),
    "one-way-from-server": link_fault(ports.HOP_LINK, drop="to-caller"),
    "flapping": server_fault("flap", period=1),
    "paused-process": pause_node,
    "zone-slow": slow_zone,
}

# The faults that the recorded histories combine in pairs.
HISTORY = {
    "server-hangs": server_fault("hang", ratio=0.5),
    "server-errors": server_fault("errors", ratio=0.5),
    "server-slow": server_fault("slow", factor=30),
    "server-cuts-answers": server_fault("partial", ratio=0.7),
    "server-pauses": server_fault("pause"),
    "server-refuses": server_fault("refuse"),
    "server-link-cuts-answers": link_fault(ports.SERVER_LINK, cutAfter=400),
    "hop-loses-requests": link_fault(ports.HOP_LINK, drop="to-target"),
    "hop-loses-answers": link_fault(ports.HOP_LINK, drop="to-caller"),
    "hop-cuts-answers": link_fault(ports.HOP_LINK, cutAfter=700),
    "hop-is-slow": link_fault(ports.HOP_LINK, delayMs=300),
    "hop-resets": link_fault(ports.HOP_LINK, reset=True),
    "peers-not-heard": link_fault(ports.PEER_LINK, drop="to-target"),
    "peer-messages-late": link_fault(ports.PEER_LINK, delayMs=400),
    "node-paused": pause_node,
    "node-killed": kill_node,
    "node-stopped": stop_node,
    "platform-away": platform_away,
    "platform-stale": platform_stale,
}
