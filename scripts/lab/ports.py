"""Blocks of local ports, so that concurrent runs do not use the same ports."""
import socket

BLOCK_SIZE = 2000
# Below the kernel's range for outgoing connections (32768), and not the ports that examples/ names.
BLOCK_STARTS = [10000, 12000, 14000, 20000, 22000, 24000, 26000, 28000, 30000]

CALLER, HOP, PEER, ADMIN, SERVER = 0, 200, 400, 600, 800
PLATFORM, SERVER_CONTROL, PROXY_CONTROL = 1000, 1001, 1002
HOP_LINK, PEER_LINK, SERVER_LINK = 1100, 1300, 1500
_LOCK = 1999


class PortBlock:
    """2,000 ports reserved for one run: a bound socket in the block keeps other runs out until close()."""

    def __init__(self):
        for start in BLOCK_STARTS:
            self._lock = socket.socket()
            try:
                self._lock.bind(("127.0.0.1", start + _LOCK))
                self.start = start
                return
            except OSError:
                self._lock.close()
        raise RuntimeError("every block of ports is in use")

    def port(self, kind, index=0):
        return self.start + kind + index

    def close(self):
        self._lock.close()
