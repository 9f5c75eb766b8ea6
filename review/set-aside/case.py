"""A replica that starts again under its id, with nothing, as the primary crashes and the other
replica receives nothing."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import trial  # noqa: E402
import line_standins  # noqa: E402

WRITERS = 6
DEAF_SECONDS, PRIMARY_DOWN_SECONDS, REPLICA_DOWN_SECONDS = 6.0, 6.6, 0.8


class Instance(line_standins.Instance):
    """PROTOCOL.md: "An instance may start again under the `id` that it had. It then holds and knows
    nothing of before, and its counts start anew (`seqNo`). The field `born` [...] is the Unix
    millisecond of its start". "A primary that crashed comes back with its log"."""

    def __init__(self, *args, **keywords):
        super().__init__(*args, **keywords)
        self.born, self.count = int(time.time() * 1000), 0

    def revive(self):
        if not self.is_running:
            if self.role == "replica":
                self.log, self.applied = [], 0
            self.born, self.count = int(time.time() * 1000), 0
            super().revive()

    async def register(self):
        if self.is_running and self.reaches_store and self.group.store.is_running:
            self.checked_in_at, self.is_listed = time.monotonic(), True
            self.count += 1
            await self.group.store.put("servers", self.id, {
                "service": self.group.name, "address": f"127.0.0.1:{self.port}",
                "zoneId": self.zone, "version": "v1", "capacity": self.slots,
                "serverState": "in_service", "coldMs": 0, "dbRole": self.role,
                "seqNo": self.count, "born": self.born})


async def case(run, has_trouble):
    await run.start({"posts": ("g1", "primary", 0)}, {"key-a": "alpha"})
    group, is_writing = run.system.groups["g1"], asyncio.Event()
    is_writing.set()
    writers = [asyncio.ensure_future(trial.keep_writing(run, number, is_writing))
               for number in range(WRITERS)]
    await asyncio.sleep(4)
    primary = group.primary()
    first, second = [instance for instance in group.instances.values() if instance is not primary]
    if has_trouble:
        second.deaf = True
        group.note(f"{second.id} at {second.received_position()} receives nothing")
    await asyncio.sleep(2)
    if has_trouble:
        primary.kill()
        first.kill()
    await asyncio.sleep(REPLICA_DOWN_SECONDS)
    first.revive()
    await asyncio.sleep(DEAF_SECONDS - 2 - REPLICA_DOWN_SECONDS)
    if has_trouble:
        second.deaf = False
        group.note(f"{second.id} receives again")
    await asyncio.sleep(2 + PRIMARY_DOWN_SECONDS - DEAF_SECONDS)
    primary.revive()
    await asyncio.sleep(6)
    is_writing.clear()
    await asyncio.gather(*writers)
    await asyncio.sleep(1.5)
    return trial.find_lost(group)


trial.main(case, __file__, instance_class=Instance)
