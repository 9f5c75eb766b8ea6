"""Sessions with values, shapes and transactions, for tests beside scripted instances
(line_script.py)."""
import asyncio
import collections
import random
import time

import line_script
from line_script import DATA_VERBS, Caller, check_all

NEARLY_ALL = 0.95  # of the statements, with one in five answered twice
SHAPES = [b"READ q18 ui", b"READ q18_ui", b"READ q18%20ui", b"READ q18  ui", b"READ q18 ui ",
          b"READ  q18 ui", b"READ q18\tui", b"READ q18", b"WRITE q18 ui", b"WRITE q18_ui",
          b"WRITE q18  ui", b"WRITE q18%20ui"]


async def open_callers(fleet, databases=(b"posts", b"looks"), **keywords):
    """Returns callers at each host, which dispatches itself or forwards."""
    return [await Caller(fleet, host, database, **keywords).open()
            for database in databases for host in fleet.hosts]


def print_connections(name, script):
    count = sum(session.customer != line_script.CONTROL_CUSTOMER for session in script.sessions)
    print(f"{name}: {count} connections for {len(script.answers)} statements of callers")


class Load:
    """Sessions of two customers on all hosts with values, shapes and transactions. Statements that
    fail are counted, and the session goes on."""

    def __init__(self, fleet, script, session_count=12, operation_count=16, pause=0.0):
        self.fleet, self.script, self.rng = fleet, script, random.Random(31)
        self.session_count, self.operation_count = session_count, operation_count
        self.pause, self.value, self.seconds = pause, 0, []  # pause: seconds between operations

    async def run(self):
        sessions = range(self.session_count)
        await asyncio.gather(*(self.run_session(number) for number in sessions))

    async def run_session(self, number):
        key, customer = (b"key-a", b"alpha") if number % 4 else (b"key-b", b"beta")
        caller = await Caller(self.fleet, self.fleet.hosts[number % 3],
                              b"posts" if number % 2 else b"looks", key, customer).open()
        await caller.succeed(b"PREPARE s " + SHAPES[number % len(SHAPES)])
        for _ in range(self.operation_count):
            await self.run_operation(caller, number)
            await asyncio.sleep(self.rng.uniform(0, 2 * self.pause))
        await caller.check_silence()
        caller.close()

    async def run_operation(self, caller, number):
        self.value += 1
        read = b"READ i%d" % self.rng.randrange(4)
        write = b"WRITE i%d %d" % (number, self.value)
        execute = b"EXECUTE s i%d %d" % (number, self.value)
        texts = self.rng.choice([
            [read], [read], [read], [write], [execute], [b"SET zone %d" % (number % 5), read],
            [b"BEGIN", read, write, b"COMMIT"], [b"BEGIN", write, b"ROLLBACK"],
            [b"BEGIN READ", read, execute if number % len(SHAPES) < 8 else read, b"COMMIT"]])
        for text in texts:
            started_at = time.monotonic()
            answer = await caller.run(text)
            self.seconds.append(time.monotonic() - started_at)
            if answer.error:
                if caller.begin_id:
                    await caller.run(b"ROLLBACK")
                return

    def report(self, name):
        """Checks all answers and prints how many statements have succeeded."""
        check_all(self.script)
        answers = [answer for answer in self.script.answers
                   if self.script.sent[answer.id].text.split(b" ")[0] in DATA_VERBS]
        errors = collections.Counter(answer.error for answer in answers if answer.error)
        print(f"{name}: {len(answers) - sum(errors.values())} of {len(answers)} statements have "
              f"succeeded, errors {dict(errors)}; the slowest took {max(self.seconds):.3f} s, the "
              f"median is {sorted(self.seconds)[len(self.seconds) // 2]:.3f} s")
        print_connections(name, self.script)
        return 1 - sum(errors.values()) / len(answers)
