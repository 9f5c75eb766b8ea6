"""Compares what callers sent and were told with what the instances did, by Group.runs of the
stand-ins: whose answer an answer was, what ran, and where.

Each violation has the name of the rule that it breaks first, as on the users' pages.
"""
import asyncio
import collections
import dataclasses
import random
import selectors
import time

from line_demo import Caller

# Answers that promise that nothing of the operation is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD")
IDLE_SECONDS = 0.95  # a little less than txIdleMs
DATA_VERBS = ("READ", "WRITE", "EXECUTE", "COMMIT")


def split(text):
    """Returns the verb, the next field and what follows it."""
    verb, _, rest = text.partition(" ")
    name, _, rest = rest.partition(" ")
    return verb, name, rest


def without_name(text):
    """Returns a text without the name of a prepared statement, which hosts may change."""
    verb, _, rest = split(text)
    return (verb, rest) if verb == "EXECUTE" else (text,)


class TimedSelector(selectors.DefaultSelector):
    """Notes since when the bytes that the event loop reads now may have been there. A process that
    gets no processor reads them late."""

    def __init__(self):
        super().__init__()
        self.arrived_after = self.polled_at = time.monotonic()

    def select(self, timeout=None):
        started_at = time.monotonic()
        events = super().select(timeout)
        has_waited = time.monotonic() - started_at > 0.001
        self.arrived_after = started_at if has_waited else self.polled_at
        self.polled_at = started_at
        return events


selector = TimedSelector()


def make_loop():
    """Returns the event loop that an oracle and its callers need."""
    return asyncio.SelectorEventLoop(selector)


class CallerTransaction:
    def __init__(self):
        self.statements = []


@dataclasses.dataclass
class Sent:
    """A statement of a caller, the state of its session by then, and the answer that it got."""
    at: float  # when its last byte was written
    port: int  # of the host
    id: str
    text: str
    customer: str
    values: dict
    prepared: dict  # name -> (kind, shape)
    transaction: CallerTransaction = dataclasses.field(repr=False)
    state: str         # of the session
    is_late: bool      # the transaction was idle for so long that it may have been ended
    error: str = None  # None: no answer yet
    digest: str = ""
    rows: list = None

    @property
    def verb(self):
        return self.text.partition(" ")[0]


class Oracle:
    def __init__(self, groups):
        self.groups, self.sent, self.started_at = groups, {}, time.monotonic()
        self.violations, self.counts, self.suspects = [], collections.Counter(), set()
        self.value_names = set()  # that callers set

    def report(self, check, text, *ids):
        self.counts[check] += 1
        self.suspects.update(ids)
        self.violations.append((time.monotonic(), f"{check}: {text}"))

    def summarize(self):
        """Returns a line for each check that failed, with the first case."""
        return [f"{next(text for _, text in self.violations if text.startswith(check + ':'))}"
                f"{f' (first of {count})' if count > 1 else ''}"
                for check, count in self.counts.items()]

    def find_run(self, digest):
        return next((group.runs_by_digest[digest] for group in self.groups
                     if digest in group.runs_by_digest), None)

    # Answers

    def check_answer(self, sent, messages, state):
        words = [message.partition(" ")[0] for message in messages]
        if words[:-2] != ["ROW"] * len(words[:-2]) or words[-2] not in ("COMPLETE", "ERROR"):
            self.report("MIXED message", f"{sent} got {messages}", sent.id)
        if sent.error == "MALFORMED" and not (sent.state == "E" or sent.is_late and state == "E"):
            self.report("MALFORMED", f"{sent} was refused: {messages}", sent.id)
        if sent.error == "NOSTMT" and sent.verb in ("EXECUTE", "DEALLOC") and \
                split(sent.text)[1] in sent.prepared:
            self.report("PINNED name", f"{sent} got NOSTMT", sent.id)
        if sent.error:
            return
        is_open = sent.transaction and sent.verb not in ("COMMIT", "ROLLBACK")
        if sent.state == "E" and sent.verb != "ROLLBACK":
            self.report("MIXED state", f"{sent} succeeded in a failed transaction", sent.id)
        if state != ("T" if is_open else "I"):
            self.report("MIXED state", f"{sent} ended in state {state}", sent.id)
        if sent.verb not in DATA_VERBS:
            if sent.digest != "-" or sent.rows:
                self.report("MIXED digest", f"{sent} got {messages}", sent.id)
            return
        run = self.find_run(sent.digest)
        if not run:
            self.report("MIXED digest", f"{sent} got one that no instance gave", sent.id)
        elif run.id != sent.id:
            self.report("MIXED digest", f"{sent} got that of {run}", sent.id, run.id)
        elif run.rows != sent.rows:
            self.report("MIXED rows", f"{sent}, but the instance sent {run.rows}", sent.id)

    # Runs

    def check_runs(self):
        """Checks all that the instances did, once no statement is in progress."""
        runs = [run for group in self.groups for run in group.runs]
        by_id = collections.defaultdict(list)
        for run in runs:
            by_id[run.id].append(run)
            self.check_run(run)
        for transaction in {run.transaction for run in runs if run.transaction}:
            self.check_transaction(transaction)
        for transaction in {sent.transaction for sent in self.sent.values() if sent.transaction}:
            self.check_caller_transaction(transaction, by_id)
        for sent in self.sent.values():
            self.check_effect(sent, by_id[sent.id])

    def check_run(self, run):
        if run.id == "-":
            if run.has_effect:
                self.report("UNASKED write", f"a host's own: {run}")
            return
        sent = self.sent.get(run.id)
        if not sent:
            self.report("UNASKED id", f"no caller sent {run}", run.id)
            return
        if without_name(run.text) != without_name(sent.text):
            self.report("UNASKED text", f"{sent} came as {run.text!r}", run.id)
        if run.customer != sent.customer:
            self.report("UNASKED customer", f"{sent} came for {run.customer}", run.id)
        if not run.is_run:
            return
        values = {name: value for name, value in run.values.items() if name in self.value_names}
        if values != sent.values:
            self.report("PINNED values", f"{sent} ran with {values}", run.id)
        if sent.verb == "EXECUTE" and sent.prepared.get(split(sent.text)[1]) != run.executed:
            self.report("PINNED shape", f"{sent} ran {run.executed}", run.id)

    def owner(self, query_id):
        sent = self.sent.get(query_id)
        return sent and (sent.transaction or sent.id)

    def check_transaction(self, transaction):
        """Checks that a transaction at an instance belongs to one caller, who asked for its
        commit."""
        ids = [run.id for run in transaction.runs if run.id != "-"]
        if transaction.begin_id != "-":
            ids.append(transaction.begin_id)
        owners = {self.owner(query_id) for query_id in ids}
        if len(owners) > 1:
            self.report("PINNED transaction", f"one of several callers: {transaction.runs}", *ids)
        commit = transaction.commit_id and self.sent.get(transaction.commit_id)
        if transaction.commit_id and not (commit and commit.text == "COMMIT" and
                                          commit.transaction in owners):
            self.report("UNASKED commit", f"{transaction.commit_id}: {transaction.runs}", *ids)

    def check_caller_transaction(self, transaction, by_id):
        """Checks that the statements of a caller's transaction ran in one at an instance. Only the
        first one may have run elsewhere before, in transactions that were not committed."""
        statements = [sent for sent in transaction.statements if sent.verb in DATA_VERBS]
        first_run = statements and self.find_run(statements[0].digest)
        for sent in statements:
            for run in by_id[sent.id]:
                if not run.is_run:
                    continue
                if not run.transaction or (
                        first_run and run.transaction is not first_run.transaction and
                        (sent is not statements[0] or run.transaction.commit_id)):
                    self.report("PINNED transaction", f"{sent} ran outside its own: {run}", sent.id)

    def check_effect(self, sent, runs):
        """Checks that a statement took effect at most once, and not if its answer denied that."""
        if not sent.transaction and any(run.transaction and run.transaction.begin_id != "-"
                                        for run in runs if run.is_run):
            self.report("PINNED transaction", f"{sent} is in none, but ran in one", sent.id)
        effects = sum(run.has_effect or bool(
            run.transaction and run.transaction.commit_id and run.is_run and
            sent.verb != "COMMIT" and (run.executed or (sent.verb, ""))[0] == "WRITE")
            for run in runs)
        if effects > 1:
            self.report("TWICE", f"{sent} took effect {effects} times", sent.id)
        if effects and sent.error in PROMISES:
            self.report("REFUSED", f"{sent} took effect", sent.id)
        is_write = sent.verb == "WRITE" or \
            sent.verb == "EXECUTE" and sent.prepared.get(split(sent.text)[1], ("",))[0] == "WRITE"
        if is_write and sent.error == "" and not sent.transaction and not effects:
            self.report("LOST effect", f"{sent} took no effect", sent.id)

    def describe_suspects(self):
        """Returns (time, text) of statements that broke a rule, and of all that ran on the same
        connections within a second."""
        runs = [run for group in self.groups for run in group.runs]
        suspects = [run for run in runs if run.id in self.suspects][:40]
        near = [run for run in runs if any(run.connection == suspect.connection and
                                           abs(run.at - suspect.at) < 1 for suspect in suspects)]
        sent = [self.sent[query_id] for query_id in sorted(self.suspects)[:200]
                if query_id in self.sent]
        return [(run.at, f"{run.instance} runs {run}") for run in near] + \
            [(one.at, f"a caller sends {one}") for one in sent]


class CheckedCaller(Caller):
    """A caller that records its session, and checks each of its answers."""

    def __init__(self, oracle, port, database, key, customer):
        super().__init__(port, database, key)
        self.oracle, self.customer = oracle, customer
        self.values, self.prepared, self.transaction = {}, {}, None
        self.answered_at, self.last_sent = time.monotonic(), None

    async def open(self):
        error = await super().open()
        self.feed_data, self.reader.feed_data = self.reader.feed_data, self.take_data
        return error

    def take_data(self, data):
        # The host's idle limit begins when it sends the last byte of an answer.
        self.answered_at = selector.arrived_after
        self.feed_data(data)

    def write_message(self, message):
        super().write_message(message)
        if self.last_sent:
            self.last_sent.at = time.monotonic()
            self.last_sent.is_late = self.last_sent.at - self.answered_at > IDLE_SECONDS

    def note_sent(self, text):
        if text in ("BEGIN", "BEGIN READ"):
            self.transaction = CallerTransaction()
        sent = Sent(time.monotonic(), self.port, f"{random.getrandbits(64):016x}", text,
                    self.customer, self.values, self.prepared, self.transaction, self.state,
                    False)
        self.oracle.sent[sent.id] = self.last_sent = sent
        if self.transaction:
            self.transaction.statements.append(sent)
        return sent

    async def run(self, text, query_id=None):
        sent = self.note_sent(text)
        error, rows = await asyncio.wait_for(super().run(text, sent.id), 8)
        sent.error, sent.rows, sent.digest = error, rows, self.digest
        if error == "CLOSED":
            return error, rows
        self.oracle.check_answer(sent, self.messages, self.state)
        self.follow(sent)
        return error, rows

    def follow(self, sent):
        """Follows what the session holds after an answer."""
        verb, name, rest = split(sent.text)
        if verb in ("COMMIT", "ROLLBACK") or (sent.error and self.state == "I"):
            self.transaction = None
        if sent.error:
            return
        if verb == "SET":
            self.oracle.value_names.add(name)
            self.values = {**self.values, name: rest}
        elif verb == "PREPARE":
            kind, _, shape = rest.partition(" ")
            self.prepared = {**self.prepared, name: (kind, shape)}
        elif verb == "DEALLOC":
            self.prepared = {key: value for key, value in self.prepared.items() if key != name}

    def can_continue(self):
        return self.state == "I" and not self.reader.at_eof() and not self.writer.is_closing()

    def send_and_leave(self, text):
        self.write_message(f"QUERY {self.note_sent(text).id} {text}")
        self.writer.close()

    async def pause(self, seconds):
        """Waits. Nothing may arrive meanwhile but an error or the end of the connection."""
        try:
            byte = await asyncio.wait_for(self.reader.read(1), seconds)
        except asyncio.TimeoutError:
            return
        if byte and byte != b"E":
            rest = await asyncio.wait_for(self.reader.read(200), 1)
            self.oracle.report("MIXED message", f"{byte + rest} answers nothing")
        raise ConnectionError
