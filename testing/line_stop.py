"""A planned stop of an entry host, by SIGTERM, while callers have transactions and sessions open. A
request that the host has passed on to an instance has to be answered."""
import asyncio
import random
import time

from line_demo import Caller

GRACE_SECONDS = 4  # stop_limit_s of the hosts of line_demo
CALLERS = 24
WORK_SECONDS = 0.05  # of a statement at its instance
ROUTE_TIMEOUT_SECONDS = 1.0


async def run_caller(host, database, item, rng, cuts, is_gone):
    """Runs transactions and single reads with pauses, until the host is gone. Collects the requests
    whose connection ended without an answer, as id, time sent and time of the end."""
    while not is_gone.is_set():
        caller, query_id, sent_at = Caller(host.port, database, "key-a"), "", 0
        try:
            if await caller.open():
                raise ConnectionError
            while not is_gone.is_set():
                texts = [f"READ {item}"]
                if rng.random() < 0.7:
                    texts = ["BEGIN", *texts * rng.randrange(2, 10), "COMMIT"]
                for text in texts:
                    query_id, sent_at = f"{random.getrandbits(64):016x}", time.monotonic()
                    error, _ = await caller.run(text, query_id)
                    if error == "CLOSED":
                        raise ConnectionError
                    query_id = ""
                    await asyncio.sleep(rng.uniform(0.2, 0.7))
                    if error:
                        break
                if caller.state != "I":
                    await caller.run("ROLLBACK")
        except (ConnectionError, OSError):
            if query_id:
                cuts.append((query_id, sent_at, time.monotonic()))
            await asyncio.sleep(0.1)


async def check_planned_stop(host, groups, rng):
    """Stops a host while nothing else happens. Returns what it should not have done."""
    instances = [instance for group in groups for instance in group.instances.values()]
    for instance in instances:
        instance.work_seconds = WORK_SECONDS
    violations, cuts, is_gone = [], [], asyncio.Event()
    callers = [asyncio.ensure_future(run_caller(
        host, ("looks", "posts")[number % 2], f"stop-{number}", random.Random(rng.random()), cuts,
        is_gone)) for number in range(CALLERS)]
    await asyncio.sleep(1)
    stopped_at = time.monotonic()
    host.process.terminate()
    while host.process.poll() is None and time.monotonic() < stopped_at + GRACE_SECONDS:
        await asyncio.sleep(0.01)
    if host.process.poll() != 0:
        violations.append(f"planned stop: {host.name} did not end by itself in {GRACE_SECONDS} s")
    is_gone.set()
    await asyncio.wait(callers, timeout=3)
    passed_on = {query_id: text for instance in instances
                 for query_id, _, text in instance.statements}
    for query_id, sent_at, ended_at in cuts:
        sent, ended = sent_at - stopped_at, ended_at - stopped_at
        # At the end of the grace period, an instance may be at work on what was sent in its first
        # half.
        is_excused = sent <= GRACE_SECONDS / 2 and ended >= GRACE_SECONDS * 5 / 6 or \
            ended - sent >= ROUTE_TIMEOUT_SECONDS
        if query_id in passed_on and not is_excused:
            violations.append(
                f"planned stop: {passed_on[query_id]} was sent {sent:.2f} s and passed on, the "
                f"connection ended without an answer {ended:.2f} s after SIGTERM")
    return violations
