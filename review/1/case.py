"""The store is down; meanwhile the entries of the instances expire and all hosts restart. On its
return the entries of the primary and one replica are back after 1.6 s."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness  # noqa: E402

OUTAGE_SECONDS = 6.9
BACK_AFTER = {"i2": 0.1, "i0": 1.6, "i1": 1.6}  # "within about two seconds of its return"


async def scenario(system, hosts):
    if not harness.TROUBLE:
        await asyncio.sleep(20)
        return
    record, store = system.record, system.store
    record.write("the store is down")
    store.stop()
    await asyncio.sleep(4)
    for instance in system.group.instances.values():
        await store.delete("servers", instance.id)
    record.write("the entries of the instances have expired")
    await asyncio.sleep(1)
    for host in hosts:
        host.kill()
    await asyncio.sleep(harness.RESTART_SECONDS)
    for host in hosts:
        host.start()
    await asyncio.sleep(OUTAGE_SECONDS - 5 - harness.RESTART_SECONDS)
    record.write("the store is back")
    store.is_running = True

    async def come_back(instance, delay):
        await asyncio.sleep(delay)
        await instance.register()
        record.write(f"the entry of {instance.id} ({instance.role}) is back")
    await asyncio.gather(*(come_back(system.group.instances[name], delay)
                           for name, delay in BACK_AFTER.items()))
    await asyncio.sleep(10)


asyncio.run(harness.run_case(pathlib.Path(__file__).parent, 3, scenario, 24))
