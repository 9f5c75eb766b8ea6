"""Runs the deploy file's program, entry hosts as separate processes, beside the project's own
stand-ins, for the scripts of the cases 7 to 10. A case is a coroutine (trial, has_trouble) that
returns the breaches that it saw, as texts.

It ends with BROKEN if a rule was broken, 0 if it held, and 2 if the case could not run; run.sh turns
BROKEN into 1.
"""
import asyncio
import itertools
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "testing"))
import line_demo  # noqa: E402
import line_fleet  # noqa: E402
import line_standins  # noqa: E402

HARD_LIMIT_SECONDS = 110
BROKEN = 10
# As the users' small installations have them (SYSTEM.md).
SETTINGS = {"stop_limit_s": 6, "leaving_limit_ms": 7000, "rate_tolerance": 0.1, "rate_slack": 20,
            "cores": 0.17, "memory_mb": 182, "max_descriptors": 3010}


class CannotRun(Exception):
    pass


class Host(line_demo.Host):
    """An entry host, started by the command of the deploy file, with its settings where
    QUETZALPADDLE_BOOT points."""

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry"]["run"].split()
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun(f"{words[0]} is not built")
        self.process = subprocess.Popen(
            [str(program), *words[1:]], stdout=self.log_file, stderr=self.log_file,
            cwd=tempfile.gettempdir(),
            env={**os.environ, "QUETZALPADDLE_BOOT": self.settings_file.name})


class Trial:
    def __init__(self, folder, host_count=3, groups=("g1",), instance_class=None):
        self.started_at, self.folder = time.monotonic(), pathlib.Path(folder)
        self.lines, self.hosts, self.host_count, self.groups = [], [], host_count, groups
        self.instance_class, self.system = instance_class, None
        self.zones = ("north", "south", "west")

    def note(self, text, at=None):
        self.lines.append(((at or time.monotonic()) - self.started_at, text))

    async def start(self, routes, keys):
        if self.instance_class:
            line_standins.Instance = self.instance_class
        self.base, self.claim = line_fleet.claim_ports()
        self.system = line_standins.System(self.base, zones=self.zones, groups=self.groups)
        await self.system.start()
        self.routes, self.keys = routes, keys
        await self.configure(routes)
        seeds = [f"127.0.1.{number + 1}:{self.base + 50}" for number in range(self.host_count)]
        for number in range(self.host_count):
            self.hosts.append(Host(None, number, self.zones[number % 3], self.base, self.system,
                                   seeds=seeds, **SETTINGS))
        for host in self.hosts:
            await self.wait_until(host.is_ready, f"{host.name} is ready", 20)
        self.note("all hosts are ready")

    async def configure(self, routes):
        await self.system.configure(self.keys, routes)
        self.note(f"the store has acknowledged version {self.system.version}: " +
                  ", ".join(f"{name} -> {route[0]}" for name, route in routes.items()))

    async def wait_until(self, condition, description, timeout):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not within {timeout} s: {description}")

    def kill(self, host):
        self.note(f"{host.name} is killed")
        host.process.kill()
        host.process.wait()

    def end(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.kill()
                host.process.wait()

    def write_record(self):
        lines = list(self.lines)
        for group in self.system.groups.values() if self.system else ():
            lines += [(at - self.started_at, text) for at, text in group.trace]
            lines += [(run.at - self.started_at, f"{run.instance} gets {run.id} {run.text!r} as "
                       f"{run.customer}{', runs it' if run.is_run else ''}"
                       f"{f', {run.error}' if run.error else ''}")
                      for run in group.runs if run.id != "-"]
        text = "".join(f"{at:8.3f}  {line}\n" for at, line in sorted(lines, key=lambda l: l[0]))
        for host in self.hosts:
            host.log_file.seek(0)
            text += f"\n--- log of {host.name}\n" + "".join(
                line for line in host.log_file if line_fleet.PRINTED_EVENTS.search(line))
        (self.folder / "record.txt").write_text(text)


class Caller(line_demo.Caller):
    """A session that notes what it sends and is answered, and when."""

    def __init__(self, trial, name, host, database, key):
        super().__init__(host.port, database, key)
        self.trial, self.name, self.host = trial, name, host

    async def open(self):
        error = await asyncio.wait_for(super().open(), 2)
        self.trial.note(f"{self.name} connects to {self.host.name}, {self.database}: "
                        f"{error or 'READY'}")
        return error

    async def run(self, text, query_id=None):
        query_id = query_id or f"{random.getrandbits(64):016x}"
        self.sent_at = time.monotonic()
        self.trial.note(f"{self.name} sends {query_id} {text!r} to {self.host.name}", self.sent_at)
        error, rows = await asyncio.wait_for(super().run(text, query_id), 8)
        self.answered_at = time.monotonic()
        self.trial.note(f"{self.name} is answered {query_id} {error or 'COMPLETE'} {rows or ''}",
                        self.answered_at)
        return error, rows


async def keep_writing(trial, number, is_writing, database="posts", key="key-a"):
    """Writes one new item after the other, and tells the group which of them were acknowledged."""
    group = trial.system.groups[trial.routes[database][0]]
    for count in itertools.count(number):
        caller = Caller(trial, f"writer {number}", trial.hosts[count % len(trial.hosts)], database,
                        key)
        try:
            if await caller.open():
                raise ConnectionError
            while is_writing.is_set():
                item = f"w{number}-{time.monotonic_ns()}"
                error, _ = await caller.run(f"WRITE {item} 1")
                if not error:
                    group.note_acknowledged(item, "1")
                if error == "CLOSED" or caller.state != "I":
                    raise ConnectionError
                await asyncio.sleep(0.05 if not error else 0.2)
        except (ConnectionError, OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.1)
        finally:
            if hasattr(caller, "writer"):
                caller.reset()
        if not is_writing.is_set():
            return


def find_lost(group):
    """Returns the breaches of LOST: acknowledged commits that a promoted instance lacked."""
    return [f"LOST: {'='.join(lost['write'])} was acknowledged "
            f"{lost['effect_at'] - lost['acknowledged_at']:.2f} s before the promotion of "
            f"{lost['promoted']} took effect, which lacks it; held by "
            f"{' '.join(lost['held_by']) or 'none that runs'}" for lost in group.lost_writes]


async def run_case(case, trial, has_trouble):
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    status = 2

    def stop():
        trial.end()
        os._exit(2)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
    try:
        breaches = await asyncio.wait_for(case(trial, has_trouble), HARD_LIMIT_SECONDS)
        for host in trial.hosts:
            if host.process.poll() is not None and host not in getattr(trial, "ended", ()):
                breaches.append(f"{host.name} has ended by itself")
        for breach in breaches[:20]:
            trial.note(f"BROKEN: {breach}")
        verdict = f"BROKEN: {len(breaches)} breaches; {breaches[0]}" if breaches else "the rule held"
        status = BROKEN if breaches else 0
    except CannotRun as error:
        verdict = f"the case could not run: {error}"
    except Exception:
        verdict = f"the case could not run: {traceback.format_exc()}"
    trial.note(verdict)
    trial.end()
    trial.write_record()
    print(verdict, flush=True)
    os._exit(status)  # pending watches of the stand-in are not waited for


def main(case, file, **keywords):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    asyncio.run(run_case(case, Trial(pathlib.Path(file).parent, **keywords), has_trouble))
