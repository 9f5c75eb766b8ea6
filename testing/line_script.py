"""Instances whose answers a test scripts byte by byte, and callers that compare every byte.

ScriptedInstance replaces the stand-in instance. Messages end at CR LF only and are bytes from end
to end. A Script says how it answers and holds what it has received; all instances of a test share
one. Caller keeps what its session was acknowledged, so that check_statements() can compare each
statement that an instance has run with the session that asked for it.
"""
import asyncio
import collections
import contextlib
import dataclasses
import inspect
import itertools
import json
import random
import re
import time

import line_fleet
import line_standins
from line_fleet import PROMISES, check, wait_until

GROUP = line_fleet.GROUP
ROUTES = {"posts": (GROUP, "primary", 0), "looks": (GROUP, "bounded_staleness", 60000)}
KEYS = {"key-a": "alpha", "key-b": "beta"}
CONTROL_CUSTOMER = b"quetzalpaddle"  # of the hosts' own connections
HOST_ID = b"-"
DATA_VERBS = (b"READ", b"WRITE", b"EXECUTE", b"COMMIT")
MAX_MESSAGE_BYTES = 1 << 20
# All bytes but those of CR LF, and pieces that a parser may take for messages of their own.
ODD_TEXTS = [
    b"\n", b"\r", b"a\nb", b"a\rb", b"end\r", b"end\n", b"\n\r", b"a\n\rb", b"\0", b"a\0b",
    b"\xff\xfe", b"\xc3", b"caf\xc3\xa9", b" leading", b"trailing ", b"two  blanks", b"\t",
    b"\nCOMPLETE 1.2\nREADY I 1.1", b"x\nQUERY x WRITE a b", b"\nRELEASE", b"\rREADY I -",
    bytes(byte for byte in range(256) if byte != 10),
]


def shorten(data):
    return data if len(data) < 100 else data[:60] + b"... (%d bytes)" % len(data)


# --- Instances ---

@dataclasses.dataclass
class Answer:
    """An answer of an instance, or to a caller."""
    rows: list
    outcome: bytes  # the complete or the error message
    ready: bytes = b""
    id: bytes = b""

    def encode(self):
        return b"".join(b"ROW " + row + b"\r\n" for row in self.rows) + \
            self.outcome + b"\r\n" + self.ready + b"\r\n"

    @property
    def error(self):
        words = self.outcome.split(b" ")
        return words[1].decode() if words[0] == b"ERROR" else ""

    @property
    def digest(self):
        return self.outcome[len(b"COMPLETE "):] if not self.error else b""


@dataclasses.dataclass
class Transaction:
    """A transaction of an instance's connection."""
    begin_id: bytes
    is_read_only: bool
    writes: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Statement:
    """A statement as an instance has received it."""
    session: object
    id: bytes
    text: bytes  # without AFTER
    position: tuple = None  # of AFTER
    values: dict = None  # of the connection when it ran
    shape: bytes = None  # that EXECUTE ran
    transaction: Transaction = None  # that it ran in
    has_run: bool = False
    is_kept: bool = False  # its write took effect
    answer: Answer = None

    @property
    def verb(self):
        return self.text.split(b" ")[0]

    @property
    def is_control(self):
        return self.session.customer == CONTROL_CUSTOMER

    @property
    def is_data(self):
        return self.verb in DATA_VERBS and self.id != HOST_ID


class Session:
    """A connection to an instance."""
    numbers = itertools.count(1)

    def __init__(self, instance, writer):
        self.instance, self.writer, self.number = instance, writer, next(self.numbers)
        self.customer, self.state, self.transaction = b"", b"I", None
        self.values, self.prepared = {}, {}
        self.held = []  # bytes
        self.traffic = []  # (time, direction, bytes)

    def send(self, data):
        if not self.writer.is_closing():
            self.note(">", data)
            self.writer.write(data)

    def note(self, direction, data):
        self.traffic.append((time.monotonic(), direction, data))

    def hold(self, data):
        """Sends bytes when the next message has arrived, before its answer."""
        self.held.append(data)

    def release_held(self):
        while self.held:
            self.send(self.held.pop(0))

    def describe(self, statement):
        """Returns the traffic that led to a statement, and its answer."""
        index = next((index for index, (_, direction, data) in enumerate(self.traffic)
                      if direction == "<" and data.startswith(b"QUERY %s " % statement.id)), 0)
        origin = self.traffic[index][0]
        return "".join(f"\n  {at - origin:+.3f} {self.instance.id}#{self.number} {direction} "
                       f"{shorten(data)}"
                       for at, direction, data in self.traffic[max(index - 8, 0):index + 5])

    def close(self):
        self.writer.close()


class Script:
    """What instances answer, and what they have received.

    refuse: function (statement) that returns the code of an error, or None to run the statement.
    on_answer: function or coroutine (statement, answer) that sends the answer, which it may change.
    on_connect: function (session, ready message) that sends."""

    def __init__(self):
        self.rows = {}  # item -> rows
        self.refuse = lambda statement: None
        self.on_answer = lambda statement, answer: statement.session.send(answer.encode())
        self.on_connect = lambda session, ready: session.send(ready)
        self.messages, self.statements, self.sessions = [], [], []
        self.sent = {}  # id -> Sent
        self.digests = {}  # digest -> statement
        self.answers = []  # to callers
        self.rng = random.Random(31)

    def describe(self, query_id):
        """Returns the traffic around the statement with this id, for messages of failures."""
        last = {statement.session: statement for statement in self.find(query_id)}
        return "".join(session.describe(statement) for session, statement in last.items())

    def find(self, query_id):
        return [statement for statement in self.statements if statement.id == query_id]

    def make_digest(self, statement):
        digest = b"1.%x.c.%016x" % (len(self.digests) + 1, self.rng.getrandbits(64))
        self.digests[digest] = statement
        return digest


class ScriptedInstance(line_standins.Instance):
    script = None  # of the test
    work_seconds = 0.002

    async def serve(self, reader, writer):
        if not self.is_running:
            writer.transport.abort()
            return
        session = Session(self, writer)
        self.connections.add(writer)
        self.script.sessions.append(session)
        received = bytearray()
        try:
            while True:
                while (end := received.find(b"\r\n")) < 0:
                    data = await reader.read(1 << 18)
                    if not data:
                        return
                    received += data
                message = bytes(received[:end])
                del received[:end + 2]
                self.script.messages.append((session, message))
                session.note("<", message)
                session.release_held()
                if not await self.handle(session, message):
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, session, message):
        """Returns whether the connection goes on."""
        word, _, rest = message.partition(b" ")
        if word == b"CONNECT":
            service, _, rest = rest.partition(b" ")
            session.customer, _, instance = rest.rpartition(b" ")
            if service != self.group.name.encode() or instance != self.id.encode():
                session.send(b"ERROR WRONGNODE %s\r\n" % self.id.encode())
                return False
            async with self.use_slot():
                await asyncio.sleep(self.work_seconds)
            self.script.on_connect(session, self.make_ready(session) + b"\r\n")
        elif word == b"QUERY":
            query_id, _, text = rest.partition(b" ")
            statement = Statement(session, query_id, text)
            self.script.statements.append(statement)
            answer = await self.answer(statement)
            if not answer:
                return False
            statement.answer = answer
            sending = self.script.on_answer(statement, answer)
            if inspect.isawaitable(sending):
                await sending
        else:
            return False
        return not session.writer.is_closing()

    def make_ready(self, session):
        return b"READY %s %s" % (session.state, self.applied_position().encode())

    async def answer(self, statement):
        session = statement.session
        if match := re.fullmatch(rb"AFTER (\d+)\.(\d+) (.*)", statement.text, re.DOTALL):
            statement.position = int(match[1]), int(match[2])
            statement.text = match[3]
        error = self.script.refuse(statement)
        rows = []
        if not error:
            error, rows = await self.run_statement(statement)
        if error is None:
            return None
        if error:
            session.state = b"E" if session.transaction else b"I"
            outcome = b"ERROR %s %s" % (error.encode(), self.id.encode())
        else:
            outcome = b"COMPLETE " + (self.script.make_digest(statement)
                                      if statement.verb in DATA_VERBS else b"-")
        return Answer(rows, outcome, self.make_ready(session), statement.id)

    async def run_statement(self, statement):
        """Returns the code of the error, "" on success, None if there is no answer; and rows."""
        session, verb = statement.session, statement.verb
        rest = statement.text[len(verb) + 1:]
        ends = verb in (b"COMMIT", b"ROLLBACK")
        if verb in (b"SUSPEND", b"RESUME", b"STEPDOWN", b"STATUS"):
            await self.run_control_statement(verb.decode(), int(rest or 0))
            lag = 0 if self.role == "primary" else int(self.replay_lag * 1000)
            return "", [f"{self.role} {self.term} {self.received_position()} {self.held} {lag} "
                        f"{self.busy_slots} {len(self.connections)}".encode()]
        if session.state == b"E" and not ends:
            return "MALFORMED", []
        if statement.position and \
                tuple(map(int, self.applied_position().split("."))) < statement.position:
            return "LAGGING", []
        if verb == b"RESET":
            session.values, session.prepared = {}, {}
        elif verb == b"SET":
            name, _, session.values[name] = rest.partition(b" ")
        elif verb == b"PREPARE":
            name, _, session.prepared[name] = rest.partition(b" ")
        elif verb == b"DEALLOC":
            if not session.prepared.pop(rest, None):
                return "NOSTMT", []
        elif verb == b"BEGIN":
            if session.transaction:
                return "MALFORMED", []
            if rest != b"READ" and self.role != "primary":
                return "READONLY", []
            session.transaction = Transaction(statement.id, rest == b"READ")
            session.state = b"T"
        elif verb == b"ROLLBACK":
            session.transaction, session.state = None, b"I"
        elif verb in DATA_VERBS:
            return await self.run_data(statement, verb, rest)
        else:
            return "MALFORMED", []
        return "", []

    async def run_data(self, statement, verb, rest):
        session, transaction = statement.session, statement.session.transaction
        if verb == b"COMMIT" and session.state != b"T":
            session.transaction, session.state = None, b"I"
            return "ABORTED", []
        if verb == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            if name not in session.prepared:
                return "NOSTMT", []
            statement.shape = session.prepared[name]
            verb = statement.shape.split(b" ")[0]
        async with self.use_slot():
            await asyncio.sleep(self.work_seconds)
            needs_lead = verb == b"WRITE" or (verb == b"COMMIT" and transaction.writes) or \
                (verb == b"READ" and transaction and not transaction.is_read_only)
            if needs_lead and self.role != "primary":
                return "READONLY", []
            statement.has_run, statement.values = True, dict(session.values)
            statement.transaction = transaction
            if verb == b"READ":
                value = self.get_value(rest.decode("latin-1")).encode("latin-1")
                return "", self.script.rows.get(rest, [value])
            if verb == b"WRITE":
                item, _, data = rest.partition(b" ")
                writes = [(item.decode("latin-1"), data.decode("latin-1"))]
                if transaction:
                    transaction.writes.append((statement, writes[0]))
                    return "", []
                statement.is_kept = True
            else:
                session.transaction, session.state = None, b"I"
                writes = [write for _, write in transaction.writes]
                for written, _ in transaction.writes:
                    written.is_kept = True
            if writes and not await self.commit(writes):
                return None, []
        return "", []


@contextlib.asynccontextmanager
async def open_fleet(make_fleet, keys=KEYS, routes=ROUTES, open_routes=(), **keywords):
    """Runs entry hosts beside scripted instances. Yields the fleet and the script."""
    script = ScriptedInstance.script = Script()
    line_standins.Instance = ScriptedInstance
    async with make_fleet(**keywords) as fleet:
        await fleet.system.configure(keys, routes, open_routes=open_routes)

        async def are_configured():
            dumps = [(await host.get("/dump")).partition("\r\n\r\n")[2] for host in fleet.hosts]
            return all(json.loads(dump or "{}").get("config_version") == fleet.system.version
                       for dump in dumps)
        await wait_until(are_configured, "all hosts use the configuration", 5)
        fleet.script = script
        yield fleet, script


# --- Scripts ---

def answer_twice(script, picks, how, make_delay):
    """Lets instances answer the statements that picks(statement) names twice.

    how: "at once", "late" (after the delay in seconds that make_delay() returns), "next" (when the
    next message has arrived, before its answer), or "in pieces" (a part at once, the rest when the
    next message has arrived)."""
    def on_answer(statement, answer):
        session, data = statement.session, answer.encode()
        if statement.is_control or not picks(statement):
            session.send(data)
        elif how == "at once":
            session.send(data + data)
        elif how == "in pieces":
            size = script.rng.randrange(1, len(data))
            session.send(data + data[:size])
            session.hold(data[size:])
        else:
            session.send(data)
            if how == "late":
                asyncio.get_running_loop().call_later(make_delay(), session.send, data)
            else:
                session.hold(data)
    script.on_answer = on_answer


# --- Callers ---

@dataclasses.dataclass
class Sent:
    """A statement as its caller has sent it, and its session at that time."""
    text: bytes
    customer: bytes  # None: any
    values: dict
    shape: bytes
    begin_id: bytes  # of the transaction, empty if there is none


class Caller:
    """A session that compares every message with the protocol."""

    def __init__(self, fleet, host, database=b"posts", key=b"key-a", customer=b"alpha"):
        self.fleet, self.script, self.host = fleet, fleet.script, host
        self.database, self.key, self.customer = database, key, customer
        self.received, self.outstanding = bytearray(), collections.deque()
        self.values, self.prepared, self.begin_id, self.has_failed = {}, {}, b"", False

    async def connect(self):
        """Returns the answer to CONNECT, None if the connection ends before it."""
        await self.open_socket()
        self.writer.write(b"CONNECT %s %s\r\n" % (self.database, self.key))
        return await self.read_message()

    async def open_socket(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.host.port)

    async def open(self):
        answer = await self.connect()
        check(answer == b"READY I -", f"CONNECT was answered with {answer}")
        return self

    async def read_message(self, timeout=8):
        """Returns the next message without CR LF, None at the end of the connection."""
        end = -1
        while (end := self.received.find(b"\r\n", max(end, 0))) < 0:
            end = len(self.received) - 1
            data = await asyncio.wait_for(self.reader.read(1 << 18), timeout)
            if not data:
                check(not self.received, f"a message was cut off: {shorten(bytes(self.received))}")
                return None
            self.received += data
        message = bytes(self.received[:end])
        del self.received[:end + 2]
        return message

    def format(self, text, query_id=None):
        """Returns the message of a statement, and notes that its answer is outstanding."""
        query_id = query_id or b"%016x" % random.getrandbits(64)
        words = text.split(b" ")
        shape = self.prepared.get(words[1]) if words[0] == b"EXECUTE" else None
        self.script.sent[query_id] = Sent(text, self.customer, dict(self.values), shape,
                                          self.begin_id)
        self.outstanding.append((query_id, text))
        return b"QUERY %s %s\r\n" % (query_id, text)

    async def read_answer(self):
        """Reads the answer to the oldest outstanding statement and checks its form."""
        query_id, text = self.outstanding.popleft()
        rows = []
        while (message := await self.read_message()) is not None and message.startswith(b"ROW "):
            rows.append(message[4:])
        about = f"{shorten(text)}"
        check(message is not None, f"{about}: the connection ended before the answer")
        check(re.match(rb"COMPLETE .|ERROR [A-Z]+ ", message) is not None,
              f"{about}: {shorten(message)} is no answer")
        ready = await self.read_message()
        check(ready is not None and re.fullmatch(rb"READY [ITE] (\d+\.\d+|-)", ready),
              f"{about}: {shorten(ready or b'the end')} in place of READY")
        answer = Answer(rows, message, ready, query_id)
        self.note_answer(text, answer)
        check(ready[6:7] == self.expected_state(), f"{about}: {message} was followed by {ready}")
        self.script.answers.append(answer)
        return answer

    def note_answer(self, text, answer):
        verb, _, rest = text.partition(b" ")
        if verb in (b"COMMIT", b"ROLLBACK"):
            self.begin_id, self.has_failed = b"", False
        elif answer.error:
            self.has_failed = bool(self.begin_id)
        elif verb == b"BEGIN":
            self.begin_id = answer.id
        elif verb in (b"SET", b"PREPARE"):
            name, _, value = rest.partition(b" ")
            (self.values if verb == b"SET" else self.prepared)[name] = value
        elif verb == b"DEALLOC":
            self.prepared.pop(rest, None)

    def expected_state(self):
        return b"E" if self.has_failed else b"T" if self.begin_id else b"I"

    async def run(self, text, query_id=None):
        self.writer.write(self.format(text, query_id))
        return await self.read_answer()

    async def succeed(self, text, rows=None, query_id=None):
        """Runs a statement that has to succeed, with the given rows if there are any."""
        answer = await self.run(text, query_id)
        check(not answer.error, f"{shorten(text)}: {answer.outcome}")
        check(rows is None or answer.rows == rows,
              f"{shorten(text)}: the rows are {[shorten(row) for row in answer.rows]}")
        return answer

    async def check_silence(self, seconds=0.1):
        """Checks that nothing arrives while no statement is outstanding."""
        with contextlib.suppress(asyncio.TimeoutError):
            message = await self.read_message(seconds)
            check(False, f"{message} arrived while no statement was outstanding")

    def close(self):
        self.writer.transport.abort()


# --- Checks ---

def check_answers(script):
    """Checks that each success is the answer of an instance to this very statement, and that what
    callers were told is true."""
    for answer in script.answers:
        sent = script.sent[answer.id]
        about = f"{shorten(sent.text)} with id {answer.id}"
        ran = [statement for statement in script.find(answer.id) if statement.has_run]
        if answer.error in PROMISES:
            check(not any(statement.is_kept for statement in ran),
                  f"{about}: told {answer.error}, but its write is kept"
                  f"{script.describe(answer.id)}")
        if answer.error or sent.text.split(b" ")[0] not in DATA_VERBS:
            continue
        check(answer.digest in script.digests,
              f"{about}: {answer.outcome} is no answer of an instance"
              f"{script.describe(answer.id)}")
        statement = script.digests[answer.digest]
        check(statement.id == answer.id,
              f"{about}: told the answer to {shorten(statement.text)} with id {statement.id}"
              f"{script.describe(answer.id)}")
        check(statement.answer.rows == answer.rows,
              f"{about}: the rows are {[shorten(row) for row in answer.rows]}, the instance sent "
              f"{[shorten(row) for row in statement.answer.rows]}")


def without_prepared_name(text):
    verb, _, rest = text.partition(b" ")
    return verb + b" " + rest.partition(b" ")[2] if verb == b"EXECUTE" else text


def check_statements(script):
    """Checks that instances have run only what callers have sent, unchanged, once, and with the
    values, the shape and the transaction of the session."""
    for statement in script.statements:
        if statement.id == HOST_ID:
            check(statement.verb not in (b"WRITE", b"EXECUTE", b"COMMIT", b"READ"),
                  f"a host sent {shorten(statement.text)} by itself")
            continue
        about = f"{shorten(statement.text)} with id {statement.id}"
        sent = script.sent.get(statement.id)
        check(sent, f"nobody has sent {about}")
        check(without_prepared_name(statement.text) == without_prepared_name(sent.text),
              f"{about}: the caller has sent {shorten(sent.text)}")
        check(sent.customer in (statement.session.customer, None),
              f"{about}: ran for {statement.session.customer}, not for {sent.customer}")
        if statement.has_run:
            check_run(statement, sent, about, statement.session.describe(statement))
    kept = collections.Counter(statement.id for statement in script.statements if statement.is_kept)
    twice = [query_id for query_id, count in kept.items() if count > 1]
    check(not twice, f"{len(twice)} writes took effect twice, the first with id "
          f"{twice and twice[0]}{script.describe(twice[0]) if twice else ''}")


def check_run(statement, sent, about, traffic):
    check(statement.values == sent.values,
          f"{about}: ran with the values {statement.values}, not {sent.values}{traffic}")
    check(statement.shape == sent.shape,
          f"{about}: ran the shape {statement.shape and shorten(statement.shape)}, not "
          f"{sent.shape and shorten(sent.shape)}{traffic}")
    begin_id = statement.transaction.begin_id if statement.transaction else b""
    check(begin_id in ((sent.begin_id, HOST_ID) if sent.begin_id else (b"", HOST_ID)),
          f"{about}: ran in the transaction {begin_id}, not {sent.begin_id}{traffic}")
    if begin_id == HOST_ID and not sent.begin_id:
        check(not statement.transaction.writes,
              f"{about}: ran in a transaction with a write{traffic}")


def check_transactions(script):
    """Checks that the successful statements of each transaction ran in the same one at an
    instance."""
    transactions = {}
    for answer in script.answers:
        sent, statement = script.sent[answer.id], script.digests.get(answer.digest)
        if sent.begin_id and statement:
            first = transactions.setdefault(sent.begin_id, statement.transaction)
            check(statement.transaction is first,
                  f"{shorten(sent.text)} with id {answer.id} ran in another transaction than the "
                  "statement before it")


def check_all(script):
    check_answers(script)
    check_statements(script)
    check_transactions(script)
