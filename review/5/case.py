"""A host gets SIGTERM, once, while callers have transactions open whose statements come with
pauses. Statements that the host reads and passes on late in the grace period get no answer."""
import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.resolve().parents[0] / "common"))
import harness  # noqa: E402

CALLERS = 44
STATEMENTS = 12        # of a transaction, the most that the pages name
PAUSE_SECONDS = 0.55   # between them; less than txIdleMs
WORK_SECONDS = 0.055   # of a statement at the instance, as cert-lookup has
GRACE_SECONDS = 6      # graceS; SIGKILL follows then


class SlowInstance(harness.Instance):
    async def run(self, session, query_id, text, send):
        if query_id != "-":
            self.group.started[query_id] = time.monotonic()
            await asyncio.sleep(WORK_SECONDS)
        return await super().run(session, query_id, text, send)


class Run:
    def __init__(self, system):
        self.system, self.stopped_at, self.unanswered, self.answered = system, None, [], 0

    async def send(self, caller, text):
        query_id = f"{random.getrandbits(64):016x}"
        sent_at = time.monotonic()
        try:
            error, _ = await caller.run(query_id, text)
        except ConnectionError:
            error = "CLOSED"
        if error != "CLOSED":
            self.answered += 1
            return error
        started = self.system.group.started.get(query_id)
        after = lambda at: f"{at - self.stopped_at:.3f} s after SIGTERM" if self.stopped_at else "?"
        self.system.record.write(
            f"{query_id} {text}: sent {after(sent_at)}, "
            f"{'an instance began to run it ' + after(started) if started else 'not passed on'}, "
            f"the connection ended without an answer {after(time.monotonic())}")
        # The rule counts what was passed on to an instance. What was sent within the first 3 s may
        # be cut while the instance is at work in the last sixth of the grace period.
        if started and (not self.stopped_at or sent_at - self.stopped_at > 3):
            self.unanswered.append(query_id)
        return error

    async def run_transaction(self, host, number):
        caller = harness.Caller(host)
        await caller.open()
        await asyncio.sleep(random.uniform(0, PAUSE_SECONDS))
        error = await self.send(caller, "BEGIN")
        for step in range(STATEMENTS - 2):
            if error:
                break
            await asyncio.sleep(PAUSE_SECONDS * random.uniform(0.9, 1.3))
            error = await self.send(caller, f"READ t{number}-{step}")
        if not error:
            await asyncio.sleep(PAUSE_SECONDS)
            error = await self.send(caller, "COMMIT")
        self.system.record.write(f"transaction {number} by {host.name} ended with {error or 'success'}")
        caller.close()


async def main():
    record, status = harness.Record(FOLDER), 2
    temporary = tempfile.TemporaryDirectory()
    harness.Instance = SlowInstance
    system, hosts = harness.System(record), []
    system.group.started = {}
    addresses = [f"127.0.{random.randrange(1, 250)}.{n + 1}" for n in range(2)]
    try:
        await system.start()
        port = harness.find_common_port(addresses)
        hosts += [harness.Host(n, "north", system, addresses[n], port,
                               [f"{address}:{port}" for address in addresses], temporary.name)
                  for n in range(2)]
        for host in hosts:
            host.start()
        for host in hosts:
            await harness.wait_until(host.is_ready, "a ready host", 20)
        await asyncio.sleep(3)
        run = Run(system)
        transactions = [asyncio.ensure_future(run.run_transaction(hosts[0], number))
                        for number in range(CALLERS)]
        await asyncio.sleep(0.6)  # each has begun its transaction
        if harness.TROUBLE:
            hosts[0].process.send_signal(signal.SIGTERM)
            run.stopped_at = time.monotonic()
            record.write(f"{hosts[0].name} gets SIGTERM")
            while hosts[0].process.poll() is None and \
                    time.monotonic() - run.stopped_at < GRACE_SECONDS:
                await asyncio.sleep(0.01)
            record.write(f"{hosts[0].name} ended by itself with {hosts[0].process.poll()}, "
                         f"{time.monotonic() - run.stopped_at:.3f} s after SIGTERM")
        await asyncio.gather(*transactions)
        record.write(f"{run.answered} statements were answered, {len(run.unanswered)} that were "
                     f"passed on to an instance, and sent later than 3 s after SIGTERM, were not")
        if run.answered < CALLERS:
            raise TimeoutError("too few statements were answered")
        status = 1 if run.unanswered else 0
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error}")
    finally:
        for host in hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for line in pathlib.Path(hosts[0].log.name).read_text().splitlines():
            if "event=stop" in line:
                record.file.write(f"log {line}\n")
        record.file.close()
        temporary.cleanup()
    print({0: "held: every statement was answered", 1: "broken: LOST", 2: "did not run"}[status])
    sys.stdout.flush()
    os._exit(status)


asyncio.run(main())
