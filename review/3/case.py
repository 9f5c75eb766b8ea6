"""The host that has ordered a promotion is killed before the answer; the order is carried out 8 s
later, when the old primary is back and another holder of the duty has resumed the replicas."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

CRASH_SECONDS = 3.0
KILL_SECONDS = 1.2   # from the order to the kill
LATE_SECONDS = 8.0   # from the order to its execution
DEAF_SECONDS = 3.0   # the candidate receives nothing for this long before that


async def scenario(system, hosts):
    if not harness.TROUBLE:
        await asyncio.sleep(20)
        return
    record, group = system.record, system.group
    ordered = asyncio.get_running_loop().create_future()

    async def lose_first_order(instance, holder, token):
        if ordered.done():
            return None
        record.write(f"promotion of {instance} is ordered by {holder}, token {token}: no answer, "
                     f"it is carried out {LATE_SECONDS} s later")
        ordered.set_result((instance, holder, token))
        await asyncio.sleep(60)  # the connection returns nothing further
    system.on_order = lose_first_order

    primary = system.primary()
    record.write(f"{primary.id}, the primary, crashes")
    primary.kill()
    back = asyncio.get_running_loop().call_later(CRASH_SECONDS, lambda: (
        record.write(f"{primary.id} is back with its log"), primary.revive()))
    instance, holder, token = await asyncio.wait_for(ordered, 6)
    holder_host = next(host for host in hosts if host.name == holder)
    await asyncio.sleep(KILL_SECONDS)
    holder_host.kill()
    await asyncio.sleep(harness.RESTART_SECONDS)
    holder_host.start()
    await asyncio.sleep(LATE_SECONDS - DEAF_SECONDS - harness.RESTART_SECONDS -
                        KILL_SECONDS)
    candidate = group.instances[instance]
    record.write(f"{candidate.id} receives nothing")
    candidate.deaf = True
    await asyncio.sleep(DEAF_SECONDS)
    await group.promote(instance, token, holder, ", carried out late")
    await asyncio.sleep(2)
    candidate.deaf = False
    record.write(f"{candidate.id} receives again")
    await asyncio.sleep(4)


asyncio.run(harness.run_case(pathlib.Path(__file__).parent, 3, scenario, 24))
