#!/usr/bin/env python3
"""Runs entry hosts of the statement protocol as real processes against the stand-ins and checks
what callers and instances see: reads of own writes, pinned transactions, renamed prepared
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
from line_standins import System  # noqa: E402


class Caller:
    """A session. Statements return (error code or "", rows)."""

    def __init__(self, port, database, key):
        self.port, self.database, self.key, self.state = port, database, key, "I"

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(f"CONNECT {self.database} {self.key}\r\n".encode())
        line = (await self.reader.readline()).decode().split(" ")
        return "" if line[0] == "READY" else line[1] if len(line) > 1 else "CLOSED"

    async def run(self, text, query_id=None):
        query_id = query_id or f"{random.getrandbits(64):016x}"
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
                self.state = rest[0]
                return error, rows
            elif not line:
                return "CLOSED", rows

    def reset(self):
        self.writer.transport.abort()


class Host:
    def __init__(self, program, number, zone, base, system):
        self.port, self.admin, self.peer = base + 100 + number, base + 200 + number, base + 50
        self.ip, self.program = f"127.0.1.{number + 1}", program
        settings = {"host": f"h{number}", "data_centre": zone,
                    "callers": f"127.0.0.1:{self.port}", "admin": f"127.0.0.1:{self.admin}",
                    "peer_address": self.ip, "peer_ports": [self.peer], "seeds": [],
                    "store": f"127.0.0.1:{system.store_port}",
                    "promotions": f"127.0.0.1:{system.store_port}", "stop_limit_s": 4,
                    "leaving_limit_ms": 7000, "rate_tolerance": 0.1, "cores": 1}
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        json.dump(settings, self.file)
        self.file.flush()
        self.log = tempfile.NamedTemporaryFile("w+")
        self.start()

    def start(self):
        self.process = subprocess.Popen([self.program, "entry", self.file.name], stdout=self.log,
                                        stderr=self.log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        except OSError:
            return False


async def until(check, what, limit=10):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await check():
            return
        await asyncio.sleep(0.05)
    raise AssertionError(f"not within {limit} s: {what}")


KEYS = {"key-a": "alpha", "key-b": "beta"}
ROUTES = {"orders": ("g1", "read_your_writes", 2500), "posts": ("g1", "primary", 0),
          "looks": ("g2", "bounded_staleness", 1500)}


async def check_sessions(hosts):
    a, b = Caller(hosts[0].port, "orders", "key-a"), Caller(hosts[1].port, "orders", "key-b")
    assert await a.open() == "" and await b.open() == ""
    assert await Caller(hosts[0].port, "none", "key-a").open() == "NODATABASE"
    assert await Caller(hosts[0].port, "orders", "key-x").open() == "UNAUTH"
    for n in range(30):
        assert (await a.run(f"WRITE x v{n}"))[0] == ""
        assert await a.run("READ x") == ("", [f"v{n}"]), "a session reads its own writes"
    # Names collide between sessions; values differ; both share connections.
    await a.run("PREPARE s READ f1")
    await b.run("PREPARE s WRITE f2")
    await a.run("SET zone 1")
    assert (await b.run("EXECUTE s y 7"))[0] == ""
    assert await a.run("EXECUTE s x") == ("", ["v29"])
    assert (await a.run("EXECUTE other x"))[0] == "NOSTMT"
    assert (await a.run("NONSENSE"))[0] == "MALFORMED"
    # A transaction sees its own state and rolls back when its caller leaves.
    assert (await a.run("BEGIN"))[0] == "" and a.state == "T"
    assert (await a.run("WRITE x inside"))[0] == ""
    assert (await a.run("COMMIT"))[0] == "" and a.state == "I"
    assert await a.run("READ x") == ("", ["inside"])
    await a.run("BEGIN")
    await a.run("WRITE x lost")
    a.reset()
    await asyncio.sleep(0.2)
    assert (await b.run("BEGIN"))[0] == ""
    assert await b.run("READ x") == ("", ["inside"]), "an abandoned transaction is rolled back"
    assert (await b.run("COMMIT"))[0] == ""
    # A transaction left idle fails, and the session goes on.
    await b.run("BEGIN")
    await b.run("WRITE x idle")
    await asyncio.sleep(1.3)
    assert (await b.run("COMMIT"))[0] == "ABORTED" and b.state == "I"


async def load(hosts, seconds, results, rng):
    """Callers that write and read back on sessions; each checks its own last write."""
    end = time.monotonic() + seconds

    async def one(number):
        value, doubtful = 0, set()  # a write in doubt may still take effect after a later one
        while time.monotonic() < end:
            host = rng.choice(hosts)
            caller = Caller(host.port, "orders", rng.choice(list(KEYS)))
            try:
                if await caller.open():
                    raise ConnectionError
                for _ in range(rng.randrange(1, 12)):
                    value += 1
                    error, _ = await caller.run(f"WRITE w{number} {value}")
                    results[error] = results.get(error, 0) + 1
                    if error in ("INDOUBT", "TIMEOUT", "CLOSED", "FAILED"):
                        doubtful.add(str(value))
                    if error:
                        break
                    error, rows = await caller.run(f"READ w{number}")
                    if not error and rows[0] not in doubtful:
                        assert rows == [str(value)], (number, value, rows)
                if rng.random() < 0.3:
                    caller.reset()
                else:
                    caller.writer.close()
            except (ConnectionError, OSError):
                doubtful.add(str(value))
                results["closed"] = results.get("closed", 0) + 1
                await asyncio.sleep(0.05)
    await asyncio.gather(*(one(n) for n in range(16)))


async def check_faults(system, hosts, rng):
    results = {}
    running = asyncio.ensure_future(load(hosts, 9, results, rng))
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
    old = system.groups["g1"].primary()
    old.kill()
    await until(lambda: is_replaced(system, old), "another primary")
    old.revive()
    await running
    assert results.get("", 0) > 300, results
    for host in hosts:
        assert host.process.poll() is None, f"a host ended by itself:\n{read_log(host)}"
    print("outcomes of writes under faults:", results)


async def is_replaced(system, old):
    new = system.groups["g1"].primary()
    return new is not None and new is not old


async def check_withdrawal(system, hosts):
    caller = Caller(hosts[0].port, "orders", "key-b")
    assert await caller.open() == ""
    await system.configure({"key-a": "alpha"}, ROUTES)

    async def refused():
        return (await caller.run("READ x"))[0] in ("UNAUTH", "CLOSED")
    await until(refused, "a withdrawn key is refused on an open session", 3)


async def check_stop(hosts):
    for host in hosts:
        host.process.terminate()
    for host in hosts:
        assert host.process.wait(8) == 0, read_log(host)


def read_log(host):
    host.log.seek(0)
    return host.log.read()[-12000:]


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
            await until(host.is_ready, "a ready host")
        await asyncio.sleep(0.5)
        await check_sessions(hosts)
        await check_faults(system, hosts, rng)
        await check_withdrawal(system, hosts)
        await check_stop(hosts)
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
    os._exit(status)  # pending watches of the stand-in are of no interest


if __name__ == "__main__":
    asyncio.run(run())
