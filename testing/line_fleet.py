"""Entry hosts as real processes beside the stand-ins, for tests in Python, and the runner of these
tests.

A test is a coroutine that gets the program under test; what it asserts fails it. Each runs in a
process and on ports of its own, so that several can run at a time.
"""
import argparse
import asyncio
import concurrent.futures
import datetime
import fnmatch
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
STATEMENT_TIMEOUT_SECONDS = 1
# Answers that promise that nothing of the statement is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD")

PORTS_PER_TEST = 300
TEST_TIMEOUT_SECONDS = 90
PRINTED_LINES = 12
# Events of hosts in a printed trace.
PRINTED_EVENTS = re.compile(
    r" event=(started|stop|task_failed|takeover|duty_|promotion|replicas_resumed|suspension|"
    r"acknowledgement|store_lost|store_regained|instance_listed|instance_unlisted)")


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

    def __init__(self, program, host_count=3):
        self.program, self.host_count, self.hosts, self.events = program, host_count, [], []
        self.acknowledged, self.refused, self.lost = {}, set(), {}
        self.writers, self.is_writing = [], False

    async def __aenter__(self):
        self.base, self.claim = claim_ports()
        self.system = line_standins.System(self.base, groups=(GROUP,))
        self.group = self.system.groups[GROUP]
        await self.system.start()
        await self.system.configure({KEY: CUSTOMER}, {DATABASE: (GROUP, "primary", 0)})
        self.hosts = [line_demo.Host(self.program, number, self.system.zones[number % 2], self.base,
                                     self.system, stop_limit_s=GRACE_SECONDS,
                                     leaving_limit_ms=LEAVING_LIMIT_SECONDS * 1000)
                      for number in range(self.host_count)]
        for host in self.hosts:
            await wait_until(host.is_ready, f"{host.name} is ready", 20)
        await wait_until(self.duty_holder, "a host holds the promotion duty", 10)
        return self

    async def __aexit__(self, *_):
        self.is_writing = False
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()

    def note(self, text):
        self.events.append(f"time={format_time(time.time())} {text}")

    def trace(self, events):
        """Returns what the test noted and what the hosts logged of some events, in order of time."""
        lines = list(self.events)
        for host in self.hosts:
            log = pathlib.Path(host.log_file.name).read_text(errors="replace")
            lines += [line for line in log.splitlines() if events.search(line)]
        return sorted(lines, key=lambda line: line[:29])

    async def duty_holder(self):
        """Returns the name of the host that holds the promotion duty, by the store."""
        duty = self.system.store.objects.get((DUTY_KIND, GROUP))
        return duty and duty["spec"]["holder"]

    def kill(self, host):
        self.note(f"{host.name} is killed")
        host.process.kill()
        host.process.wait()

    def restart(self, host):
        self.note(f"{host.name} starts again")
        host.start()


async def wait_until(condition, description, timeout):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if await condition():
            return
        await asyncio.sleep(0.02)
    raise Failure(f"not within {timeout} s: {description}")


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


def main(file):
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
    names = [name for name in TESTS
             if fnmatch.fnmatchcase(name.replace("::", "/"), args.filter.replace("::", "/"))]
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as executor:
        results = list(executor.map(lambda name: run_in_child(file, name, args), names))
    report = [f"1..{len(names)}"]
    for name, (passed, seconds, output) in zip(names, results):
        report.append(f"{'ok' if passed else 'not ok'} - {name} ({seconds:.1f}s)")
        print(report[-1], output, sep="\n" if output else "")
    if args.tap:
        pathlib.Path(args.tap).write_text("\n".join(report) + "\n")
    sys.exit(0 if names and all(passed for passed, _, _ in results) else 1)
