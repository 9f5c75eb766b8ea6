#!/usr/bin/env python3
"""Runs entry hosts of the line protocol as real processes against the stand-ins, and checks
what callers and instances observe: reads of own writes, pinned transactions, renamed prepared
statements, a withdrawn key, a killed host, a killed primary and connections reset under load.

usage: line_demo.py PROGRAM [--base PORT] [--hosts N] [--seed N]
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from line_standins import MAX_MESSAGE_BYTES, System  # noqa: E402
from line_store import ODD_ENTRIES  # noqa: E402


class Caller:
    """A session of a caller. run() returns the error code, "" for success, and the rows.

    Messages hold any bytes; here they are strings of one character per byte (Latin-1)."""

    def __init__(self, port, database, key):
        self.port, self.database, self.key, self.state = port, database, key, "I"
        self.digest, self.messages = "", []  # of the last answer

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port,
                                                                 limit=MAX_MESSAGE_BYTES - 2)
        self.write_message(f"CONNECT {self.database} {self.key}")
        line = (await self.read_message()).split(" ")
        return "" if line[0] == "READY" else line[1] if len(line) > 1 else "CLOSED"

    def write_message(self, message):
        self.writer.write(f"{message}\r\n".encode("latin-1"))

    async def read_message(self):
        """Returns the next message, without its CR LF; empty if the connection has ended."""
        try:
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        except asyncio.IncompleteReadError:
            return ""

    async def run(self, text, query_id=None):
        query_id = query_id or f"{random.getrandbits(64):016x}"
        self.write_message(f"QUERY {query_id} {text}")
        error, rows, self.digest, self.messages = "", [], "", []
        while True:
            message = await self.read_message()
            self.messages.append(message)
            word, _, rest = message.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                self.digest = rest
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                self.state = rest[0]
                return error, rows
            elif not message:
                return "CLOSED", rows

    def reset(self):
        self.writer.transport.abort()


class Host:
    def __init__(self, program, number, zone, base, system, **other_settings):
        self.name = f"h{number}"
        self.port, self.admin_port, self.peer_port = \
            base + 100 + number, base + 200 + number, base + 50
        self.peer_ip, self.program = f"127.0.1.{number + 1}", program
        settings = {"host": self.name, "data_centre": zone,
                    "callers": f"127.0.0.1:{self.port}", "admin": f"127.0.0.1:{self.admin_port}",
                    "peer_address": self.peer_ip, "peer_ports": [self.peer_port], "seeds": [],
                    "store": f"127.0.0.1:{system.store_port}",
                    "promotions": f"127.0.0.1:{system.store_port}", "stop_limit_s": 4,
                    "leaving_limit_ms": 7000, "rate_tolerance": 0.1, "cores": 1,
                    **other_settings}
        self.settings_file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump(settings, self.settings_file)
        self.settings_file.flush()
        self.log_file = tempfile.NamedTemporaryFile("w+", errors="replace")
        self.start()

    def start(self):
        self.process = subprocess.Popen([self.program, "entry", self.settings_file.name],
                                        stdout=self.log_file, stderr=self.log_file)

    async def get(self, path):
        """Returns the answer of the admin address, empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            answer = await reader.read()
            writer.close()
            return answer.decode()
        except OSError:
            return ""

    async def is_ready(self):
        return " 200 " in (await self.get("/ready")).partition("\n")[0]

    async def shows_leaving(self, instance):
        """Returns whether the host's state dump shows an instance as leaving."""
        dump = json.loads((await self.get("/dump")).partition("\r\n\r\n")[2] or "{}")
        instances = dump.get("groups", {}).get(instance.group.name, {}).get("instances", {})
        return instances.get(instance.id, {}).get("leaving")


async def wait_until(condition, description, timeout=10):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not within {timeout} s: {description}")


KEYS = {"key-a": "alpha", "key-b": "beta"}
ROUTES = {"orders": ("g1", "read_your_writes", 2500), "posts": ("g1", "primary", 0),
          "looks": ("g2", "bounded_staleness", 1500)}


async def check_sessions(hosts):
    first, second = \
        Caller(hosts[0].port, "orders", "key-a"), Caller(hosts[1].port, "orders", "key-b")
    assert await first.open() == "" and await second.open() == ""
    assert await Caller(hosts[0].port, "none", "key-a").open() == "NODATABASE"
    assert await Caller(hosts[0].port, "orders", "key-x").open() == "UNAUTH"
    for number in range(30):
        assert (await first.run(f"WRITE x v{number}"))[0] == ""
        assert await first.run("READ x") == ("", [f"v{number}"]), "a session reads its own writes"
    # Both sessions use the same prepared name on shared connections; only one sets a value.
    await first.run("PREPARE s READ f1")
    await second.run("PREPARE s WRITE f2")
    await first.run("SET zone 1")
    assert (await second.run("EXECUTE s y 7"))[0] == ""
    assert await first.run("EXECUTE s x") == ("", ["v29"])
    assert (await first.run("EXECUTE other x"))[0] == "NOSTMT"
    assert (await first.run("NONSENSE"))[0] == "MALFORMED"
    # A transaction takes effect at its commit and is rolled back when its caller disconnects.
    assert (await first.run("BEGIN"))[0] == "" and first.state == "T"
    assert (await first.run("WRITE x inside"))[0] == ""
    assert (await first.run("COMMIT"))[0] == "" and first.state == "I"
    assert await first.run("READ x") == ("", ["inside"])
    await first.run("BEGIN")
    await first.run("WRITE x lost")
    first.reset()
    await asyncio.sleep(0.2)
    assert (await second.run("BEGIN"))[0] == ""
    assert await second.run("READ x") == ("", ["inside"]), "an abandoned transaction is rolled back"
    assert (await second.run("COMMIT"))[0] == ""
    # An idle transaction is aborted, and its session stays usable.
    await second.run("BEGIN")
    await second.run("WRITE x idle")
    await asyncio.sleep(1.3)
    assert (await second.run("COMMIT"))[0] == "ABORTED" and second.state == "I"


async def run_load(hosts, seconds, outcomes, rng):
    """Runs callers that write and read back in sessions; each checks its own last write."""
    deadline = time.monotonic() + seconds

    async def run_sessions(number):
        value, uncertain_values = 0, set()  # may still take effect after a later write
        while time.monotonic() < deadline:
            host = rng.choice(hosts)
            caller = Caller(host.port, "orders", rng.choice(list(KEYS)))
            try:
                if await caller.open():
                    raise ConnectionError
                for _ in range(rng.randrange(1, 12)):
                    value += 1
                    error, _ = await caller.run(f"WRITE w{number} {value}")
                    outcomes[error] = outcomes.get(error, 0) + 1
                    if error in ("INDOUBT", "TIMEOUT", "CLOSED", "FAILED"):
                        uncertain_values.add(str(value))
                    if error:
                        break
                    error, rows = await caller.run(f"READ w{number}")
                    if not error and rows[0] not in uncertain_values:
                        assert rows == [str(value)], (number, value, rows)
                if rng.random() < 0.3:
                    caller.reset()
                else:
                    caller.writer.close()
            except (ConnectionError, OSError):
                uncertain_values.add(str(value))
                outcomes["closed"] = outcomes.get("closed", 0) + 1
                await asyncio.sleep(0.05)
    await asyncio.gather(*(run_sessions(session_number) for session_number in range(16)))


async def check_faults(system, hosts, rng):
    outcomes = {}
    load_task = asyncio.ensure_future(run_load(hosts, 9, outcomes, rng))
    await asyncio.sleep(1)
    hosts[-1].process.send_signal(signal.SIGKILL)
    hosts[-1].process.wait()
    await asyncio.sleep(1)
    hosts[-1].start()
    for instance in system.groups["g1"].instances.values():
        for writer in list(instance.connections):
            if rng.random() < 0.5:
                writer.transport.abort()
    await asyncio.sleep(1)
    await check_odd_entries(system, hosts)
    old_primary = system.groups["g1"].primary()
    old_primary.kill()
    await wait_until(lambda: is_replaced(system, old_primary), "another primary")
    old_primary.revive()
    await load_task
    assert outcomes.get("", 0) > 300, outcomes
    for host in hosts:
        assert host.process.poll() is None, f"a host exited unexpectedly:\n{read_log(host)}"
    print("outcomes of writes under faults:", outcomes)


async def check_odd_entries(system, hosts):
    """Hosts have to go on and follow the other entries, each time that another writer leaves one."""
    replica = next(instance for instance in system.groups["g2"].instances.values()
                   if instance.role == "replica")
    for number, text in enumerate(ODD_ENTRIES):
        await system.store.put_text("servers", f"odd{number}", text)
        replica.draining = not replica.draining
        await replica.register()

        async def is_followed():
            return all([await host.shows_leaving(replica) == replica.draining for host in hosts
                        if host.process.poll() is None])
        await wait_until(is_followed, f"the list is followed beside {text[:60]}", 3)
        for host in hosts:
            assert host.process.poll() is None, f"a host ended at {text[:60]}"
    replica.draining = False
    await replica.register()


async def is_replaced(system, old_primary):
    new_primary = system.groups["g1"].primary()
    return new_primary is not None and new_primary is not old_primary


async def check_withdrawal(system, hosts):
    caller = Caller(hosts[0].port, "orders", "key-b")
    assert await caller.open() == ""
    await system.configure({"key-a": "alpha"}, ROUTES)

    async def is_refused():
        return (await caller.run("READ x"))[0] in ("UNAUTH", "CLOSED")
    await wait_until(is_refused, "a withdrawn key is refused on an open session", 3)


async def check_graceful_stop(hosts):
    for host in hosts:
        host.process.terminate()
    for host in hosts:
        assert host.process.wait(8) == 0, read_log(host)


def read_log(host):
    host.log_file.seek(0)
    return host.log_file.read()[-12000:]


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--base", type=int, default=17000)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args()
    rng, system = random.Random(args.seed), System(args.base)
    await system.start()
    await system.configure(KEYS, ROUTES)
    hosts = [Host(args.program, n, system.zones[n % 2], args.base, system)
             for n in range(args.hosts)]
    try:
        for host in hosts:
            await wait_until(host.is_ready, "a ready host")
        await asyncio.sleep(0.5)
        await check_sessions(hosts)
        await check_faults(system, hosts, rng)
        await check_withdrawal(system, hosts)
        await check_graceful_stop(hosts)
        print(f"line demo: passed, seed {args.seed}")
    finally:
        for host in hosts:
            if host.process.poll() is None:
                host.process.kill()
        if os.environ.get("SHOW_LOGS"):
            print(*(read_log(host) for host in hosts), sep="\n----\n")


async def run():
    status = 0
    try:
        await main()
    except AssertionError as error:
        print(f"line demo: failed: {error}")
        status = 1
    sys.stdout.flush()
    os._exit(status)  # skips the cleanup of pending watches of the stand-in


if __name__ == "__main__":
    asyncio.run(run())
