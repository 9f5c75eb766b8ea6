#!/usr/bin/env python3
"""Planned stops of an entry host (SIGTERM, SIGKILL after the stop limit): each request that the host
has passed on to an instance, or kept for a while, gets an answer.

usage: line_stop_test.py [PROGRAM] [--filter SUITE/NAME] [--jobs N] [--tap FILE] [--traces FOLDER]
"""
import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "testing"))
from line_demo import Caller  # noqa: E402
import line_fleet  # noqa: E402
from line_fleet import check, test  # noqa: E402

# A request that was not passed on may be cut for this long after it was sent.
UNREAD_SECONDS = 0.2
# An open transaction may go on for this long after SIGTERM.
OPEN_SECONDS = line_fleet.GRACE_SECONDS / 2


class Request:
    def __init__(self, text):
        self.id, self.text, self.sent_at = f"{random.getrandbits(64):016x}", text, time.monotonic()
        self.ended_at, self.error = None, None


class Stop:
    """Callers of one of two hosts, which gets SIGTERM."""

    def __init__(self, fleet, get_work_seconds):
        self.fleet, self.host, self.get_work_seconds = fleet, fleet.hosts[0], get_work_seconds
        self.started, self.requests, self.open_count = {}, [], 0
        for instance in fleet.group.instances.values():
            instance.run = self.make_slow(instance.run)

    def make_slow(self, run):
        async def run_slowly(session, query_id, text, send):
            if query_id != "-":
                self.started[query_id] = time.monotonic()
                await asyncio.sleep(self.get_work_seconds(text))
            return await run(session, query_id, text, send)
        return run_slowly

    async def begin(self):
        # The time that statements take needs no slot, so that many run at a time.
        for instance in self.fleet.group.instances.values():
            instance.slots = 30
            await instance.register()
        await asyncio.sleep(0.3)
        self.term_at = time.monotonic() + 0.8

    async def sleep_until(self, seconds):
        """Sleeps until that many seconds after the SIGTERM."""
        await asyncio.sleep(self.term_at + seconds - time.monotonic())

    def is_over(self):
        return self.host.process.poll() is not None

    async def stop(self):
        await self.sleep_until(0)
        self.fleet.note(f"{self.host.name} gets SIGTERM")
        self.host.process.send_signal(signal.SIGTERM)
        open_count = 0
        while not self.is_over() and time.monotonic() < self.term_at + line_fleet.GRACE_SECONDS:
            if time.monotonic() < self.term_at + OPEN_SECONDS:
                open_count = self.open_count
            await asyncio.sleep(0.01)
        status = self.host.process.poll()
        self.fleet.note(f"{self.host.name} has ended with {status}, "
                        f"{time.monotonic() - self.term_at:.2f} s after SIGTERM")
        if status is None:
            self.host.process.kill()
        return open_count, status

    async def send(self, caller, text):
        request = Request(text)
        self.requests.append(request)
        try:
            request.error, _ = await caller.run(text, request.id)
        except (ConnectionError, OSError):
            request.error = "CLOSED"
        request.ended_at = time.monotonic()
        return request.error

    async def run_transaction(self, number, texts, pause, commit_at=0):
        """Runs a transaction. Its last statement is not sent before commit_at."""
        caller = Caller(self.host.port, line_fleet.DATABASE, line_fleet.KEY)
        check(await caller.open() == "", "a caller cannot connect")
        await asyncio.sleep(random.uniform(0, 0.5))
        self.open_count += 1
        for position, text in enumerate(texts):
            if position == len(texts) - 1:
                await self.sleep_until(commit_at)
            if await self.send(caller, text):
                break
            await asyncio.sleep(pause * random.uniform(0.9, 1.2))
        self.open_count -= 1
        caller.reset()

    async def run_single(self, text):
        """Sends one statement along with CONNECT."""
        request = Request(text)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.host.port)
        except OSError:
            return
        self.requests.append(request)
        answer = b""
        try:
            writer.write(f"CONNECT {line_fleet.DATABASE} {line_fleet.KEY}\r\n"
                         f"QUERY {request.id} {text}\r\n".encode())
            while answer.count(b"READY ") < 2:
                line = await reader.readline()
                if not line:
                    break
                answer += line
        except (ConnectionError, OSError):
            pass
        request.ended_at = time.monotonic()
        is_answered = answer.count(b"READY ") == 2
        request.error = ("" if b"COMPLETE" in answer else "REFUSED") if is_answered else "CLOSED"
        # A connection that the host has not accepted ends with the process.
        if not answer and request.id not in self.started:
            self.requests.remove(request)
        writer.transport.abort()

    def note_answers(self):
        outcomes = collections.Counter(request.error or "success" for request in self.requests)
        self.fleet.note(f"answers: {dict(outcomes)}")

    def check_answers(self):
        cut = []
        for request in self.requests:
            elapsed = request.ended_at - request.sent_at
            is_passed_on = request.id in self.started
            if request.error != "CLOSED" or elapsed >= line_fleet.STATEMENT_TIMEOUT_SECONDS or \
                    not (is_passed_on or elapsed > UNREAD_SECONDS):
                continue
            after = lambda at: f"{at - self.term_at:.2f} s"
            cut.append(request.text)
            self.fleet.note(f"no answer to {request.text}: sent {after(request.sent_at)}, "
                            f"{'run from ' + after(self.started[request.id]) if is_passed_on else 'not passed on'}, "
                            f"connection ended {after(request.ended_at)} after SIGTERM")
        answered = sum(request.error != "CLOSED" for request in self.requests)
        check(not cut, f"{len(cut)} requests were cut, {answered} answered: {', '.join(cut[:8])}")

    def check_commits(self):
        """An answer to a commit has to tell what became of it."""
        log = {entry[2] for entry in self.fleet.group.primary().log}
        for request in self.requests:
            verb, _, item = request.text.partition(" ")
            if verb == "COMMIT" and request.error == "":
                check(item in log, f"{item} was acknowledged, but is not stored")


async def run_stop(make_fleet, get_work_seconds, make_callers, open_count):
    """Stops a host beside callers. open_count: transactions that have to be open 3 s after SIGTERM."""
    async with make_fleet(host_count=2) as fleet:
        stop = Stop(fleet, get_work_seconds)
        await stop.begin()
        callers = [asyncio.ensure_future(caller) for caller in make_callers(stop)]
        seen_open_count, status = await stop.stop()
        await asyncio.gather(*callers)
        stop.note_answers()
        check(seen_open_count >= open_count, f"only {seen_open_count} transactions were open 3 s "
              "after SIGTERM, so nothing was tested")
        check(any(request.sent_at > stop.term_at + 2 and request.error == ""
                  for request in stop.requests),
              "no request succeeded late in the stop, so nothing was tested")
        stop.check_answers()
        check(status == 0, f"the host ended with {status} within the stop limit")
        return stop


# Guards against a planned stop that cuts statements of open transactions at its end.
@test("line_stop")
async def statementsOfTransactionsThatAreOpenUntilTheEnd(make_fleet):
    def make_callers(stop):
        for number in range(32):
            texts = ["BEGIN", *(f"READ t{number}-{step}" for step in range(10)), "COMMIT"]
            yield stop.run_transaction(number, texts, 0.52)
    await run_stop(make_fleet, lambda text: 0.15, make_callers, 20)


# Guards against a planned stop that cuts statements on which an instance works for long.
@test("line_stop")
async def slowStatementsOfOpenTransactions(make_fleet):
    def make_callers(stop):
        for number in range(20):
            texts = ["BEGIN", *(f"READ t{number}-{step}" for step in range(10)), "COMMIT"]
            yield stop.run_transaction(number, texts, 0.1)
    await run_stop(make_fleet, lambda text: 0 if text == "BEGIN" else 0.65, make_callers, 10)


# Guards against a planned stop that cuts a COMMIT in progress, whose caller then does not know
# whether it took effect.
@test("line_stop")
async def commitsInProgressAtTheEnd(make_fleet):
    def make_callers(stop):
        for number in range(30):
            texts = ["BEGIN", f"WRITE c{number} 1", *[f"READ c{number}"] * 9, "COMMIT"]
            yield stop.run_transaction(number, texts, 0.5, commit_at=3.5 + number * 0.07)
    await run_stop(make_fleet, lambda text: 0.7 if text == "COMMIT" else 0.004, make_callers, 15)


async def send_until_the_end(stop, number, pause):
    """Sends single statements from 2 s after SIGTERM on until the host accepts none."""
    await stop.sleep_until(2)
    singles = []
    while not stop.is_over() and time.monotonic() < stop.term_at + line_fleet.GRACE_SECONDS:
        text = f"WRITE s{number}-{len(singles)} 1" if len(singles) % 2 else f"READ s{len(singles)}"
        singles.append(asyncio.ensure_future(stop.run_single(text)))
        await asyncio.sleep(pause)
    await asyncio.gather(*singles)


# Guards against a planned stop that cuts single statements on which an instance works at its end.
@test("line_stop")
async def singleStatementsInProgressAtTheEnd(make_fleet):
    await run_stop(make_fleet, lambda text: 0.65,
                   lambda stop: [send_until_the_end(stop, number, 0.2) for number in range(4)], 0)


# Guards against a planned stop that takes requests just before it ends and leaves them unanswered.
@test("line_stop")
async def requestsThatArriveAsTheStopEnds(make_fleet):
    await run_stop(make_fleet, lambda text: 0.03,
                   lambda stop: [send_until_the_end(stop, number, 0.02) for number in range(4)], 0)


if __name__ == "__main__":
    line_fleet.main(__file__)
