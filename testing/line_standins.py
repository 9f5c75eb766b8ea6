"""Stand-ins for the users' platform, as its published pages describe it: database instances that
speak the line protocol, and a System of groups of them (line_group.py) beside a store
(line_store.py). All run in one asyncio loop.

They reproduce what callers can observe: terms and positions, a primary and replicas that lag,
acknowledgement by one replica, pinned transactions, values and prepared names of connections, error
codes, promotions that take effect later, and entries that expire. Faults are injected with
Instance.kill(), revive(), deaf, reaches_store, replay_lag and answers_to_lose, System.replace(),
System.late_share, Store.stop(), start() and put_text(), and the proxies of line_proxy.py.

Group.note_acknowledged() tells a group that a caller was told of a commit. A promotion of an
instance that lacks such a commit is recorded in Group.lost_writes.
"""
import asyncio
import contextlib
import dataclasses
import itertools
import random
import time

from line_group import Group
from line_proxy import Proxy
from line_store import Store, serve_http

MAX_MESSAGE_BYTES = 1 << 20  # with its CR LF

# Values, data and rows with bytes that a message may hold; # stands for a unique text.
ODD_VALUES = [
    " #", "# ", "  #  ", "#\n", "\n#", "#\r", "\r#", "#\r\r", "#\0", "\0#", "#\t#", "#\xff",
    "\xff\xfe#", "\xc3#", "#\xe9\x80", "#\nCOMPLETE 1.2.3\nREADY I 1.1",
    "#\nCOMPLETE -\nREADY I -\nROW #",
    "\nCOMPLETE x #", "#\nQUERY y WRITE z 1", "#\nQUERY smuggled WRITE z #", "#\rQUERY cr READ z",
    "AFTER 1.1 #", "- #", "#\nRELEASE", "\"#\\",
]


class Transaction:
    """A transaction on a connection to an instance."""

    def __init__(self, begin_id, is_read_only):
        self.begin_id, self.is_read_only = begin_id, is_read_only
        self.writes, self.runs = [], []
        self.commit_id = None  # of the COMMIT that took effect


@dataclasses.dataclass
class Run:
    """What an instance did with a statement that it received, and the state that the connection had
    then."""
    at: float
    instance: str
    connection: int
    customer: str
    id: str
    text: str       # without AFTER
    values: dict    # replaced, not changed, by the connection's next SET
    prepared: dict  # name -> (kind, shape)
    transaction: Transaction = dataclasses.field(default=None, repr=False)
    executed: tuple = None  # kind and shape that an EXECUTE ran
    is_run: bool = False    # as data statement
    has_effect: bool = False  # it has appended to the log
    digest: str = ""
    rows: list = dataclasses.field(default_factory=list)
    error: str = ""


class Session:
    """A connection of a host to an instance."""
    numbers = itertools.count(1)

    def __init__(self):
        self.number, self.customer, self.is_silent = next(self.numbers), None, False
        self.values, self.prepared, self.transaction, self.state = {}, {}, None, "I"
        self.run = None  # of the statement in progress

    def end_transaction(self):
        self.transaction, self.state = None, "I"

    def fail(self, code, text, send):
        """Answers with an error, which fails an open transaction."""
        if self.transaction:
            self.state = "E"
        self.run.error = code
        send(f"ERROR {code} {text}")


class Instance:
    replication_seconds = 0.002  # one way
    work_seconds = 0.004  # of a statement

    def __init__(self, group, instance_id, zone, port, slots=3, replay_lag=0.02):
        self.group, self.id, self.zone, self.port = group, instance_id, zone, port
        self.slots, self.replay_lag, self.role, self.is_running = slots, replay_lag, "replica", True
        self.log, self.applied, self.term = [], 0, group.term
        self.held = 0  # term up to which it is suspended; 0 if it receives
        self.deaf, self.reaches_store, self.start_count, self.busy_until = False, True, 1, 0.0
        self.checked_in_at, self.next_check_in, self.is_listed = time.monotonic(), 0.0, False
        self.draining, self.answers_to_lose, self.busy_slots = False, 0, 0
        self.cold_ms = 0  # as its entry shows
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.connections, self.statements, self.peak_connections = set(), [], 0
        group.instances[instance_id] = self

    @property
    def suspended(self):
        return self.held > 0

    async def register(self):
        if self.is_running and self.reaches_store and self.group.store.is_running:
            self.checked_in_at, self.is_listed = time.monotonic(), True
            await self.group.store.put("servers", self.id, {
                "service": self.group.name, "address": f"127.0.0.1:{self.port}",
                "zoneId": self.zone, "version": "v1", "capacity": self.slots,
                "serverState": "draining" if self.draining else "in_service",
                "coldMs": self.cold_ms, "dbRole": self.role, "seqNo": 1})

    async def check_in(self, now):
        """Writes the entry when it is due, and removes it after three missed check-ins."""
        store, interval, rng = self.group.store, self.group.check_in_seconds, self.group.rng
        if not store.is_running:
            self.next_check_in = None
        elif self.next_check_in is None:
            # Within two seconds after an outage: some early, some late.
            self.next_check_in = now + rng.choice([rng.uniform(0.05, 0.5),
                                                   rng.uniform(1.4, 1.95)])
        if self.is_running and self.reaches_store and store.is_running and \
                now >= self.next_check_in:
            self.next_check_in = now + interval
            if not self.is_listed:
                self.group.note(f"the entry of {self.id} is back")
            await self.register()
        missed_since = self.checked_in_at if store.expires_while_down else \
            max(self.checked_in_at, store.started_at)
        if self.is_listed and now - missed_since > 3 * interval and \
                (store.is_running or store.expires_while_down):
            self.is_listed = False
            self.group.note(f"the entry of {self.id} expires")
            await store.delete("servers", self.id)

    def applied_position(self):
        return f"{self.log[self.applied - 1][0]}.{self.log[self.applied - 1][1]}" \
            if self.applied else f"{self.term}.0"

    def received_position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def kill(self, event="crashes"):
        if self.is_running:
            self.group.note(f"{self.id}, {self.role}, {event} at {self.received_position()}")
        self.is_running = False
        for writer in set(self.connections):
            writer.transport.abort()

    def revive(self):
        """Starts it again with its log, as a replica if another instance was promoted."""
        if not self.is_running:
            self.group.note(f"{self.id}, {self.role}, is back at {self.received_position()}")
            self.is_running, self.held, self.next_check_in = True, 0, 0.0
            self.start_count += 1

    def get_value(self, item):
        return next((entry[3] for entry in reversed(self.log[:self.applied])
                     if entry[2] == item), "-")

    def has(self, write):
        return any((entry[2], entry[3]) == write for entry in reversed(self.log))

    def roll_back(self, entries):
        """Drops what the log has beyond the given one."""
        length = min(len(self.log), len(entries))
        while length and self.log[length - 1] != entries[length - 1]:
            length -= 1
        if length < len(self.log):
            del self.log[length:]
            self.applied = min(self.applied, length)
            self.busy_until = time.monotonic() + self.group.rollback_seconds

    async def receive(self, entries):
        """Receives the log of the primary, from the first entry that this instance lacks."""
        if self.suspended or self.deaf or not self.is_running:
            return False
        if len(self.log) > len(entries) or \
                (self.log and self.log[-1] != entries[len(self.log) - 1]):
            self.roll_back(entries)
        if len(self.log) == len(entries):
            return True
        self.log.extend(entries[len(self.log):])
        length = len(self.log)

        def apply():
            self.applied = max(self.applied, min(length, len(self.log)))
        asyncio.get_running_loop().call_later(self.replay_lag, apply)
        return True

    async def replicate(self):
        """Sends the log to all others. Returns whether one of them has received it and the
        primary, which still leads, knows."""
        start_count, term, length = self.start_count, self.term, len(self.log)
        leads = lambda: self.is_running and self.role == "primary" and \
            (self.start_count, self.term) == (start_count, term)
        await asyncio.sleep(self.replication_seconds)
        if not leads():
            return False
        others = [other for other in self.group.instances.values() if other is not self]
        # Within one loop step: what one of them has received is not rolled back meanwhile.
        received = [await other.receive(self.log) for other in others]
        await asyncio.sleep(self.replication_seconds)
        return any(received) and leads() and len(self.log) >= length

    async def commit(self, writes):
        """Appends the writes and waits until one replica has them, as syncReplicas 1 requires.

        Returns False if the instance stops being a running primary before that."""
        number = (self.log[-1][1] if self.log else 0) + 1
        start_count, term = self.start_count, self.term
        self.log.extend((term, number, item, value) for item, value in writes)
        self.applied = len(self.log)
        while self.is_running and self.role == "primary" and \
                (self.start_count, self.term) == (start_count, term):
            if await self.replicate():
                return True
            await asyncio.sleep(0.02)
        return False

    @contextlib.asynccontextmanager
    async def use_slot(self):
        async with self.slot_semaphore:
            self.busy_slots += 1
            try:
                yield
            finally:
                self.busy_slots -= 1

    async def serve(self, reader, writer):
        if not self.is_running:
            writer.transport.abort()
            return
        self.connections.add(writer)
        self.peak_connections = max(self.peak_connections, len(self.connections))
        session = Session()
        try:
            # A message ends at CR LF only: a CR or LF alone is a part of it.
            while message := (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1"):
                word, _, rest = message.partition(" ")
                answer = []
                if word == "CONNECT":
                    service, session.customer, *expected = rest.split(" ")
                    if service != self.group.name or (expected and expected[0] != self.id):
                        writer.write(f"ERROR WRONGNODE {self.id}\r\n".encode("latin-1"))
                        break
                    async with self.use_slot():
                        await asyncio.sleep(0.005)
                elif word == "QUERY":
                    query_id, _, text = rest.partition(" ")
                    if await self.run(session, query_id, text, answer.append):
                        await reader.read()  # the answer is lost, and returns nothing further
                        break
                else:
                    break
                answer.append(f"READY {session.state} {self.applied_position()}")
                self.send_answer(session, writer, "".join(f"{line}\r\n" for line in answer))
                if session.is_silent:
                    await reader.read()
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            session.is_silent = True
            self.connections.discard(writer)
            writer.close()

    def send_answer(self, session, writer, answer):
        """Sends an answer, or some of it, once or twice."""
        answer, faults, run = answer.encode("latin-1"), self.group.answer_faults, session.run
        note = lambda what: self.group.note(
            f"{self.id} {what} on connection {session.number}: "
            f"{f'{run.id} {run.text[:40]!r}' if run else 'CONNECT'}, {answer[-80:]}")
        if faults.draws("lost"):
            note("loses its answer")
            session.is_silent = True
        elif faults.draws("cut"):
            length = faults.rng.randrange(1, len(answer))
            note(f"cuts its answer off after {length} bytes")
            session.is_silent = True
            writer.write(answer[:length])
        elif not faults.draws("twice"):
            writer.write(answer)
        elif not faults.draws("late"):
            note("answers twice at once")
            writer.write(answer + answer)
        else:
            def repeat():
                if not session.is_silent and not writer.is_closing():
                    note("answers once more")
                    writer.write(answer)
            writer.write(answer)
            asyncio.get_running_loop().call_later(faults.rng.uniform(*faults.late_seconds), repeat)

    async def run(self, session, query_id, text, send):
        """Runs a statement and sends its answer. Returns whether the answer is lost."""
        position = ""
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
        run = session.run = Run(time.monotonic(), self.id, session.number, session.customer,
                                query_id, text, session.values, session.prepared,
                                session.transaction)
        self.group.runs.append(run)
        if session.transaction:
            session.transaction.runs.append(run)
        verb, _, rest = text.partition(" ")
        if session.state == "E" and verb not in ("COMMIT", "ROLLBACK"):
            session.fail("MALFORMED", "the transaction has failed", send)
            return False
        occupies_slot = verb in ("READ", "WRITE", "EXECUTE", "COMMIT")
        if time.monotonic() < self.busy_until or \
                (occupies_slot and self.group.answer_faults.draws("busy")):
            session.fail("BUSY", self.id, send)
            return False
        to_tuple = lambda position: tuple(map(int, position.split(".")))
        if position and to_tuple(self.applied_position()) < to_tuple(position):
            session.fail("LAGGING", self.id, send)
            return False
        if query_id != "-":
            self.statements.append((query_id, session.customer, text))
        if occupies_slot:
            return await self.run_data_statement(session, (verb, rest), send)
        name, _, argument = rest.partition(" ")
        kind, _, shape = argument.partition(" ")
        if verb in ("SUSPEND", "RESUME", "STEPDOWN", "STATUS"):
            await self.run_control_statement(verb, int(name) if name else 0)
            lag = 0 if self.role == "primary" else int(self.replay_lag * 1000)
            send(f"ROW {self.role} {self.term} {self.received_position()} {self.held} {lag} "
                 f"{self.busy_slots} {len(self.connections)}")
        elif verb == "RESET":
            session.values, session.prepared = {}, {}
        elif verb == "SET" and name:
            session.values = {**session.values, name: argument}
        elif verb == "PREPARE" and name and kind in ("READ", "WRITE"):
            session.prepared = {**session.prepared, name: (kind, shape)}
        elif verb == "DEALLOC" and name not in session.prepared:
            session.fail("NOSTMT", name, send)
            return False
        elif verb == "DEALLOC":
            session.prepared = {key: value for key, value in session.prepared.items()
                                if key != name}
        elif verb == "BEGIN" and rest in ("", "READ") and not session.transaction:
            if not rest and self.role != "primary":
                session.fail("READONLY", self.id, send)
                return False
            session.transaction, session.state = Transaction(query_id, bool(rest)), "T"
        elif verb == "ROLLBACK" and not rest:
            session.end_transaction()
        else:
            session.fail("MALFORMED", "not a statement here", send)
            return False
        send("COMPLETE -")
        return False

    async def run_control_statement(self, verb, term):
        if verb != "STATUS":
            self.group.note(f"{self.id}, {self.role} at {self.received_position()}, is told {verb}"
                            f"{f' {term}' if term else ''}")
        newest_term = max(self.term, self.log[-1][0] if self.log else 0)
        if verb == "SUSPEND" and self.role == "replica" and term > newest_term:
            self.held = max(self.held, term)
        elif verb == "RESUME":
            self.held = 0
        elif verb == "STEPDOWN" and self.role == "primary" and term > self.term:
            self.role = "replica"
            await self.register()

    async def run_data_statement(self, session, words, send):
        """Like run(), for the verb and the rest of a data statement."""
        (verb, rest), run, transaction = words, session.run, session.transaction
        if verb == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in session.prepared:
                session.fail("NOSTMT", name, send)
                return False
            run.executed = session.prepared[name]
            verb = run.executed[0]
        item, _, data = rest.partition(" ")
        if verb == "COMMIT" and session.state == "E":
            session.end_transaction()
            run.error = "ABORTED"
            send("ERROR ABORTED the transaction had failed")
            return False
        if verb == "COMMIT" and (rest or not transaction) or verb != "COMMIT" and not item:
            session.fail("MALFORMED", "not a statement here", send)
            return False
        async with self.use_slot():
            await asyncio.sleep(self.work_seconds)
            needs_lead = verb == "WRITE" or (verb == "COMMIT" and transaction.writes) or \
                (verb == "READ" and transaction and not transaction.is_read_only)
            if needs_lead and self.role != "primary":
                session.fail("READONLY", self.id, send)
                return False
            run.is_run = True
            if verb == "READ":
                run.rows = [self.get_value(item), *self.extra_rows(item)]
            elif verb == "WRITE" and transaction:
                transaction.writes.append((item, data))
            else:
                writes = transaction.writes if verb == "COMMIT" else [(item, data)]
                run.has_effect = bool(writes)
                if verb == "COMMIT":
                    transaction.commit_id = run.id
                    session.end_transaction()
                if writes and not await self.commit(writes):
                    return True
        runs = self.group.runs_by_digest
        run.digest = f"{self.term}.{session.number:x}.{len(runs):x}." \
            f"{random.Random(run.id).getrandbits(64):016x}"
        runs[run.digest] = run
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return True
        for row in run.rows:
            send(f"ROW {row}")
        send(f"COMPLETE {run.digest}")
        return False

    def extra_rows(self, item):
        """Returns further rows of an item rows-COUNT."""
        prefix, _, count = item.partition("-")
        rng = random.Random(item)
        return [rng.choice(ODD_VALUES).replace("#", f"{item}.{number}")
                for number in range(int(count) if prefix == "rows" else 0)]


class System:
    """A store, groups of three instances, and a configuration, all on loopback."""

    late_seconds = 2.0, 12.0  # delay of a promotion order that gets no answer
    max_extra_drain_seconds = 10.0  # that a primary which is replaced waits for another one

    def __init__(self, base, zones=("north", "south"), groups=("g1", "g2"), with_proxies=False):
        self.store, self.ports = Store(), itertools.count(base)
        self.zones, self.store_port = zones, next(self.ports)
        self.groups = {name: Group(name, self.store) for name in groups}
        self.servers, self.version, self.with_proxies = [], 0, with_proxies
        self.proxies = {}  # id of an instance, or "store" -> proxy, if they are used
        self.instances_by_port, self.free_addresses = {}, []
        self.late_share = 0.0  # of the promotion orders

    async def listen(self, handler, port):
        self.servers.append(await asyncio.start_server(handler, "127.0.0.1", port,
                                                       limit=MAX_MESSAGE_BYTES - 2))

    async def start(self):
        await self.listen(
            lambda reader, writer: serve_http(reader, writer, self.store, self.promote),
            self.store_port)
        if self.with_proxies:
            self.proxies["store"] = await self.add_proxy(self.store_port)
            self.store_port = self.proxies["store"].port
        for name, group in self.groups.items():
            for number in range(3):
                await self.add_instance(group, self.zones[number % len(self.zones)])
            next(iter(group.instances.values())).role = "primary"
            for instance in group.instances.values():
                await instance.register()
            group.start()

    async def add_proxy(self, target):
        proxy = Proxy(next(self.ports), target)
        await self.listen(proxy.serve, proxy.port)
        return proxy

    async def add_address(self):
        """Returns the port at which an instance listens, and the proxy in front of it, if any."""
        port = next(self.ports)

        async def serve(reader, writer):
            instance = self.instances_by_port.get(port)
            if instance:
                await instance.serve(reader, writer)
            else:
                writer.transport.abort()
        await self.listen(serve, port)
        return port, await self.add_proxy(port) if self.with_proxies else None

    async def add_instance(self, group, zone, address=None, log=()):
        """Adds an instance that is not registered yet; its log may be that of another one."""
        port, proxy = address or await self.add_address()
        numbers = (f"{group.name}-i{number}" for number in itertools.count())
        instance = Instance(group, next(name for name in numbers if name not in group.instances and
                                        name not in group.former_logs),
                            zone, proxy.port if proxy else port)
        instance.address, instance.log, instance.applied = (port, proxy), list(log), len(log)
        self.instances_by_port[port] = instance
        if proxy:
            self.proxies[instance.id] = proxy
        return instance

    async def remove_instance(self, instance):
        """Ends an instance for good. Its address may be used again."""
        group = instance.group
        instance.kill("ends")
        group.former_logs[instance.id] = {(entry[2], entry[3]) for entry in instance.log}
        group.instances.pop(instance.id)
        self.instances_by_port.pop(instance.address[0])
        self.proxies.pop(instance.id, None)
        await self.store.delete("servers", instance.id)

    async def replace(self, instance, drain_seconds, is_new_first=True):
        """Replaces an instance as planned. The new one starts with its log, before the old one
        drains or, at its address, after it has ended."""
        group = instance.group
        if is_new_first:
            address = self.free_addresses.pop(0) if self.free_addresses else None
            new = await self.add_instance(group, instance.zone, address, instance.log)
            group.note(f"{new.id} joins to replace {instance.id}")
            await new.register()
            await asyncio.sleep(drain_seconds / 2)
        instance.draining = True
        group.note(f"{instance.id}, {instance.role}, is draining")
        await instance.register()
        while not (instance.is_running and instance.is_listed and self.store.is_running):
            await asyncio.sleep(0.05)  # the store has not accepted the report
        await asyncio.sleep(drain_seconds)
        end = time.monotonic() + self.max_extra_drain_seconds
        while instance.role == "primary" and time.monotonic() < end:
            await asyncio.sleep(0.05)
        await self.remove_instance(instance)
        if is_new_first:
            self.free_addresses.append(instance.address)
            return new
        new = await self.add_instance(group, instance.zone, instance.address, instance.log)
        group.note(f"{new.id} joins at the address of {instance.id}")
        await new.register()
        return new

    async def promote(self, body, headers):
        token = int(headers.get("quetzalpaddle-fence-token", 0))
        holder = headers.get("quetzalpaddle-duty-holder", "?")
        group = self.groups[body["service"]]
        group.order_count, group.last_ordered = group.order_count + 1, body["id"]
        if group.rng.random() >= self.late_share:
            return await group.promote(body["id"], token, holder)
        delay, called_at = group.rng.uniform(*self.late_seconds), time.monotonic()
        group.note(f"promotion of {body['id']} ordered by {holder}, token {token}: no answer, "
                   f"carried out {delay:.1f} s later")
        asyncio.get_running_loop().call_later(delay, lambda: asyncio.ensure_future(
            group.promote(body["id"], token, holder, called_at)))
        return None, None

    async def configure(self, keys, routes, rate=100000, open_routes=(), cold_per_s=0, rates=(),
                        priorities=()):
        """Stores a configuration.

        keys: key -> customer; routes: database -> (group, route type, staleness in ms); rates:
        customer -> (rate, burst), for those that differ; priorities: database -> priority."""
        rates, priorities = dict(rates), dict(priorities)
        self.version += 1
        tenants = {}
        for key, customer in keys.items():
            tenants.setdefault(customer, []).append(key)
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": "r-" + database, "host": database, "pathPrefix": "/",
                        "routeType": route_type, "timeoutMs": 1000, "targetLatencyMs": 200,
                        "priority": priorities.get(database, 1),
                        "service": group, "maxAttempts": 2, "maxStalenessMs": staleness,
                        "authExempt": database in open_routes}
                       for database, (group, route_type, staleness) in routes.items()],
            "services": [{"name": name, "maxConns": 40, "syncReplicas": 1,
                          "coldPerS": cold_per_s} for name in self.groups],
            "limits": {"txIdleMs": 1000},
            "tenants": [{"name": customer, "apiKeys": customer_keys, "priority": 1,
                         "ratePerS": rates.get(customer, (rate, rate))[0],
                         "burstSize": rates.get(customer, (rate, rate))[1]} for customer, customer_keys in tenants.items()]})
