"""Evacuations of data centres, a customer far above its rate, and overload with several priorities,
for the soak (line_soak.py), with their checks."""
import asyncio
import random
import time

import line_demo
from line_oracle import CheckedCaller, selector
from line_proxy import Proxy

EVACUATION_SECONDS = 5  # evacuation_limit_ms of the hosts
# Until all hosts have an entry: the longest delay of a hub's next call to the store, and the
# interval of updates.
HEARING_SECONDS = 1.5
# Customer, rate and burst of the key that goes far above its rate, and the bound of its operations
# in any 5 s across all hosts.
LIMITED_KEY, LIMITED_CUSTOMER, RATE, BURST = "key-l", "lambda", 20, 20
WINDOW_SECONDS, MAX_OPERATIONS = 5, (RATE * 5 + BURST) * 1.1 + 20
PRIORITIES = {"posts": 0, "orders": 1, "looks": 2}
# Time that a statement takes in an overload.
OVERLOAD_WORK_SECONDS = 0.08


class Overload:
    """The part of Soak that injects these. It uses Soak's system, hosts, random numbers, notes,
    violations and single faults."""

    def __init__(self):
        self.evacuated = {}    # data centre -> [received at, heard at the latest]
        self.released_at = {}  # proxy -> when it last held up traffic
        self.frozen_count = 0
        self.overload_counts = dict.fromkeys(("evacuations", "floods", "overloads", "flooded"), 0)
        Proxy.observer = self.check_arrival

    async def inject_overload(self, deadline):
        """Draws which of them this run has, and when."""
        watch = asyncio.ensure_future(self.watch_troubles())
        rng, tasks = random.Random(f"{self.seed} overload"), []
        for task, share in ((self.evacuate, 0.6), (self.flood, 0.6), (self.overload, 0.6)):
            if rng.random() < share:
                tasks.append(self.run_overload(task, rng.uniform(0.3, 2), deadline))
        await asyncio.gather(*tasks)
        watch.cancel()

    async def run_overload(self, task, pause, deadline):
        self.set_rng(task.__name__)
        while time.monotonic() + pause < deadline:
            await asyncio.sleep(pause)
            await task()
            pause = self.rng.uniform(1, 4)

    async def watch_troubles(self):
        """Follows what delays the news of an entry or holds up what hosts have sent."""
        store = self.system.store
        while True:
            now, proxy = time.monotonic(), self.system.proxies["store"]
            if self.frozen_count or not store.is_running or proxy.mode != "pass" or proxy.cut_hosts:
                for times in self.evacuated.values():
                    if now <= times[1]:
                        times[1] = now + HEARING_SECONDS
            for proxy in self.system.proxies.values():
                if proxy.mode != "pass" or proxy.cut_hosts:
                    self.released_at[proxy] = now
            await asyncio.sleep(0.02)

    # Evacuations

    async def evacuate(self):
        rng, store = self.rng, self.system.store
        zones = rng.choice([self.system.zones[:1], self.system.zones[1:], self.system.zones])
        for zone in zones:
            self.note(f"{zone} is evacuated")
            now = time.monotonic()
            self.evacuated[zone] = [now, now + HEARING_SECONDS]
            await store.put("evacuations", zone, {})
        self.overload_counts["evacuations"] += 1
        await asyncio.sleep(rng.uniform(EVACUATION_SECONDS, EVACUATION_SECONDS + 4))
        for zone in zones:
            self.note(f"the evacuation of {zone} is lifted")
            del self.evacuated[zone]
            await store.delete("evacuations", zone)

    def check_arrival(self, proxy, data):
        """Checks a connection (no data) or bytes of hosts that reach the proxy of an instance."""
        instance = self.system.instances_by_port.get(proxy.target)
        times = self.evacuated.get(instance.zone) if instance else None
        if not times:
            return
        limit, at = max(times[0] + EVACUATION_SECONDS, times[1]), selector.arrived_after
        is_held_up = data and at - self.released_at.get(proxy, 0) < 0.3
        if at > limit and not is_held_up:
            self.oracle.report("EVACUATED", f"{instance.id} in {instance.zone} was reached "
                               f"{at - limit:.2f} s after the limit: {data[-80:] or 'connection'}")

    # Load

    async def keep_calling(self, name, database, key, customer, end):
        """Reads and writes until a time, without a pause between the answers."""
        rng, number = random.Random(f"{self.seed} {name}"), 0
        while time.monotonic() < end:
            caller = CheckedCaller(self.oracle, rng.choice(self.hosts).port, database, key, customer)
            try:
                if await asyncio.wait_for(caller.open(), 3):
                    raise ConnectionError
                while time.monotonic() < end:
                    number += 1
                    error, _ = await caller.run(
                        rng.choice([f"READ {name}", f"WRITE {name} {number}"]))
                    if error and not caller.can_continue():
                        raise ConnectionError
                    if error:
                        await asyncio.sleep(rng.uniform(0, 0.05))
            except (ConnectionError, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
            finally:
                if hasattr(caller, "writer"):
                    caller.writer.close()

    async def flood(self):
        """One customer calls far above its rate, at all hosts or at a single database."""
        seconds, count = self.rng.uniform(3, 7), self.rng.choice([4, 12])
        databases = self.rng.choice([list(PRIORITIES), ["looks"], ["posts"]])
        self.note(f"{LIMITED_CUSTOMER} floods for {seconds:.1f} s with {count} callers")
        self.overload_counts["floods"] += 1
        end, flood = time.monotonic() + seconds, self.overload_counts["floods"]
        await asyncio.gather(*(self.keep_calling(
            f"flood-{flood}-{number}", databases[number % len(databases)], LIMITED_KEY,
            LIMITED_CUSTOMER, end) for number in range(count)))

    async def overload(self):
        """Statements take long, and callers of all priorities ask for more than the slots serve."""
        seconds, count = self.rng.uniform(2, 5), self.rng.choice([12, 30])
        self.note(f"overload for {seconds:.1f} s with {count} callers")
        self.overload_counts["overloads"] += 1
        end, overload = time.monotonic() + seconds, self.overload_counts["overloads"]
        instances = [instance for group in self.system.groups.values()
                     for instance in group.instances.values()]
        for instance in instances:
            instance.work_seconds = OVERLOAD_WORK_SECONDS
        key, customer = self.rng.choice(list(line_demo.KEYS.items()))
        await asyncio.gather(*(self.keep_calling(
            f"overload-{overload}-{number}", list(PRIORITIES)[number % len(PRIORITIES)], key,
            customer, end) for number in range(count)))
        for instance in instances:
            del instance.work_seconds

    async def freeze_host(self, host, pause):
        self.frozen_count += 1
        await super().freeze_host(host, pause)
        self.frozen_count -= 1

    def check_rate(self):
        """Checks the operations of the limited customer in any 5 s, each counted when an instance
        first ran it."""
        first = {}
        for group in self.system.groups.values():
            for run in group.runs:
                if run.customer == LIMITED_CUSTOMER and run.is_run:
                    first[run.id] = min(run.at, first.get(run.id, run.at))
        times, most, start = sorted(first.values()), 0, 0
        for end, at in enumerate(times):
            while at - times[start] >= WINDOW_SECONDS:
                start += 1
            most = max(most, end + 1 - start)
        self.overload_counts["flooded"] = most
        if most > MAX_OPERATIONS:
            self.oracle.report("RATE", f"{most} operations of {LIMITED_CUSTOMER} in 5 s, "
                               f"{MAX_OPERATIONS:.0f} are allowed")
