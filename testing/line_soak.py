#!/usr/bin/env python3
"""Runs randomized faults against entry hosts, which run as real processes.

Loopback proxies in front of each instance and the store delay traffic, block one direction, go
silent and reset connections. Signals stop, pause, kill and restart the hosts. Instances are killed,
lag and lose answers, and the configuration is stored anew. Faults follow one another and overlap.
While it runs, the soak checks the guarantees that callers and instances observe; at the end, it
checks every acknowledged write.

usage: line_soak.py PROGRAM [--seed N] [--seeds FIRST-LAST] [--seconds S] [--hosts N] [--base PORT]

Seeds that once failed are kept as regression cases in REGRESSIONS; CI runs them with the short
ones.
"""
import argparse
import asyncio
import collections
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import line_demo  # noqa: E402
from line_standins import ODD_ENTRIES, System  # noqa: E402

# seed -> cause of the failure that it reproduced
REGRESSIONS = {}


class Proxy:
    """Forwards one port. Modes: pass, delay, to (blocks traffic to the target), back (blocks
    traffic from it), silent (blocks both)."""

    def __init__(self, port, target):
        self.port, self.target, self.mode, self.writers = port, target, "pass", set()

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.forward(reader, target_writer, "to"),
                             self.forward(target_reader, writer, "back"))
        self.writers -= {writer, target_writer}

    async def forward(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while self.mode in (direction, "silent"):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()

    def reset(self):
        for writer in set(self.writers):
            writer.transport.abort()


def restart(host):
    """Restarts a host that has exited, unless an overlapping fault has already restarted it."""
    if host.process.poll() is not None:
        host.start()


class Soak:
    def __init__(self, args, seed):
        self.args, self.rng = args, random.Random(seed)
        self.system = System(args.base)
        self.acknowledged, self.uncertain, self.violations, self.outcome_counts = {}, {}, [], {}

    async def start(self):
        system = self.system
        await system.start()
        self.proxies = []
        for group in system.groups.values():
            for instance in group.instances.values():
                proxy = Proxy(next(system.ports), instance.port)
                await system.listen(proxy.serve, proxy.port)
                instance.port = proxy.port
                await instance.register()
                self.proxies.append(proxy)
        store = Proxy(next(system.ports), system.store_port)
        await system.listen(store.serve, store.port)
        system.store_port = store.port
        self.proxies.append(store)
        await system.configure(line_demo.KEYS, line_demo.ROUTES)
        self.hosts = [line_demo.Host(self.args.program, number, system.zones[number % 2],
                                     self.args.base, system)
                      for number in range(self.args.hosts)]
        for host in self.hosts:
            await line_demo.wait_until(host.is_ready, "a ready host", 20)

    async def run_worker(self, number, deadline):
        """Runs one worker. Only it writes its item, so it knows which values the item may hold."""
        value = 0
        while time.monotonic() < deadline:
            caller = line_demo.Caller(self.rng.choice(self.hosts).port, "orders",
                                      self.rng.choice(list(line_demo.KEYS)))
            item = f"w{number}"
            try:
                if await asyncio.wait_for(caller.open(), 3):
                    raise ConnectionError
                for _ in range(self.rng.randrange(1, 8)):
                    value += 1
                    await self.write_once(caller, item, str(value))
                caller.writer.close()
            except (ConnectionError, OSError, asyncio.TimeoutError, StopAsyncIteration):
                await asyncio.sleep(0.05)

    async def write_once(self, caller, item, value):
        in_transaction = self.rng.random() < 0.3
        self.uncertain.setdefault(item, set()).add(value)  # until the answer shows the outcome
        texts = ["BEGIN", f"WRITE {item} {value}", "COMMIT"] if in_transaction \
            else [f"WRITE {item} {value}"]
        for text in texts:
            error, _ = await asyncio.wait_for(caller.run(text), 8)
            if error:
                break
        self.outcome_counts[error] = self.outcome_counts.get(error, 0) + 1
        if error in ("BUSY", "ABORTED", "LAGGING", "READONLY", "OVERLOAD", "WRONGNODE"):
            self.uncertain[item].discard(value)
            self.check_not_stored(item, value, error)
        if error:
            raise StopAsyncIteration
        self.uncertain[item].discard(value)
        self.acknowledged[item] = value
        error, rows = await asyncio.wait_for(caller.run(f"READ {item}"), 8)
        if not error and rows != [value] and rows[0] not in self.uncertain[item]:
            self.violations.append(f"{item}: wrote {value}, read {rows}")

    def check_not_stored(self, item, value, error):
        for group in self.system.groups.values():
            primary = group.primary()
            if primary and any(entry[2] == item and entry[3] == value for entry in primary.log):
                self.violations.append(f"{item}={value} is stored although the answer was {error}")

    async def inject_faults(self, deadline):
        """Starts faults at random intervals, some before the previous one has ended."""
        while time.monotonic() < deadline:
            asyncio.ensure_future(self.inject_fault(self.rng.randrange(11)))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))

    async def inject_fault(self, kind):
        rng, host = self.rng, self.rng.choice(self.hosts)
        group = rng.choice(list(self.system.groups.values()))
        instance = rng.choice(list(group.instances.values()))
        pause = rng.uniform(0.2, 2.0)
        if kind == 0:
            host.process.send_signal(signal.SIGKILL)
            host.process.wait()
            await asyncio.sleep(pause / 2)
            restart(host)
        elif kind == 1:
            host.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(pause)
            host.process.send_signal(signal.SIGCONT)
        elif kind == 2:
            host.process.terminate()
            await asyncio.get_running_loop().run_in_executor(None, host.process.wait)
            restart(host)
        elif kind in (3, 4):
            proxy = rng.choice(self.proxies)
            proxy.mode = rng.choice(["delay", "to", "back", "silent"])
            await asyncio.sleep(pause)
            proxy.mode = "pass"
        elif kind == 5:
            rng.choice(self.proxies).reset()
        elif kind == 6 and sum(other.is_running for other in group.instances.values()) == 3:
            instance.kill()
            await asyncio.sleep(pause * 2)
            instance.revive()
        elif kind == 7:
            instance.replay_lag = rng.choice([0.02, 0.3, 1.0])
        elif kind == 8:
            instance.answers_to_lose = rng.randrange(1, 4)
        elif kind == 9:
            await self.system.configure(line_demo.KEYS, line_demo.ROUTES)
        elif kind == 10:
            await self.system.store.put_text("servers", "odd", rng.choice(ODD_ENTRIES))
            await asyncio.sleep(pause)
            await self.system.store.delete("servers", "odd")

    async def check_final_state(self):
        """Ends all faults; checks that acknowledged writes are stored and statements ran once."""
        for proxy in self.proxies:
            proxy.mode = "pass"
        for group in self.system.groups.values():
            for instance in group.instances.values():
                instance.replay_lag = 0.02
                instance.revive()

        async def is_served():
            try:
                caller = line_demo.Caller(self.hosts[0].port, "posts", "key-a")
                if await asyncio.wait_for(caller.open(), 3):
                    return False
                error, _ = await asyncio.wait_for(caller.run("WRITE end 1"), 5)
                return not error
            except (ConnectionError, OSError, asyncio.TimeoutError):
                return False
        for host in self.hosts:
            if host.process.poll() is not None:
                last_line = (line_demo.read_log(host).splitlines() or ["no log"])[-1]
                self.violations.append(f"host at port {host.port} exited unexpectedly: {last_line}")
        await line_demo.wait_until(is_served, "service after the faults", 12)
        primary = self.system.groups["g1"].primary()
        for item, value in self.acknowledged.items():
            stored = primary.get_value(item)
            if stored != value and stored not in self.uncertain[item]:
                self.violations.append(f"{item}: {value} was acknowledged, but {stored} is stored")
        effects = collections.Counter((entry[2], entry[3]) for entry in primary.log
                                      if entry[2] != "end")
        self.violations += [f"{item}: {value} was written {count} times"
                        for (item, value), count in effects.items() if count > 1]
        customers = set(line_demo.KEYS.values())
        for group in self.system.groups.values():
            for instance in group.instances.values():
                unknown = [statement for statement in instance.statements
                           if statement[1] not in customers]
                if unknown:
                    self.violations.append(f"statement for an unknown customer: {unknown[0]}")

    async def run(self):
        await self.start()
        deadline = time.monotonic() + self.args.seconds
        tasks = [self.run_worker(number, deadline) for number in range(12)] + \
            [self.inject_faults(deadline)]
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.5)  # lets faults in progress end
        await self.check_final_state()

    def stop(self):
        for host in getattr(self, "hosts", []):
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds",
                        help="FIRST-LAST: runs these seeds in sequence, each in its own process")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--base", type=int, default=21000)
    args = parser.parse_args()
    # Ports in the ephemeral range could be taken by another process while a host restarts.
    lowest = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    if args.base + 300 > lowest:
        parser.error(f"--base must be at most {lowest - 300}, below the ephemeral ports")
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    if args.seeds:
        first, last = map(int, args.seeds.split("-"))
        failed = []
        for seed in range(first, last + 1):
            child = await asyncio.create_subprocess_exec(
                sys.executable, __file__, args.program, "--seed", str(seed), "--seconds",
                str(args.seconds), "--hosts", str(args.hosts), "--base", str(args.base))
            if await child.wait():
                failed.append(seed)
        print(f"soak: seeds {args.seeds}, failed: {failed or 'none'}")
        return 1 if failed else 0
    soak = Soak(args, args.seed)
    try:
        await soak.run()
    except AssertionError as error:
        soak.violations.append(str(error))
    finally:
        soak.stop()
    print(f"soak: seed {args.seed}: {'FAILED' if soak.violations else 'passed'}, "
          f"outcomes {soak.outcome_counts}", *soak.violations[:5],
          sep="\n  " if soak.violations else " ")
    if soak.violations and os.environ.get("SHOW_LOGS"):
        for host in soak.hosts:
            print("----", host.port, line_demo.read_log(host), sep="\n")
    return 1 if soak.violations else 0


async def run():
    status = await main()
    sys.stdout.flush()
    os._exit(status)  # skips the cleanup of pending watches of the stand-in


asyncio.run(run())
