"""Loopback proxies before the ports on which nodes receive from one another, to cut a machine off from the others.

Each node listens for other nodes at an address of its own (127.1.x.y) behind the address under which it is known
(127.0.x.y); the proxy stands at the known address. A connection's sender is found by its port among the sockets of the
node processes that the test started.
"""
import asyncio
import os


def behind(address):
    """Returns the address at which the node itself listens."""
    return "127.1." + address.split(".", 2)[2]


def socket_owner(nodes, address, port):
    """Returns the address of the node whose process has the TCP socket with this local end, or None."""
    octets = [int(part) for part in address.split(".")]
    local = "".join(f"{octet:02X}" for octet in reversed(octets)) + f":{port:04X}"
    with open("/proc/self/net/tcp", encoding="ascii") as table:
        inodes = [line.split()[9] for line in table if line.split()[1] == local]
    if not inodes:
        return None
    wanted = {f"socket:[{inode}]" for inode in inodes}
    for node in nodes.values():
        folder = f"/proc/{node.child.pid}/fd"
        try:
            for name in os.listdir(folder):
                try:
                    if os.readlink(f"{folder}/{name}") in wanted:
                        return node.address
                except OSError:
                    continue
        except OSError:
            continue
    return None


class Links:
    """The links between the nodes of a deployment. A cut is silent: nothing passes and nothing is refused."""

    PORTS = ("inbound", "peer")

    def __init__(self, deployment):
        self.deployment = deployment
        self.cut_off = set()
        settings_of = deployment.settings_of

        def settings(node):
            text = settings_of(node)
            for name in self.PORTS:
                port = deployment.port[name]
                text = text.replace(f"{node.address}:{port}", f"{behind(node.address)}:{port}")
            return text
        deployment.settings_of = settings

    async def start(self):
        self.servers = []
        for address in self.deployment.services:
            for name in self.PORTS:
                port = self.deployment.port[name]
                self.servers.append(await asyncio.start_server(
                    lambda reader, writer, to=address, at=port: self._serve(reader, writer, to, at), address, port))

    def cut(self, address):
        self.cut_off.add(address)
        self.deployment.record.write("cut", node=address)

    def heal(self, address):
        self.cut_off.discard(address)
        self.deployment.record.write("heal", node=address)

    def _is_cut(self, ends):
        return any(end in self.cut_off for end in ends)

    async def _serve(self, reader, writer, to, port):
        own = writer.get_extra_info("peername")
        ends = (to, socket_owner(self.deployment.nodes, *own))
        target = None
        try:
            while self._is_cut(ends):
                await asyncio.sleep(0.05)
            target_reader, target = await asyncio.open_connection(behind(to), port)
            await asyncio.gather(self._pump(reader, target, ends), self._pump(target_reader, writer, ends))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            for end in (writer, target):
                if end is not None:
                    end.close()

    async def _pump(self, source, sink, ends):
        """Passes bytes on; those that arrive during a cut are held up until it ends."""
        try:
            while True:
                data = await source.read(65536)
                while self._is_cut(ends):
                    await asyncio.sleep(0.05)
                if not data:
                    sink.close()
                    return
                sink.write(data)
                await sink.drain()
        except (ConnectionError, OSError):
            sink.transport.abort()
