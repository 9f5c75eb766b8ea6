"""Series of faults around a promotion, for the soak (line_soak.py): a cause that makes a promotion
necessary, or lets the hosts believe so, and other faults beside it, some of them timed by the order.
"""
import asyncio
import itertools
import time


class PromotionSeries:
    """The part of Soak that injects these series. It uses Soak's system, hosts, random numbers
    (rng, set_rng()), notes and single faults."""

    def __init__(self):
        self.replacing_groups = set()  # names of groups in which an instance is being replaced

    async def inject_series(self, group, deadline):
        self.set_rng(f"series in {group.name}")
        await asyncio.sleep(0.5)
        for number in itertools.count():
            if time.monotonic() > deadline - 3:
                break
            series = asyncio.ensure_future(self.run_series(group, number))
            self.start_fault(series)
            await asyncio.wait([series], timeout=self.rng.uniform(4, 10))
            await asyncio.sleep(self.rng.uniform(0.5, 2))

    async def run_series(self, group, number):
        """Makes a promotion necessary, or lets the hosts believe so, beside other faults."""
        self.set_rng(f"series {number} in {group.name}")
        rng = self.rng
        # Causes; faults of nearly each such series; faults of some.
        themes = [
            ([self.crash_primary], [self.lose_orders, self.hold_behind],
             [self.kill_holder, self.hold_deaf, self.freeze_holder]),
            ([self.crash_primary, self.expire_entries], [self.hide_replica, self.hold_deaf],
             [self.hold_behind, self.restart_replica]),
            ([self.cut_primary], [self.replace_replica],
             [self.restart_replica, self.freeze_holder, self.lose_orders]),
            ([self.cut_primary, self.replace_primary, self.expire_entries], [],
             [self.lose_orders, self.hold_behind, self.hold_deaf, self.hide_replica,
              self.restart_replica, self.replace_replica, self.kill_holder, self.freeze_holder,
              self.cut_holder_from_store, self.cut_holder_from_replica]),
        ]
        causes, usual, occasional = rng.choice(themes)
        cause = rng.choice(causes)
        chosen = [fault for fault in usual if rng.random() < 0.9] + \
            [fault for fault in occasional if rng.random() < 0.3]
        self.note(f"series in {group.name}: {' '.join(f.__name__ for f in [cause, *chosen])}")
        at = rng.uniform(0.5, 2)
        faults = [self.run_later(group, cause, at, False, number)]
        for fault in chosen:
            follows_order = fault not in (self.lose_orders, self.hide_replica)
            faults.append(self.run_later(group, fault, rng.uniform(0, at + 1),
                                         follows_order and rng.random() < 0.6, number))
        await asyncio.gather(*faults)

    async def run_later(self, group, fault, pause, from_order, number):
        """Starts a fault after a pause, or within a second from the next promotion order."""
        self.set_rng(f"{fault.__name__} {number} in {group.name}")
        if from_order:
            count, end = group.order_count, time.monotonic() + 6
            while group.order_count == count and time.monotonic() < end:
                await asyncio.sleep(0.01)
            pause = min(pause, self.rng.uniform(0, 1))
        await asyncio.sleep(pause)
        await fault(group)

    def pick_replica(self, group, ordered_share=0.4):
        """Returns a replica, often the one whose promotion was ordered last."""
        replicas = [instance for instance in group.instances.values()
                    if instance.role == "replica" and instance.is_running]
        ordered = [replica for replica in replicas if replica.id == group.last_ordered]
        if ordered and self.rng.random() < ordered_share:
            return ordered[0]
        return self.rng.choice(replicas) if replicas else None

    def find_holder(self, group):
        """Returns the host that holds the promotion duty of a group, or any if none does."""
        duty = self.system.store.objects.get(("quetzalpaddle-promoters", group.name))
        name = duty["spec"]["holder"] if duty else ""
        return next((host for host in self.hosts if host.name == name),
                    self.rng.choice(self.hosts))

    async def crash_primary(self, group):
        primary = group.primary()
        if primary and primary.is_running:
            await self.crash(primary, self.rng.choice([self.rng.uniform(1.3, 2.5),
                                                       self.rng.uniform(2.5, 5)]))

    async def cut_hosts(self, name, hosts, pause):
        proxy = self.system.proxies[name]
        self.note(f"{' '.join(host.name for host in hosts)} cut off from {name} for {pause:.1f} s")
        for host in hosts:
            proxy.cut(host)
        await asyncio.sleep(pause)
        for host in hosts:
            proxy.mend(host)

    async def cut_primary(self, group):
        """Cuts the primary off from the holder of the duty, from some other hosts, and often from
        its replicas."""
        primary, holder, rng = group.primary(), self.find_holder(group), self.rng
        if primary:
            hosts = {holder, *rng.sample(self.hosts, rng.choice([0, 0, 1, 2]))}
            replicas = [instance for instance in group.instances.values()
                        if instance.role == "replica" and not instance.deaf]
            if rng.random() < 0.6:
                group.note(f"{' '.join(replica.id for replica in replicas)} receive nothing")
                for replica in replicas:
                    replica.deaf = True
            await self.cut_hosts(primary.id, hosts, rng.uniform(2.5, 6))
            for replica in replicas:
                replica.deaf = False

    async def replace(self, group, instance):
        if instance and group.name not in self.replacing_groups:
            self.replacing_groups.add(group.name)
            await self.system.replace(instance, self.rng.uniform(0.7, 2),
                                      self.rng.random() < 0.75)
            self.replacing_groups.discard(group.name)

    async def replace_primary(self, group):
        await self.replace(group, group.primary())

    async def replace_replica(self, group):
        await self.replace(group, self.pick_replica(group))

    async def expire_entries(self, group):
        """Takes the store down until all entries have expired; often all hosts restart then."""
        store, rng = self.system.store, self.rng
        if not store.is_running:
            return
        outage = rng.uniform(2, 4.5)
        self.note(f"the store is down for {outage:.1f} s")
        store.stop()
        if rng.random() < 0.7:
            pause = rng.uniform(1, outage)
            await asyncio.sleep(pause)
            outage -= pause
            for host in self.hosts:
                self.start_fault(self.kill_host(host, 0.5))
        await asyncio.sleep(outage)
        self.note("the store is back")
        store.start()

    async def lose_orders(self, group):
        self.system.late_share = self.rng.choice([0.5, 1.0])
        self.note(f"{self.system.late_share:.0%} of the promotion orders get no answer")
        await asyncio.sleep(self.rng.uniform(3, 6))
        self.system.late_share = 0.0
        self.note("promotion orders are answered")

    async def hold_deaf(self, group):
        replica, seconds = self.pick_replica(group), self.rng.uniform(1, 4)
        if replica:
            group.note(f"{replica.id} receives nothing for {seconds:.1f} s, "
                       f"at {replica.received_position()}")
            replica.deaf = True
            await asyncio.sleep(seconds)
            replica.deaf = False
            group.note(f"{replica.id} receives again")

    async def hold_behind(self, group):
        """Lets replicas receive only now and then, so that one is behind most of the time."""
        end = time.monotonic() + self.rng.uniform(5, 9)
        group.note("a replica is behind, mostly the one whose promotion was ordered last")
        while time.monotonic() < end:
            replica = self.pick_replica(group, 0.9)
            if replica and not replica.deaf:
                replica.deaf = True
                await asyncio.sleep(0.6)
                replica.deaf = False
            await asyncio.sleep(0.1)
        group.note("no replica is behind")

    async def hide_replica(self, group):
        """Cuts a replica off from the store, until its entry has expired; nothing else notices."""
        replica = self.pick_replica(group)
        if replica:
            group.note(f"{replica.id} does not reach the store")
            replica.reaches_store = False
            await asyncio.sleep(self.rng.uniform(2, 5))
            replica.reaches_store = True
            group.note(f"{replica.id} reaches the store")

    async def restart_replica(self, group):
        replica = self.pick_replica(group)
        if replica:
            await self.crash(replica, self.rng.uniform(0.1, 0.7))

    async def kill_holder(self, group):
        await self.kill_host(self.find_holder(group), 0.5)

    async def freeze_holder(self, group):
        await self.freeze_host(self.find_holder(group), self.rng.uniform(0.5, 4))

    async def cut_holder_from_store(self, group):
        await self.cut_hosts("store", [self.find_holder(group)], self.rng.uniform(1, 4))

    async def cut_holder_from_replica(self, group):
        replica = self.pick_replica(group)
        if replica:
            await self.cut_hosts(replica.id, [self.find_holder(group)], self.rng.uniform(1, 4))
