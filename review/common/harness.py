"""Shared parts of the review's scripts: entry hosts as real processes, one database group, the
store and the promotion call as stand-ins (testing/line_standins.py, with the additions that the
cases need), writers, and the record.

The hosts are started with the command of deploy/system.toml and with settings made from
deploy/entry.json.template.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "testing"))
import line_standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GROUP, DATABASE, KEY, CUSTOMER = "g1", "posts", "key-a", "alpha"
PROMOTE_SECONDS = 1.0  # `a promote` of both sites
RESTART_SECONDS = 0.5  # a killed process starts again after a short delay


class Record:
    """Lines with the time since the start, in record.txt of the case."""

    def __init__(self, folder):
        self.file, self.start = open(pathlib.Path(folder) / "record.txt", "w"), time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


class Instance(line_standins.Instance):
    """An instance that can also receive nothing for a while (deaf)."""

    deaf = False

    async def receive(self, entries):
        return False if self.deaf else await super().receive(entries)

    async def run(self, session, query_id, text, send):
        if text.split(" ")[0] in ("SUSPEND", "RESUME"):
            self.group.record.write(f"{self.id} is told {text}")
        return await super().run(session, query_id, text, send)


class Group(line_standins.Group):
    """Records each promotion, and the acknowledged writes that the promoted log lacks."""

    def __init__(self, name, store, record):
        super().__init__(name, store)
        self.record, self.acknowledged, self.lost = record, {}, {}

    async def promote(self, instance_id, token, holder="?", note=""):
        candidate = self.instances.get(instance_id)
        is_present = candidate and candidate.is_running and candidate.role == "primary"
        if token < self.fence_token:
            self.record.write(f"promotion of {instance_id} by {holder}, token {token}{note}: "
                              f"409, token {self.fence_token} was seen")
            return 409, {"error": "fenced"}
        self.fence_token = token
        if not candidate or not candidate.is_running:
            self.record.write(f"promotion of {instance_id} by {holder}, token {token}{note}: "
                              f"409, it does not run")
            return 409, {"error": "not running"}
        self.record.write(f"promotion of {instance_id} by {holder}, token {token}{note}: 200"
                          f"{', the present primary' if is_present else ''}")
        if not is_present:
            asyncio.get_running_loop().call_later(
                PROMOTE_SECONDS, lambda: asyncio.ensure_future(self.complete_promotion(candidate)))
        return 200, {}

    async def complete_promotion(self, candidate):
        if candidate.role == "primary":
            return
        held = {(entry[2], entry[3]) for entry in candidate.log}
        missing = {item: at for (item, value), at in self.acknowledged.items()
                   if (item, value) not in held}
        self.lost.update(missing)
        self.record.write(f"{candidate.id} leads now, with a log up to "
                          f"{candidate.received_position()}; it lacks {len(missing)} acknowledged "
                          f"writes: {' '.join(sorted(missing)[:40])}")
        await super().complete_promotion(candidate)
        for instance in self.instances.values():
            instance.applied = min(instance.applied, len(instance.log))


class System:
    """The store, the promotion call and one group of three instances, on loopback."""

    def __init__(self, record, zones=("north", "south")):
        self.record, self.zones, self.version = record, zones, 0
        self.store = line_standins.Store()
        self.group = Group(GROUP, self.store, record)
        self.on_order = None  # coroutine (instance, holder, token) -> answer, or None for the usual
        self.servers = []

    async def start(self):
        self.servers.append(await asyncio.start_server(
            lambda reader, writer: line_standins.serve_http(reader, writer, self.store,
                                                            self.promote), "127.0.0.1", 0))
        self.store_port = self.servers[-1].sockets[0].getsockname()[1]
        for number in range(3):
            instance = Instance(self.group, f"i{number}", self.zones[number % 2], 0, slots=5)
            server = await asyncio.start_server(instance.serve, "127.0.0.1", 0)
            instance.port = server.sockets[0].getsockname()[1]
            self.servers.append(server)
        self.group.instances["i0"].role = "primary"
        for instance in self.group.instances.values():
            await instance.register()
        await self.store.put("config", "main", {
            "version": 1,
            "routes": [{"name": "r-posts", "host": DATABASE, "routeType": "primary",
                        "timeoutMs": 1000, "targetLatencyMs": 200, "priority": 1,
                        "service": GROUP, "maxStalenessMs": 0, "authExempt": False}],
            "services": [{"name": GROUP, "maxConns": 66, "syncReplicas": 1}],
            "limits": {"txIdleMs": 1000},
            "tenants": [{"name": CUSTOMER, "apiKeys": [KEY], "ratePerS": 100000,
                         "burstSize": 100000}]})

    async def promote(self, body, headers):
        holder = headers.get("quetzalpaddle-duty-holder", "?")
        token = int(headers.get("quetzalpaddle-fence-token", 0))
        if self.on_order:
            answer = await self.on_order(body["id"], holder, token)
            if answer:
                return answer
        return await self.group.promote(body["id"], token, holder)

    def primary(self):
        return self.group.primary()


def render_template(fields):
    """Fills deploy/entry.json.template, which uses {{NAME|json}} only."""
    text = (ROOT / "deploy/entry.json.template").read_text()

    def value(match):
        entry = fields
        for part in match.group(1).split("."):
            entry = entry[part]
        return json.dumps(entry)
    return re.sub(r"\{\{([A-Za-z.]+)\|json\}\}", value, text)


def find_free_ports(addresses):
    """Returns a port for each IP, free at this moment."""
    sockets = [socket.socket() for _ in addresses]
    for one, address in zip(sockets, addresses):
        one.bind((address, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def find_common_port(addresses):
    """Returns a port that is free on all IPs, for TCP and UDP."""
    for port in random.sample(range(20000, 30000), 500):
        sockets = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise OSError("no common port")


class Host:
    def __init__(self, number, zone, system, peer_ip, peer_port, seeds, folder):
        self.name, self.system = f"edge-{zone}-{number}", system
        self.port, self.admin_port = find_free_ports(["127.0.0.1"] * 2)
        store = f"127.0.0.1:{system.store_port}"
        settings = render_template({
            "nodeName": self.name, "zoneId": zone, "ipAddr": peer_ip,
            "internalPorts": [peer_port, peer_port + 15], "seedNodes": seeds,
            "listenAddrs": {"front": f"127.0.0.1:{self.port}",
                            "ready": f"127.0.0.1:{self.admin_port}"},
            "platform": {"address": store}, "cloudApi": {"address": store},
            "bounds": {"graceS": 6, "drainDeadlineMs": 7000, "quotaTolerance": 0.1},
            "limits": {"cpuShare": 0.17}})
        self.settings = pathlib.Path(folder) / f"{self.name}.json"
        self.settings.write_text(settings)
        self.log = open(pathlib.Path(folder) / f"{self.name}.log", "w")
        self.process = None

    def start(self):
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = shlex.split(re.search(r'^run = "(.*)"', deploy, re.M).group(1))
        environment = {"PATH": os.environ["PATH"], "QUETZALPADDLE_BOOT": str(self.settings)}
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log)
        self.system.record.write(f"{self.name} starts")

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.system.record.write(f"{self.name} is killed")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(reader.read(), 2)
            writer.close()
            return b" 200 " in answer.partition(b"\r\n")[0]
        except (OSError, asyncio.TimeoutError):
            return False


async def wait_until(condition, description, timeout):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise TimeoutError(f"not within {timeout} s: {description}")


class Caller:
    """A session. run() returns the error code, "" for success, "CLOSED" for a broken one."""

    def __init__(self, host):
        self.host = host

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.host.port)
        self.writer.write(f"CONNECT {DATABASE} {KEY}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 2)
        return line.startswith(b"READY")

    async def run(self, query_id, text):
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        error, rows = "", []
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                return error, rows
            elif not line:
                return "CLOSED", rows

    def close(self):
        self.writer.transport.abort()


async def keep_writing(system, hosts, number, deadline):
    """Writes one new item after the other, each once, and notes which are acknowledged."""
    count, record = 0, system.record
    while time.monotonic() < deadline:
        caller = Caller(random.choice(hosts))
        try:
            if not await caller.open():
                raise ConnectionError
            while time.monotonic() < deadline:
                count += 1
                item, value = f"w{number}-{count}", f"{number}x{count}"
                query_id = f"{random.getrandbits(64):016x}"
                error, _ = await asyncio.wait_for(caller.run(query_id, f"WRITE {item} {value}"), 8)
                record.write(f"{item} by {caller.host.name}: {error or 'acknowledged'}")
                if error:
                    raise ConnectionError
                system.group.acknowledged[(item, value)] = time.monotonic()
                await asyncio.sleep(0.02)
        except (ConnectionError, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            if hasattr(caller, "writer"):
                caller.close()


async def run_case(folder, host_count, scenario, seconds):
    """Runs a scenario beside writers. Exits with 1 if an acknowledged write was lost, 0 if not,
    2 if the case could not run."""
    record = Record(folder)
    temporary = tempfile.TemporaryDirectory()
    system, hosts, status = System(record), [], 2
    addresses = [f"127.0.{random.randrange(1, 250)}.{n + 1}" for n in range(host_count)]
    try:
        await system.start()
        peer_port = find_common_port(addresses)
        seeds = [f"{address}:{peer_port}" for address in addresses[:3]]
        hosts += [Host(n, system.zones[n % 2], system, addresses[n], peer_port, seeds,
                       temporary.name) for n in range(host_count)]
        for host in hosts:
            host.start()
        for host in hosts:
            await wait_until(host.is_ready, f"{host.name} is ready", 20)
        await asyncio.sleep(3)
        writers = [asyncio.ensure_future(keep_writing(system, hosts, number,
                                                      time.monotonic() + seconds))
                   for number in range(4)]
        await asyncio.sleep(2)
        if not system.group.acknowledged:
            raise TimeoutError("no write was acknowledged before the disruption")
        await scenario(system, hosts)
        await asyncio.gather(*writers)
        await asyncio.sleep(1.5)
        primary = system.primary()
        held = {(entry[2], entry[3]) for entry in primary.log}
        gone = sorted(item for item, value in system.group.acknowledged
                      if (item, value) not in held)
        record.write(f"{len(system.group.acknowledged)} writes were acknowledged; "
                     f"{len(system.group.lost)} were not in the log of an instance when it was "
                     f"promoted; {len(gone)} are not in the log of the primary {primary.id} now")
        status = 1 if system.group.lost else 0
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error}")
        print(f"could not run: {error}")
    finally:
        for host in hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
            host.log.flush()
        for host in hosts:
            lines = pathlib.Path(host.log.name).read_text().splitlines()
            for line in lines:
                if re.search("event=(takeover|duty_|promotion|replicas_resumed|started)", line):
                    record.file.write(f"log {line}\n")
        record.file.close()
        temporary.cleanup()
    print({0: "held: no acknowledged write was lost", 1: "broken: LOST", 2: "did not run"}[status])
    sys.stdout.flush()
    os._exit(status)  # pending watches of the stand-in are not waited for
