"""Instances lose the answers of a few of the requests that they ran. Callers read on a `primary`
route; a read succeeds only with the instance's digest and rows."""
import asyncio
import contextvars
import os
import pathlib
import random
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.resolve().parents[0] / "common"))
import harness  # noqa: E402

CALLERS = 6
SECONDS = 12.0
LOST_SHARE = 0.025   # of the requests that ran, as in the site's `answer_lost`
LOSS_SECONDS = 5.5   # as there

current_writer = contextvars.ContextVar("current_writer")


class LossyWriter:
    """Drops one answer, up to its READY; the answers that follow are sent."""

    def __init__(self, writer):
        self.writer, self.is_dropping = writer, False

    def write(self, data):
        if not self.is_dropping:
            self.writer.write(data)
        elif data.startswith(b"READY"):
            self.is_dropping = False

    def __getattr__(self, name):
        return getattr(self.writer, name)


class LossyInstance(harness.Instance):
    async def serve(self, reader, writer):
        lossy = LossyWriter(writer)
        current_writer.set(lossy)
        await super().serve(reader, lossy)

    async def run(self, session, query_id, text, send):
        if query_id != "-" and text.startswith("READ") and \
                time.monotonic() < self.group.lossy_until and random.random() < LOST_SHARE:
            self.group.record.write(f"{self.id} runs {query_id} {text}; its answer is lost")
            current_writer.get().is_dropping = True
        return await super().run(session, query_id, text, send)


class Caller(harness.Caller):
    async def run(self, query_id, text):
        """Returns the error code, the rows and the digest."""
        self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
        error, rows, digest = "", [], None
        while True:
            line = (await self.reader.readline()).decode().rstrip("\r\n")
            word, _, rest = line.partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                digest = rest
            elif word == "ERROR":
                error = rest.split(" ")[0]
            elif word == "READY":
                return error, rows, digest
            elif not line:
                return "CLOSED", rows, digest


class Run:
    def __init__(self, system):
        self.system, self.read_count, self.wrong = system, 0, []

    async def read_back(self, host, number, deadline):
        """Writes an item and reads it, again and again; nobody else writes it."""
        value = 0
        while time.monotonic() < deadline:
            caller = Caller(host)
            try:
                if not await caller.open():
                    raise ConnectionError
                while time.monotonic() < deadline:
                    value += 1
                    item, text = f"r{number}", f"{number}x{value}"
                    error, _, _ = await self.send(caller, f"WRITE {item} {text}")
                    if error:
                        raise ConnectionError
                    for _ in range(4):
                        error, rows, digest = await self.send(caller, f"READ {item}")
                        if error:
                            raise ConnectionError
                        self.check(item, text, rows, digest)
            except (ConnectionError, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                if hasattr(caller, "writer"):
                    caller.close()

    async def send(self, caller, text):
        query_id = f"{random.getrandbits(64):016x}"
        answer = await asyncio.wait_for(caller.run(query_id, text), 8)
        self.last = f"{query_id} {text} by {caller.host.name}: {answer}"
        if text.startswith("READ") or answer[0]:
            self.system.record.write(self.last)
        return answer

    def check(self, item, expected, rows, digest):
        self.read_count += 1
        is_signed = digest in {f"d.{name}" for name in self.system.group.instances}
        if rows != [expected] or not is_signed:
            self.wrong.append(item)
            self.system.record.write(f"MIXED: a success for READ {item} with rows {rows} and digest "
                                     f"{digest}; the item holds {expected}")


async def main():
    record, status = harness.Record(FOLDER), 2
    temporary = tempfile.TemporaryDirectory()
    harness.Instance = LossyInstance
    system, hosts = harness.System(record), []
    system.group.lossy_until = 0
    addresses = [f"127.0.{random.randrange(1, 250)}.{n + 1}" for n in range(2)]
    try:
        await system.start()
        port = harness.find_common_port(addresses)
        hosts += [harness.Host(n, system.zones[n], system, addresses[n], port,
                               [f"{address}:{port}" for address in addresses], temporary.name)
                  for n in range(2)]
        for host in hosts:
            host.start()
        for host in hosts:
            await harness.wait_until(host.is_ready, "a ready host", 20)
        await asyncio.sleep(3)
        run, deadline = Run(system), time.monotonic() + SECONDS
        callers = [asyncio.ensure_future(run.read_back(hosts[number % 2], number, deadline))
                   for number in range(CALLERS)]
        await asyncio.sleep(2)
        if harness.TROUBLE:
            record.write(f"for {LOSS_SECONDS} s, instances lose the answers of {LOST_SHARE:.1%} of "
                         f"the reads that they ran")
            system.group.lossy_until = time.monotonic() + LOSS_SECONDS
        await asyncio.gather(*callers)
        record.write(f"{run.read_count} reads succeeded, {len(run.wrong)} of them without the "
                     f"instance's digest or with other rows")
        if run.read_count < 200:
            raise TimeoutError("too few reads succeeded")
        status = 1 if run.wrong else 0
    except (TimeoutError, OSError) as error:
        record.write(f"the case could not run: {error}")
    finally:
        for host in hosts:
            if host.process and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        record.file.close()
        temporary.cleanup()
    print({0: "held: every read had its rows and digest", 1: "broken: MIXED",
           2: "did not run"}[status])
    sys.stdout.flush()
    os._exit(status)


asyncio.run(main())
