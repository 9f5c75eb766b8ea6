"""A key goes from one tenant to another while its client has a transaction open."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "common-2"))
import trial  # noqa: E402

CONFIG_SECONDS = 3.0  # configMs
PAUSE_SECONDS = 0.7   # below txIdleMs, which the stand-in sets to 1,000
BEFORE = {"key-a": "alpha", "key-b": "beta"}
AFTER = {"key-a": "beta", "key-b": "beta", "key-c": "alpha"}


async def run_transaction(run, number, changed_at, breaches):
    """Runs a transaction of 12 statements with pauses, among them BEGIN and COMMIT."""
    group = run.system.groups["g1"]
    host = run.hosts[number % len(run.hosts)]
    caller = trial.Caller(run, f"session {number}", host, "posts", "key-a")
    if await caller.open():
        raise trial.CannotRun("a session is refused")
    texts = ["BEGIN", *(f"WRITE item{number}-{count} 1" for count in range(10)), "COMMIT"]
    for count, text in enumerate(texts):
        query_id = f"{number:04x}{time.monotonic_ns():012x}"
        error, _ = await caller.run(text, query_id)
        since = caller.sent_at - changed_at[0] if changed_at else 0
        for ran in group.runs:
            if ran.id == query_id and ran.is_run and since > CONFIG_SECONDS and \
                    ran.customer != AFTER["key-a"]:
                breaches.append(
                    f"UNASKED: {text!r} of {caller.name} (key-a, on {host.name}) ran at "
                    f"{ran.instance} as tenant {ran.customer}, sent {since:.2f} s after the store "
                    "had acknowledged that key-a is tenant beta's")
        if error:
            break
        await asyncio.sleep(PAUSE_SECONDS)
    caller.reset()


async def case(run, has_trouble):
    await run.start({"posts": ("g1", "primary", 0)}, BEFORE)
    await asyncio.sleep(2)
    breaches, changed_at = [], []
    sessions = [asyncio.ensure_future(run_transaction(run, number, changed_at, breaches))
                for number in range(6)]
    await asyncio.sleep(2.5)
    if has_trouble:
        run.keys = AFTER
        await run.configure(run.routes)
        run.note(f"keys and their tenants from now on: {AFTER}")
        changed_at.append(time.monotonic())
    await asyncio.gather(*sessions)
    caller = trial.Caller(run, "session after", run.hosts[0], "posts", "key-a")
    if not await caller.open():
        await caller.run("WRITE after 1")
        ran = [entry for entry in run.system.groups["g1"].runs if entry.text == "WRITE after 1"]
        run.note(f"a new session with key-a runs as {[entry.customer for entry in ran]}")
    return breaches

trial.main(case, __file__)
