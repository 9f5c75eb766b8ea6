"""A replica that was suspended for the planned promotion of the other one restarts while nobody
may ask it. The hosts pass on what it alone receives, until the late order takes effect."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import trial  # noqa: E402

WRITERS = 6
LATE_SECONDS, DEAF_SECONDS, REPLICA_DOWN_SECONDS, HOST_DOWN_SECONDS = 2.5, 5.0, 0.5, 3.0


async def case(run, has_trouble):
    await run.start({"posts": ("g1", "primary", 0)}, {"key-a": "alpha"})
    group, is_writing = run.system.groups["g1"], asyncio.Event()
    is_writing.set()
    writers = [asyncio.ensure_future(trial.keep_writing(run, number, is_writing))
               for number in range(WRITERS)]
    await asyncio.sleep(5)
    primary, ordered = group.primary(), asyncio.Event()
    promote = run.system.promote

    async def take_order(body, headers):
        if not ordered.is_set():
            ordered.candidate = body["id"]
            ordered.holder = headers.get("quetzalpaddle-duty-holder")
            ordered.set()
            answer = await promote(body, headers)
            run.system.late_share = 0.0  # one order is late, the others are answered
            return answer
        return await promote(body, headers)
    run.system.promote = take_order
    if has_trouble:
        run.system.late_share, run.system.late_seconds = 1.0, (LATE_SECONDS, LATE_SECONDS)
    primary.draining = True
    group.note(f"{primary.id}, the primary, is draining")
    await primary.register()
    await asyncio.wait_for(ordered.wait(), 20)
    ordered_at = time.monotonic()
    candidate = group.instances[ordered.candidate]
    other = next(instance for instance in group.instances.values()
                 if instance not in (primary, candidate))
    holder = next(host for host in run.hosts if host.name == ordered.holder)
    if has_trouble:
        run.kill(holder)
        candidate.deaf = True
        group.note(f"{candidate.id} at {candidate.received_position()} receives nothing")
        other.kill()
        await asyncio.sleep(REPLICA_DOWN_SECONDS)
        other.revive()
        await asyncio.sleep(ordered_at + HOST_DOWN_SECONDS - time.monotonic())
        holder.start()
        run.note(f"{holder.name} starts again")
        await asyncio.sleep(ordered_at + DEAF_SECONDS - time.monotonic())
        candidate.deaf = False
        group.note(f"{candidate.id} receives again")
    await asyncio.sleep(8)
    is_writing.clear()
    await asyncio.gather(*writers)
    await asyncio.sleep(1.5)
    return trial.find_lost(group)

trial.main(case, __file__)
