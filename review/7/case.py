"""All hosts restart after a replica was lost that alone had received the newest commits. Nobody
knows of it any more, and the other replica, which had received nothing meanwhile, is promoted while
the primary is down."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import trial  # noqa: E402

WRITERS = 6
# At most as long as on the days of the site file: 6 s, 6.64 s and 0.73 s.
DEAF_SECONDS, PRIMARY_DOWN_SECONDS, HOST_DOWN_SECONDS = 6.0, 6.6, 0.7


async def sleep_until(at):
    await asyncio.sleep(at - time.monotonic())


async def case(run, has_trouble):
    await run.start({"posts": ("g1", "primary", 0)}, {"key-a": "alpha"})
    group, is_writing = run.system.groups["g1"], asyncio.Event()
    is_writing.set()
    writers = [asyncio.ensure_future(trial.keep_writing(run, number, is_writing))
               for number in range(WRITERS)]
    await asyncio.sleep(4)
    primary = group.primary()
    lost, deaf = [instance for instance in group.instances.values() if instance is not primary]
    deaf_at = time.monotonic()
    if has_trouble:
        deaf.deaf = True
        group.note(f"{deaf.id} at {deaf.received_position()} receives nothing")
    await asyncio.sleep(0.9)
    if has_trouble:
        lost.kill("is lost for good")
        group.instances.pop(lost.id)
        group.former_logs[lost.id] = {(entry[2], entry[3]) for entry in lost.log}
    await sleep_until(lost.checked_in_at + 3 * group.check_in_seconds)
    if has_trouble:  # after three check-in intervals of silence
        await run.system.store.delete("servers", lost.id)
        group.note(f"the entry of {lost.id} expires")
    await asyncio.sleep(0.1)
    if has_trouble:
        for host in run.hosts:
            run.kill(host)
    await asyncio.sleep(HOST_DOWN_SECONDS)
    if has_trouble:
        for host in run.hosts:
            host.start()
            run.note(f"{host.name} starts again")
    await asyncio.sleep(0.3)
    if has_trouble:
        primary.kill()
    crashed_at = time.monotonic()
    await sleep_until(deaf_at + DEAF_SECONDS)
    if has_trouble:
        deaf.deaf = False
        group.note(f"{deaf.id} receives again")
    await sleep_until(crashed_at + PRIMARY_DOWN_SECONDS)
    primary.revive()
    await asyncio.sleep(6)
    is_writing.clear()
    await asyncio.gather(*writers)
    await asyncio.sleep(1.5)
    return trial.find_lost(group)

trial.main(case, __file__)
