#!/usr/bin/env python3
"""Runs randomized faults against entry hosts, which run as real processes.

Loopback proxies in front of each instance and the store delay traffic, block one direction, go
silent, reset connections and cut off single hosts. Signals stop, pause, kill and restart the hosts.
Instances are killed, lag, receive nothing, lose answers and entries, and are replaced; promotion
orders are carried out late; the store is down. Faults overlap, some in series around a promotion.
With every third seed, instances answer a share of the statements twice, at once or late, and cut
off or refuse others. Data centres are evacuated, a customer calls far above its rate, and callers of
several priorities overload the instances (line_overload.py).

The soak checks the guarantees that callers and instances observe, among them that each promoted log
holds every acknowledged write, that nothing reaches an evacuated data centre after the limit, that
a customer stays within its rate, that what was refused has not run, and at the end that a planned stop of a host cuts no request.
Callers set values, prepare statements and send any bytes; each answer, and all that instances ran,
is compared with what callers sent (line_oracle.py).

usage: line_soak.py PROGRAM [--seed N] [--seeds FIRST-LAST] [--seconds S] [--hosts N] [--callers N]
                    [--base PORT] [--jobs N] [--logs FOLDER] [--twice]

Seeds that once failed are kept as regression cases in REGRESSIONS, which run with --seeds.
"""
import argparse
import asyncio
import collections
import contextvars
import datetime
import itertools
import os
import pathlib
import random
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import line_demo  # noqa: E402
import line_stop  # noqa: E402
from line_group import AnswerFaults  # noqa: E402
from line_oracle import CheckedCaller, Oracle, PROMISES, make_loop  # noqa: E402
from line_overload import (EVACUATION_SECONDS, LIMITED_CUSTOMER, LIMITED_KEY,  # noqa: E402
                           PRIORITIES, RATE, BURST, Overload)
from line_series import PromotionSeries  # noqa: E402
from line_standins import MAX_MESSAGE_BYTES, ODD_VALUES, System  # noqa: E402
from line_store import ODD_ENTRIES  # noqa: E402

# seed -> seconds and cause of the failure that it reproduced
REGRESSIONS = {
    4: (13, "a switchover did not suspend a replica whose entry had expired"),
    9: (8, "a host that started in an outage of the store promoted the only listed replica"),
    19: (15, "an open order for an instance that had left kept a group without a primary"),
    102: (10, "an instance joined after the suspension and let the old primary acknowledge"),
    106: (10, "an order took effect after its attempt had resumed the replicas"),
}

DATABASES = {"orders": "g1", "posts": "g1", "looks": "g2"}
KEYS = {**line_demo.KEYS, "key c d": "gamma"}
ALL_KEYS = {**KEYS, LIMITED_KEY: LIMITED_CUSTOMER}
# Names that sessions share, and shapes that differ only in a few characters.
VALUE_NAMES = ["zone", "Zone", "role"]
PREPARED_NAMES = ["s", "S", "s1", "q_READ_q18_ui"]
SHAPES = ["q18 ui", "q18_ui", "q18%20ui", "q18  ui", "q18 UI", "q18 ui ", "q18_ui_", " q18 ui"]
PORTS_PER_RUN = 400
# Events in the hosts' logs that belong to a promotion.
LOG_EVENTS = re.compile(r"event=(takeover|duty|promot|replicas|primary|probe|instance_|host_lost|"
                        r"started|stop|store_|transaction_|statement_failed)")


# Each fault and each worker draws from its own numbers, whatever the others do meanwhile.
current_rng = contextvars.ContextVar("current_rng")


def make_longest_write(item, value):
    """Returns a statement whose message is as long as the protocol allows."""
    text = f"WRITE {item} {value} "
    return text + "x" * (MAX_MESSAGE_BYTES - len(f"QUERY {0:016x} {text}\r\n"))


def restart(host):
    """Restarts a host that has exited, unless an overlapping fault has already restarted it."""
    if host.process.poll() is not None:
        host.start()


class SingleFaults(PromotionSeries):
    """Faults of one host or instance that others are made of."""

    async def kill_host(self, host, pause):
        self.note(f"{host.name} is killed, back after {pause:.1f} s")
        host.process.send_signal(signal.SIGKILL)
        host.process.wait()
        await asyncio.sleep(pause)
        restart(host)

    async def freeze_host(self, host, pause):
        self.note(f"{host.name} is frozen for {pause:.1f} s")
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause)
        host.process.send_signal(signal.SIGCONT)

    async def crash(self, instance, pause):
        instance.kill()
        await asyncio.sleep(pause)
        instance.revive()


class Soak(Overload, SingleFaults):
    def __init__(self, args, seed):
        SingleFaults.__init__(self)
        Overload.__init__(self)
        self.args, self.seed = args, seed
        self.set_rng("start")
        self.system = System(args.base, with_proxies=True)
        self.system.late_seconds = 1.0, 6.0
        for group in self.system.groups.values():
            group.check_in_seconds, group.rng = 0.5, random.Random(f"{seed} {group.name}")
        self.acknowledged, self.uncertain, self.violations, self.outcome_counts = {}, {}, [], {}
        self.refused, self.answer_fault_counts = set(), collections.Counter()
        self.faults, self.is_over, self.started_at = set(), False, time.monotonic()
        self.trace = []
        self.oracle = Oracle(list(self.system.groups.values()))

    @property
    def rng(self):
        return current_rng.get()

    def set_rng(self, name):
        current_rng.set(random.Random(f"{self.seed} {name}"))

    def note(self, text):
        self.trace.append((time.monotonic(), text))

    async def start(self):
        system = self.system
        await system.start()
        await self.configure()
        self.hosts = [line_demo.Host(self.args.program, number, system.zones[number % 2],
                                     self.args.base, system,
                                     evacuation_limit_ms=EVACUATION_SECONDS * 1000)
                      for number in range(self.args.hosts)]
        for host in self.hosts:
            await line_demo.wait_until(host.is_ready, "a ready host", 20)
        # The regression cases are among the other seeds.
        if self.seed % 3 == 2 or self.args.twice:
            self.start_answer_faults()

    async def configure(self):
        await self.system.configure(ALL_KEYS, line_demo.ROUTES, priorities=PRIORITIES,
                                    rates={LIMITED_CUSTOMER: (RATE, BURST)})

    def start_answer_faults(self):
        rng = random.Random(f"{self.seed} answers")
        faults = {"twice": rng.choice([0.02, 0.1, 0.3]), "late": rng.choice([0.3, 0.7, 1.0]),
                  "late_seconds": (0.005, rng.choice([0.03, 0.4])),
                  "lost": rng.choice([0, 0, 0.01]), "cut": rng.choice([0, 0, 0.01]),
                  "busy": rng.choice([0, 0.03])}
        self.note(f"faults of answers: {faults}")
        for group in self.system.groups.values():
            group.answer_faults = AnswerFaults(random.Random(f"{self.seed} {group.name} answers"),
                                               **faults)

    # Callers

    def make_value(self, value):
        """Returns a text that holds the value, often beside other bytes."""
        odd = self.rng.choice(ODD_VALUES) if self.rng.random() < 0.4 else "#"
        return odd.replace("#", value)

    async def run_worker(self, number):
        """Runs one worker. Only it writes its item, so it knows which values the item may hold."""
        self.set_rng(f"worker {number}")
        value, database = 0, list(DATABASES)[number % len(DATABASES)]
        while not self.is_over:
            key = self.rng.choice(list(KEYS))
            caller = CheckedCaller(self.oracle, self.rng.choice(self.hosts).port, database, key,
                                   KEYS[key])
            item = f"{database}-{number}"
            try:
                error = await asyncio.wait_for(caller.open(), 3)
                if error in ("UNAUTH", "NODATABASE"):
                    self.oracle.report("CONFIG", f"{caller.key!r} got {error}")
                if error:
                    raise ConnectionError
                for _ in range(self.rng.choice([0, 2, 5])):
                    await self.change_session(caller)
                for _ in range(self.rng.randrange(1, 8)):
                    value += 1
                    try:
                        await self.run_operation(caller, item, str(value))
                    except StopAsyncIteration:
                        await self.go_on(caller, item)
                caller.write_message("RELEASE")
            except (ConnectionError, OSError, asyncio.TimeoutError, StopAsyncIteration):
                await asyncio.sleep(0.05)
            finally:
                if hasattr(caller, "writer"):
                    caller.writer.close()

    async def go_on(self, caller, item):
        """Ends a transaction that has failed, so that the session can continue."""
        if caller.state == "E":
            for text in self.rng.choice([[], [f"READ {item}"]]) + \
                    [self.rng.choice(["COMMIT", "ROLLBACK"])]:
                await caller.run(text)
        if not caller.can_continue():
            raise ConnectionError
        await caller.pause(0.05)

    async def run_operation(self, caller, item, value):
        choice = self.rng.random()
        if choice < 0.005:
            await self.run_checked(caller, make_longest_write(f"{item}-long", value))
        elif choice < 0.4:
            await self.write_once(caller, item, value)
        elif choice < 0.65:
            await self.run_checked(caller, self.make_statement(caller, item, "READ", ""))
        elif choice < 0.8:
            await self.run_transaction(caller, item, value)
        else:
            await self.change_session(caller)
        if self.rng.random() < 0.2:
            await caller.pause(self.rng.uniform(0, 0.5))

    async def run_checked(self, caller, *texts):
        for text in texts:
            error, _ = await caller.run(text)
            if error:
                raise StopAsyncIteration

    async def change_session(self, caller):
        """Sets a value, or prepares a statement under a new name or one that it frees."""
        rng, name = self.rng, self.rng.choice(PREPARED_NAMES)
        value = rng.choice(["", "1", self.make_value(str(rng.randrange(3)))])
        texts = [f"PREPARE {name} {rng.choice(['READ', 'WRITE'])} {rng.choice(SHAPES)}"]
        if rng.random() < 0.4:
            texts = [f"SET {rng.choice(VALUE_NAMES)} {value}"]
        elif name in caller.prepared:
            texts.insert(0, f"DEALLOC {name}")
        for text in texts:
            if (await caller.run(text))[0]:
                raise ConnectionError  # what the session holds is not certain

    def make_statement(self, caller, item, kind, data):
        """Returns a plain statement, or one that is prepared in the session."""
        rng = self.rng
        names = [name for name, (prepared, _) in caller.prepared.items() if prepared == kind]
        verb = f"EXECUTE {rng.choice(names)}" if names and rng.random() < 0.6 else kind
        if kind == "WRITE":
            return f"{verb} {item} {data}"
        return f"{verb} {rng.choice([item, item, f'rows-{rng.randrange(12)}'])}"

    async def run_transaction(self, caller, item, value):
        """Runs a transaction that only reads, is rolled back, or is left."""
        rng = self.rng
        begin, end = rng.choice([("BEGIN READ", "COMMIT"), ("BEGIN READ", "ROLLBACK"),
                                 ("BEGIN", "COMMIT"), ("BEGIN", "ROLLBACK"), ("BEGIN", None)])
        await self.run_checked(caller, begin)
        for number in range(rng.randrange(1, 6)):
            kind = "WRITE" if (begin, end) in (("BEGIN", "ROLLBACK"), ("BEGIN", None)) and \
                rng.random() < 0.5 else "READ"
            text = self.make_statement(caller, f"{item}-side" if kind == "WRITE" else item, kind,
                                       self.make_value(f"{value}.{number}"))
            if not end and number and rng.random() < 0.3:
                caller.send_and_leave(text)
                break
            await self.run_checked(caller, text)
            if rng.random() < 0.2:
                await self.change_session(caller)
            if rng.random() < 0.3:
                await caller.pause(rng.choice([0.1, 0.3, 0.3, 1.3]))  # idle for too long
        if not end:
            raise StopAsyncIteration
        await self.run_checked(caller, end)

    async def write_once(self, caller, item, value):
        group, value = self.system.groups[DATABASES[caller.database]], self.make_value(value)
        in_transaction = self.rng.random() < 0.4
        self.uncertain.setdefault(item, set()).add(value)  # until the answer shows the outcome
        texts = [self.make_statement(caller, item, "WRITE", value)]
        if in_transaction:
            reads = [self.make_statement(caller, item, "READ", "")
                     for _ in range(self.rng.choice([0, 0, 1, 3]))]
            texts = ["BEGIN", *reads, *texts, "COMMIT"]
        for text in texts:
            error, _ = await caller.run(text)
            if error:
                break
        self.outcome_counts[error] = self.outcome_counts.get(error, 0) + 1
        if error in PROMISES:
            self.uncertain[item].discard(value)
            self.refused.add((group.name, item, value, error))
            self.check_not_stored(group, item, value, error)
        if error:
            raise StopAsyncIteration
        self.uncertain[item].discard(value)
        self.acknowledged[item] = value
        group.note_acknowledged(item, value)
        error, rows = await caller.run(f"READ {item}")
        # Reads of a bounded staleness may be older; what a promotion lost is reported as such.
        if not error and rows != [value] and not set(rows) & self.uncertain[item] and \
                caller.database != "looks" and not group.lost_writes:
            self.violations.append(f"STALE: {item}: wrote {value!r}, read {rows}")
        if error:
            raise StopAsyncIteration

    def check_not_stored(self, group, item, value, error):
        primary = group.primary()
        if primary and primary.has((item, value)):
            self.violations.append(
                f"REFUSED: {item}={value!r} is stored although the answer was {error}")

    # Single faults

    def start_fault(self, fault):
        task = asyncio.ensure_future(fault)
        self.faults.add(task)

        def end(task):
            self.faults.discard(task)
            if not task.cancelled() and task.exception():
                self.violations.append(f"a fault could not be injected: {task.exception()!r}")
        task.add_done_callback(end)

    async def inject_faults(self, deadline):
        """Starts faults at random intervals, some before the previous one has ended."""
        self.set_rng("faults")
        pauses = (0.5, 2.0) if self.seed % 2 else (3.0, 8.0)
        for number in itertools.count():
            await asyncio.sleep(self.rng.uniform(*pauses))
            if time.monotonic() > deadline:
                break
            self.start_fault(self.inject_fault(self.rng.randrange(11), number))

    async def inject_fault(self, kind, number):
        self.set_rng(f"fault {number}")
        rng, host, proxies = self.rng, self.rng.choice(self.hosts), self.system.proxies
        group = rng.choice(list(self.system.groups.values()))
        instance = rng.choice(list(group.instances.values()))
        pause = rng.uniform(0.2, 2.0)
        if kind == 0:
            await self.kill_host(host, pause / 2)
        elif kind == 1:
            await self.freeze_host(host, pause)
        elif kind == 2:
            self.note(f"{host.name} gets SIGTERM")
            host.process.terminate()
            await asyncio.get_running_loop().run_in_executor(None, host.process.wait)
            restart(host)
        elif kind in (3, 4):
            name = rng.choice(list(proxies))
            proxy = proxies[name]
            proxy.mode = rng.choice(["delay", "to", "back", "silent"])
            self.note(f"traffic to {name}: {proxy.mode} for {pause:.1f} s")
            await asyncio.sleep(pause)
            proxy.mode = "pass"
        elif kind == 5:
            rng.choice(list(proxies.values())).reset()
        elif kind == 6 and all(other.is_running for other in group.instances.values()):
            await self.crash(instance, pause * 2)
        elif kind == 7:
            instance.replay_lag = rng.choice([0.02, 0.3, 1.0])
        elif kind == 8:
            instance.answers_to_lose = rng.randrange(1, 4)
        elif kind == 9:
            await self.configure()
        elif kind == 10:
            await self.system.store.put_text("servers", "odd", rng.choice(ODD_ENTRIES))
            await asyncio.sleep(pause)
            await self.system.store.delete("servers", "odd")

    # Checks after the faults

    async def check_final_state(self):
        """Ends all faults; checks that acknowledged writes are stored and statements ran once."""
        for proxy in self.system.proxies.values():
            proxy.mode = "pass"
        for group in self.system.groups.values():
            self.answer_fault_counts += group.answer_faults.counts
            group.answer_faults = AnswerFaults(random.Random())
            for instance in group.instances.values():
                instance.replay_lag, instance.answers_to_lose = 0.02, 0
                instance.revive()
        for host in self.hosts:
            if host.process.poll() is not None:
                last_line = (line_demo.read_log(host).splitlines() or ["no log"])[-1]
                self.violations.append(f"host at port {host.port} exited unexpectedly: {last_line}")
        for database in ("posts", "looks"):
            await line_demo.wait_until(lambda: self.is_served(database),
                                       f"service of {database} after the faults", 12)
        for item, value in self.acknowledged.items():
            group = self.system.groups[DATABASES[item.partition("-")[0]]]
            stored = group.primary().get_value(item)
            if stored != value and stored not in self.uncertain[item] and not group.lost_writes:
                self.violations.append(
                    f"LOST: {item}: {value!r} was acknowledged, but {stored!r} is stored")
        for name, item, value, error in self.refused:
            self.check_not_stored(self.system.groups[name], item, value, error)
        self.check_rate()
        self.oracle.check_runs()
        self.violations += self.oracle.summarize()
        for group in self.system.groups.values():
            effects = collections.Counter((entry[2], entry[3]) for entry in group.primary().log
                                          if entry[2] != "end")
            self.violations += [f"TWICE: {item}: {value!r} was written {count} times"
                                for (item, value), count in effects.items() if count > 1]

    async def is_served(self, database):
        try:
            caller = CheckedCaller(self.oracle, self.hosts[0].port, database, "key-a", "alpha")
            if await asyncio.wait_for(caller.open(), 3):
                return False
            error, _ = await caller.run("WRITE end 1")
            return not error
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False

    # Runs

    async def run(self):
        await self.start()
        deadline = time.monotonic() + self.args.seconds
        workers = [asyncio.ensure_future(self.run_worker(number))
                   for number in range(self.args.callers)]
        troubles = [self.inject_series(group, deadline) for group in self.system.groups.values()]
        if self.seed not in REGRESSIONS:
            troubles.append(self.inject_overload(deadline))
        await asyncio.gather(self.inject_faults(deadline), *troubles)
        while self.faults:
            await asyncio.wait(set(self.faults))
        await asyncio.sleep(1)
        self.is_over = True
        await asyncio.gather(*workers)
        await self.check_final_state()
        await asyncio.sleep(1)
        host = self.rng.choice(self.hosts)
        self.note(f"{host.name} gets SIGTERM, and nothing else happens")
        self.violations += await line_stop.check_planned_stop(
            host, list(self.system.groups.values()), random.Random(self.seed))

    def write_trace(self, path):
        """Writes what was injected, what instances saw and what the hosts logged, by time."""
        lines = [(moment, f"soak {text}") for moment, text in self.trace]
        lines += self.oracle.violations[:500] + self.oracle.describe_suspects()
        for group in self.system.groups.values():
            lines += [(moment, f"{group.name} {text}") for moment, text in group.trace]
        offset = time.time() - time.monotonic()
        for host in getattr(self, "hosts", []):
            for line in pathlib.Path(host.log_file.name).read_text(errors="replace").splitlines():
                match = re.match(r"time=(\S+)Z level=\w+ host=(.*)", line)
                if match and LOG_EVENTS.search(line):
                    moment = datetime.datetime.fromisoformat(match.group(1) + "+00:00")
                    lines.append((moment.timestamp() - offset, match.group(2)))
        path.write_text("".join(f"{moment - self.started_at:8.3f} {text[:2000]}\n"
                                for moment, text in sorted(lines)) +
                        "".join(f"violation: {text[:2000]}\n" for text in self.violations),
                        encoding="utf-8")

    def stop(self):
        for host in getattr(self, "hosts", []):
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()


async def run_seeds(args):
    """Runs a range of seeds and the regression cases, each in its own process."""
    first, last = map(int, args.seeds.split("-"))
    runs = [(seed, args.seconds) for seed in range(first, last + 1)] + \
        [(seed, seconds) for seed, (seconds, _) in REGRESSIONS.items()]
    failed, bases = [], asyncio.Queue()
    for job in range(args.jobs):
        bases.put_nowait(args.base + job * PORTS_PER_RUN)

    async def run_one(seed, seconds):
        base = await bases.get()
        arguments = ["--seed", str(seed), "--seconds", str(seconds), "--hosts", str(args.hosts),
                     "--callers", str(args.callers), "--base", str(base)] + \
            (["--logs", args.logs] if args.logs else []) + (["--twice"] if args.twice else [])
        child = await asyncio.create_subprocess_exec(sys.executable, __file__, args.program,
                                                     *arguments)
        if await child.wait():
            failed.append(seed)
        bases.put_nowait(base)
    await asyncio.gather(*(run_one(seed, seconds) for seed, seconds in runs))
    print(f"soak: seeds {args.seeds} and {len(REGRESSIONS)} regressions, "
          f"failed: {sorted(failed) or 'none'}")
    return 1 if failed else 0


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST: runs these seeds and the regressions")
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--base", type=int, default=21000)
    parser.add_argument("--jobs", type=int, default=2, help="seeds that run at the same time")
    parser.add_argument("--logs", help="folder for the traces of failed seeds")
    parser.add_argument("--twice", action="store_true", help="faults of answers with any seed")
    args = parser.parse_args()
    # Ports in the ephemeral range could be taken by another process while a host restarts.
    lowest = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    if args.base + (args.jobs if args.seeds else 1) * PORTS_PER_RUN > lowest:
        parser.error(f"--base is too high: all ports have to be below the ephemeral ones, {lowest}")
    if args.seeds:
        return await run_seeds(args)
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    soak = Soak(args, args.seed)
    try:
        await soak.run()
    except AssertionError as error:
        soak.violations.append(str(error))
    finally:
        soak.stop()
    soak.violations[:0] = [line for group in soak.system.groups.values()
                           for line in group.describe_lost_writes(soak.started_at)]
    print(f"soak: seed {args.seed}: {'FAILED' if soak.violations else 'passed'}, "
          f"outcomes {soak.outcome_counts}, faults of answers {dict(soak.answer_fault_counts)}, "
          f"overload {soak.overload_counts}",
          *(violation[:400] for violation in soak.violations[:16]),
          sep="\n  " if soak.violations else " ", flush=True)
    if soak.violations and args.logs:
        soak.write_trace(pathlib.Path(args.logs) / f"seed-{args.seed}.txt")
    return 1 if soak.violations else 0


async def run():
    status = await main()
    sys.stdout.flush()
    os._exit(status)  # skips the cleanup of pending watches of the stand-in


with asyncio.Runner(loop_factory=make_loop) as runner:
    runner.run(run())
