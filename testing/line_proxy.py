"""Loopback proxies that delay, block and reset the traffic to one port, for all hosts or for single
ones, which are told apart by the source ports of their connections."""
import asyncio
import os


def find_source_ports(process_id):
    """Returns the ports of the TCP sockets of a process, for IPv4."""
    inodes = set()
    try:
        for descriptor in os.scandir(f"/proc/{process_id}/fd"):
            try:
                target = os.readlink(descriptor.path)
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    except OSError:
        return set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return {int(row[1].partition(":")[2], 16) for row in rows if row[9] in inodes}


class Proxy:
    """Forwards one port. Modes: pass, delay, to (blocks traffic to the target), back (blocks
    traffic from it), silent (blocks both). A cut blocks both for one host, across its restarts.

    observer, if set, gets the proxy and the bytes as they arrive from a host; none for a new
    connection."""

    observer = None

    def __init__(self, port, target):
        self.port, self.target, self.mode, self.writers = port, target, "pass", set()
        self.cut_hosts = {}  # a host that is cut off -> source ports of its connections

    def cut(self, host):
        self.cut_hosts[host] = find_source_ports(host.process.pid)

    def mend(self, host):
        self.cut_hosts.pop(host, None)

    async def serve(self, reader, writer):
        source_port = writer.get_extra_info("peername")[1]
        if Proxy.observer:
            Proxy.observer(self, b"")
        for host, ports in self.cut_hosts.items():
            if source_port in find_source_ports(host.process.pid):
                ports.add(source_port)
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, "to", source_port),
                             self.forward(target_reader, writer, "back", source_port))
        self.writers -= {writer, target_writer}

    def is_blocked(self, direction, source_port):
        return self.mode in (direction, "silent") or \
            any(source_port in ports for ports in self.cut_hosts.values())

    async def forward(self, reader, writer, direction, source_port):
        try:
            while data := await reader.read(65536):
                if direction == "to" and Proxy.observer:
                    Proxy.observer(self, data)
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.is_blocked(direction, source_port):
                    await asyncio.sleep(0.05)
                if reader.exception():  # bytes that were held up are lost with a reset
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()

    def reset(self):
        for writer in set(self.writers):
            writer.transport.abort()
