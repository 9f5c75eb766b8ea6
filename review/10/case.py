"""A route that is moved to another service and back, while a replica receives nothing."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import trial  # noqa: E402

KEY, STALENESS_MS, DEAF_SECONDS, SESSIONS, READS = "key-a", 2500, 6, 12, 12


def on_service(group):
    return {"orders": (group, "read_your_writes", STALENESS_MS)}


async def run_session(run, number, moved, moved_back, breaches):
    host = run.hosts[number % len(run.hosts)]
    caller = trial.Caller(run, f"session {number}", host, "orders", KEY)
    if await caller.open():
        raise trial.CannotRun("a session is refused")
    item, first, second = f"item{number}", run.system.groups["g1"], run.system.groups["g2"]
    if (await caller.run(f"WRITE {item} 1"))[0]:
        return caller.reset()
    run.note(f"{caller.name}: the commit of {item}=1 at g1 is acknowledged")
    acknowledged_at = caller.answered_at
    await moved.wait()
    while True:  # until the route's new service has committed one of its writes
        query_id = f"{number:04x}{time.monotonic_ns():012x}"
        error, _ = await caller.run(f"WRITE other{number} 1", query_id)
        if not error and any(entry.id == query_id for entry in second.runs):
            run.note(f"{caller.name}: a commit at g2 is acknowledged")
            break
        if time.monotonic() > acknowledged_at + 2:
            return caller.reset()
        await asyncio.sleep(0.05)
    await moved_back.wait()
    for _ in range(READS):
        query_id = f"{number:04x}{time.monotonic_ns():012x}"
        error, rows = await caller.run(f"READ {item}", query_id)
        ran = next((entry for entry in first.runs if entry.id == query_id and entry.is_run), None)
        if not error and ran and rows != ["1"]:
            since = caller.sent_at - acknowledged_at
            breaches.append(
                f"STALE: {caller.name} on {host.name} read {item} at {ran.instance} of g1 as "
                f"{rows[0]!r}, {since:.2f} s after its own commit of {item}=1 at g1 was "
                "acknowledged")
        await asyncio.sleep(0.02)
    caller.reset()


async def case(run, has_trouble):
    await run.start(on_service("g1"), {KEY: "alpha"})
    await asyncio.sleep(2)
    breaches, moved, moved_back = [], asyncio.Event(), asyncio.Event()
    deaf = next(instance for instance in run.system.groups["g1"].instances.values()
                if instance.role == "replica")
    if has_trouble:
        deaf.deaf = True
        run.note(f"{deaf.id} of g1, a replica, receives nothing for {DEAF_SECONDS} s")
    deaf_at = time.monotonic()
    sessions = [asyncio.ensure_future(run_session(run, number, moved, moved_back, breaches))
                for number in range(SESSIONS)]
    await asyncio.sleep(0.3)
    await run.configure(on_service("g2"))
    moved.set()
    await asyncio.sleep(0.6)
    await run.configure(on_service("g1"))
    moved_back.set()
    await asyncio.gather(*sessions)
    await asyncio.sleep(deaf_at + DEAF_SECONDS - time.monotonic())
    if has_trouble:
        deaf.deaf = False
        run.note(f"{deaf.id} receives again")
    await asyncio.sleep(1)
    return breaches

trial.main(case, __file__, groups=("g1", "g2"))
