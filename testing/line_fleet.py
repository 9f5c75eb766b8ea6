"""Entry hosts as real processes beside the stand-ins, for tests in Python, and the runner of these
tests.

A test is a coroutine that gets the program under test; what it asserts fails it. Each runs in a
process and on ports of its own, so that several can run at a time.
"""
import argparse
import asyncio
import collections
import concurrent.futures
import datetime
import fnmatch
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import line_demo  # noqa: E402
import line_standins  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
GROUP, DATABASE, KEY, CUSTOMER = "g1", "posts", "key-a", "alpha"
DUTY_KIND = "quetzalpaddle-promoters"
# From the users' pages.
GRACE_SECONDS = 6
LEAVING_LIMIT_SECONDS = 7
RECOVERY_SECONDS = 12
RESTART_SECONDS = 0.5  # a killed process starts again after a short delay
OUTAGE_SECONDS = 6.9   # the longest outage of the store and the longest crash of an instance
STATEMENT_TIMEOUT_SECONDS = 1
# Answers that promise that nothing of the statement is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD")

PORTS_PER_TEST = 300
TEST_TIMEOUT_SECONDS = 90
PRINTED_LINES = 20
# Events of hosts in a printed trace.
PRINTED_EVENTS = re.compile(
    r" event=(started|stop|task_failed|takeover|duty_|promotion|replicas_resumed|suspension|"
    r"acknowledgement|writes_stalled)")


class Failure(AssertionError):
    """A test failed. It says why, without a trace of Python."""


def check(condition, message):
    if not condition:
        raise Failure(message)


# --- Ports ---

def claim_ports():
    """Claims a block of ports below the ephemeral ones. Returns the first port and the socket that
    holds the claim against other tests."""
    lowest = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    blocks = list(range(lowest - PORTS_PER_TEST, max(lowest - 10800, 1024), -PORTS_PER_TEST))
    random.shuffle(blocks)
    for base in blocks:
        claim, others = socket.socket(), []
        try:
            claim.bind(("127.0.0.1", base + PORTS_PER_TEST - 1))
            for offset in [*range(20), *range(100, 105), *range(200, 205)]:
                others.append(socket.socket())
                # As the hosts do: connections that have ended do not block a port.
                others[-1].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                others[-1].bind(("127.0.0.1", base + offset))
            return base, claim
        except OSError:
            claim.close()
        finally:
            for other in others:
                other.close()
    raise OSError("no free block of ports")


# --- Hosts and writers ---

def format_time(at):
    return datetime.datetime.fromtimestamp(at, datetime.timezone.utc).strftime(
        "%Y-%m-%dT%H:%M:%S.%f")[:-3] + "Z"


class Fleet:
    """Entry hosts, one group of three instances, and writers that record which of their writes were
    acknowledged. Use it with "async with"."""

    def __init__(self, program, host_count=3, with_proxies=False, groups=(GROUP,),
                 **host_settings):
        self.program, self.host_count, self.with_proxies = program, host_count, with_proxies
        self.groups = groups
        self.host_settings = host_settings
        self.hosts, self.events, self.writers, self.is_writing = [], [], [], False
        self.writer_events = []  # as events, in complete traces only
        self.write_counts = collections.Counter()  # acknowledged writes of writers, by host
        self.group = None
        self.acknowledged, self.refused = set(), set()  # (item, value)
        # Orders of promotions: (time, instance, holder, token, status; None: not answered).
        self.orders = []
        # Coroutine (instance, holder, token) that may return another answer to an order.
        self.on_order = None

    async def __aenter__(self):
        self.base, self.claim = claim_ports()
        self.system = line_standins.System(self.base, groups=self.groups,
                                           with_proxies=self.with_proxies)
        self.group = self.system.groups[GROUP]
        self.promote, self.system.promote = self.system.promote, self.take_order
        await self.system.start()
        await self.system.configure({KEY: CUSTOMER}, {DATABASE: (GROUP, "primary", 0)})
        seeds = [f"127.0.1.{number + 1}:{self.base + 50}" for number in range(self.host_count)]
        self.hosts = [line_demo.Host(self.program, number, self.system.zones[number % 2], self.base,
                                     self.system, seeds=seeds, stop_limit_s=GRACE_SECONDS,
                                     leaving_limit_ms=LEAVING_LIMIT_SECONDS * 1000,
                                     **self.host_settings)
                      for number in range(self.host_count)]
        for host in self.hosts:
            await wait_until(host.is_ready, f"{host.name} is ready", 20)
        await wait_until(self.find_holder, "a host holds the promotion duty", 10)
        return self

    async def __aexit__(self, *_):
        self.is_writing = False
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()

    def note(self, text):
        self.events.append((time.time(), text))

    def trace(self, events):
        """Returns what happened and what the hosts logged of some events, in order of time."""
        offset = time.time() - time.monotonic()
        notes = self.events + [(at + offset, text)
                               for at, text in (self.group.trace if self.group else ())]
        notes += [event for event in self.writer_events if events.search(event[1])]
        lines = [f"time={format_time(at)} {text}" for at, text in notes]
        for host in self.hosts:
            log = pathlib.Path(host.log_file.name).read_text(errors="replace")
            lines += [line for line in log.splitlines() if events.search(line)]
        return sorted(lines, key=lambda line: line[:29])

    async def take_order(self, body, headers):
        holder = headers.get("quetzalpaddle-duty-holder", "?")
        token = int(headers.get("quetzalpaddle-fence-token", 0))
        answer = await self.on_order(body["id"], holder, token) if self.on_order else None
        status, reply = answer or await self.promote(body, headers)
        if status is None:
            self.note(f"promotion of {body['id']} ordered by {holder}, token {token}: no answer")
        self.orders.append((time.monotonic(), body["id"], holder, token, status))
        return status, reply

    async def find_holder(self):
        """Returns the host that holds the promotion duty, by the store."""
        duty = self.system.store.objects.get((DUTY_KIND, GROUP))
        return duty and next(host for host in self.hosts if host.name == duty["spec"]["holder"])

    def duty_token(self):
        return self.system.store.objects[(DUTY_KIND, GROUP)]["spec"]["token"]

    def kill(self, host):
        self.note(f"{host.name} is killed")
        host.process.kill()
        host.process.wait()

    def restart(self, host):
        self.note(f"{host.name} starts again")
        host.start()

    async def start_writers(self, count=4):
        self.is_writing = True
        self.writers = [asyncio.ensure_future(self.keep_writing(number))
                        for number in range(count)]
        await wait_until(self.serves_all, "writes are served before the trouble", 5)
        await asyncio.sleep(0.5)

    def add_writer(self, host):
        """Starts a writer that uses one host only."""
        self.writers.append(asyncio.ensure_future(self.keep_writing(len(self.writers), host)))

    async def keep_writing(self, number, only_host=None):
        """Writes one new item after the other."""
        count = 0
        note = lambda text: self.writer_events.append((time.time(), f"writer {number}: {text}"))
        while self.is_writing:
            host = only_host or random.choice(self.hosts)
            caller = line_demo.Caller(host.port, DATABASE, KEY)
            try:
                note(f"connects to {host.name}")
                if await asyncio.wait_for(caller.open(), 2):
                    raise ConnectionError
                note(f"is connected to {host.name}")
                while self.is_writing:
                    count += 1
                    await self.write(caller, f"w{number}-{count}")
                    self.write_counts[host.name] += 1
                    await asyncio.sleep(0.02)
            except (ConnectionError, OSError, asyncio.TimeoutError) as error:
                note(f"leaves {host.name} after {count} writes, {type(error).__name__}")
                await asyncio.sleep(0.05)
            finally:
                if hasattr(caller, "writer"):
                    caller.reset()

    async def write(self, caller, item):
        error, _ = await asyncio.wait_for(caller.run(f"WRITE {item} 1"), 8)
        if error in PROMISES:
            self.refused.add((item, "1"))
        if error:
            raise ConnectionError
        self.acknowledged.add((item, "1"))
        self.group.note_acknowledged(item, "1")

    async def serves(self, host):
        """Returns whether a host serves a write."""
        caller = line_demo.Caller(host.port, DATABASE, KEY)
        try:
            if await asyncio.wait_for(caller.open(), 2):
                return False
            await self.write(caller, f"s{random.getrandbits(40):x}")
            return True
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False
        finally:
            if hasattr(caller, "writer"):
                caller.reset()

    async def serves_all(self):
        return all([await self.serves(host) for host in self.hosts])

    async def check_outcome(self, trouble_end):
        """Checks that writes are served in time after the trouble, and that none that was
        acknowledged is missing."""
        await wait_until(self.serves_all, "writes are served after the trouble",
                         trouble_end + RECOVERY_SECONDS - time.monotonic())
        self.note("writes are served by all hosts")
        self.is_writing = False
        await asyncio.gather(*self.writers)
        await asyncio.sleep(self.group.promote_seconds + 0.2)
        for host in self.hosts:
            check(host.process.poll() is None, f"{host.name} has ended by itself")
        stored = {(entry[2], entry[3]) for entry in self.group.primary().log}
        lost = self.group.lost_writes
        for write in lost[:3]:
            since = lambda at: f"{at - write['effect_at']:+.2f} s"
            self.note(f"{write['write'][0]} is lost: acknowledged {since(write['acknowledged_at'])} "
                      f"from the promotion of {write['promoted']}, held by {write['held_by']}")
        check(not lost, f"{len(lost)} of {len(self.acknowledged)} acknowledged writes were not in "
              "the log of an instance when it was promoted")
        gone = self.acknowledged - stored
        check(not gone, f"{len(gone)} acknowledged writes are not in the log of the primary")
        kept = self.refused & stored
        check(not kept, f"{len(kept)} writes are stored although their callers were told that "
              "nothing is kept")


async def sleep_until(at):
    await asyncio.sleep(at - time.monotonic())


async def wait_until(condition, description, timeout):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.02)
    raise Failure(f"not within {timeout} s: {description}")


def replicas(group):
    return [instance for instance in group.instances.values() if instance.role == "replica"]


def set_deaf(fleet, instance, is_deaf):
    instance.deaf = is_deaf
    fleet.group.note(f"{instance.id} at {instance.received_position()} "
                     f"{'receives nothing' if is_deaf else 'receives again'}")


async def crash_primary(fleet, seconds):
    """Crashes the primary and starts it again later. Returns it."""
    primary = fleet.group.primary()
    primary.kill()

    async def revive():
        await asyncio.sleep(seconds)
        primary.revive()
    asyncio.ensure_future(revive())
    return primary


async def find_dispatcher(fleet, instance):
    """Returns the host that alone has connections to an instance, or None."""
    hosts = []
    for host in fleet.hosts:
        dump = json.loads((await host.get("/dump")).partition("\r\n\r\n")[2] or "{}")
        if dump.get("dispatches", {}).get(instance.id, {}).get("open"):
            hosts.append(host)
    return hosts[0] if len(hosts) == 1 else None


async def separate_duty(fleet, primary):
    """Lets the holder of the duty and the dispatcher of the primary be different hosts. Returns
    the holder."""
    async def is_separate():
        dispatcher = await find_dispatcher(fleet, primary)
        return dispatcher and dispatcher is not await fleet.find_holder()
    holder = await fleet.find_holder()
    if not await is_separate():
        fleet.kill(holder)

        async def is_replaced():
            return await fleet.find_holder() is not holder
        await wait_until(is_replaced, "another host takes the duty", 6)
        fleet.restart(holder)
        await wait_until(holder.is_ready, "the former holder is ready", 6)
        await wait_until(is_separate, "the holder of the duty is not the dispatcher", 6)
        await wait_until(fleet.serves_all, "writes are served before the trouble", 5)
    return await fleet.find_holder()


# --- The runner ---

TESTS = {}


def test(suite):
    """Registers a test under SUITE::NAME, with the name of its function."""
    def register(function):
        TESTS[f"{suite}::{function.__name__}"] = function
        return function
    return register


async def run_test(name, program, trace_file):
    """Runs one test in this process and exits with 0 if it passed."""
    fleets, status = [], 0

    class TracedFleet(Fleet):
        def __init__(self, *args, **keywords):
            super().__init__(*args, **keywords)
            fleets.append(self)
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    try:
        await TESTS[name](lambda **keywords: TracedFleet(program, **keywords))
    except Failure as failure:
        print(f"{name}: {failure}")
        status = 1
    except Exception:
        print(f"{name}: {traceback.format_exc()}")
        status = 1
    trace = lambda events: [line for fleet in fleets for line in fleet.trace(events)]
    if trace_file:
        pathlib.Path(trace_file).write_text("\n".join(trace(re.compile(""))) + "\n")
    if status:
        print(*trace(PRINTED_EVENTS)[-PRINTED_LINES:], sep="\n")
    sys.stdout.flush()
    os._exit(status)  # pending watches of the stand-in are not waited for


def run_in_child(file, name, args):
    """Returns whether a test passed, how long it took, and its output."""
    trace = [f"--trace={args.traces}/{name.replace('::', '.')}.txt"] if args.traces else []
    started_at = time.monotonic()
    child = subprocess.Popen([sys.executable, "-B", file, args.program, f"--run={name}", *trace],
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                             errors="replace", start_new_session=True)
    try:
        output = child.communicate(timeout=TEST_TIMEOUT_SECONDS)[0]
    except subprocess.TimeoutExpired:
        os.killpg(child.pid, signal.SIGKILL)  # with the hosts that it started
        output = f"{name}: no result after {TEST_TIMEOUT_SECONDS} s\n{child.communicate()[0]}"
    return child.returncode == 0, time.monotonic() - started_at, output


def main(file, max_jobs=None):
    """Runs the tests of a file. max_jobs: of them at a time, for tests that measure processes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("program", nargs="?", default=str(ROOT / "build/quetzalpaddle"))
    parser.add_argument("--filter", default="*", help="pattern of SUITE/NAME")
    parser.add_argument("--jobs", type=int, default=3, help="tests that run at a time")
    parser.add_argument("--tap", help="file for the report")
    parser.add_argument("--traces", help="folder for the trace of each test")
    parser.add_argument("--run", help="runs one test in this process")
    parser.add_argument("--trace")
    args = parser.parse_args()
    if args.run:
        asyncio.run(run_test(args.run, args.program, args.trace))
    if max_jobs:
        args.jobs = min(args.jobs, max_jobs)
    names = [name for name in TESTS
             if fnmatch.fnmatchcase(name.replace("::", "/"), args.filter.replace("::", "/"))]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as executor:
        results = list(executor.map(lambda name: run_in_child(file, name, args), names))
    report = [f"1..{len(names)}"]
    for name, (passed, seconds, output) in zip(names, results):
        report.append(f"{'ok' if passed else 'not ok'} - {name} ({seconds:.1f}s)")
        print(report[-1], output, sep="\n")
    print("Failed:", *(output.partition("\n")[0] for _, (passed, _, output) in zip(names, results)
                      if not passed), sep="\n  ")
    if args.tap:
        pathlib.Path(args.tap).write_text("\n".join(report) + "\n")
    sys.exit(0 if names and all(passed for passed, _, _ in results) else 1)
