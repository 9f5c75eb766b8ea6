"""Stand-ins for the users' platform, as its published pages describe it: the object store and the
promotion call (HTTP), and database instances that speak the line protocol. All run in one asyncio
loop.

They reproduce what callers can observe: terms and positions, a primary and replicas that lag,
acknowledgement by one replica, pinned transactions, values and prepared names of connections, and
error codes. Faults are injected with kill(), revive(), replay_lag, answers_to_lose, Store.stop()
and Store.put_text().
"""
import asyncio
import itertools
import json
import re


# Entries as another writer may leave them among those of the instances: JSON texts of objects.
ODD_ENTRIES = [
    '{"meta":{"name":"odd","revision":3},"spec":' + "[" * 50000 + "]" * 50000 + "}",
    '{"meta":' + '{"a":' * 100000 + "1" + "}" * 100000 + "}",
    '{"meta":{"name":"odd","revision":3},"spec":{"service":"g1","address":"127.0.0.1:80",'
    '"zoneId":"north","capacity":1e999,"serverState":"in_service","dbRole":"primary"}}',
    '{"meta":{"name":"odd","revision":3},"spec":{"service":"g1","address":"127.0.0.1:99999",'
    '"zoneId":"north","capacity":3,"serverState":"in_service","dbRole":"primary"}}',
    '{"meta":{"name":"odd","revision":-4},"spec":{"service":"g1","address":"127.0.0.1:80",'
    '"zoneId":"north","capacity":-1,"serverState":"in_service","dbRole":"primary"}}',
    '{"meta":{"name":7},"spec":null}', "7", "null", '"]}"', "{}",
]


class Store:
    """Objects by kind and name, with revisions, conditional updates and watches."""

    def __init__(self):
        self.objects, self.history, self.revision = {}, [], 1
        self.changed, self.is_running, self.call_count = asyncio.Condition(), True, 0
        self.connections, self.texts = set(), []

    async def put(self, kind, name, spec, revision=None):
        key, existing = (kind, name), self.objects.get((kind, name))
        if revision is not None and (existing is None or existing["meta"]["revision"] != revision):
            return 409, existing
        if existing is not None and existing["spec"] == spec:
            return 200, existing
        self.revision += 1
        stored_object = {"meta": {"name": name, "revision": self.revision, "created": 1,
                                  "finalizers": [], "deleting": False},
                         "spec": spec, "status": None}
        self.objects[key] = stored_object
        self.history.append((self.revision, kind, stored_object, False))
        async with self.changed:
            self.changed.notify_all()
        return 200, stored_object

    async def delete(self, kind, name):
        stored_object = self.objects.pop((kind, name), None)
        if stored_object:
            self.revision += 1
            self.history.append((self.revision, kind, stored_object, True))
            async with self.changed:
                self.changed.notify_all()

    async def put_text(self, kind, name, text):
        """Stores an entry that is returned as the given text, whatever it is."""
        self.revision += 1
        self.texts.append(text)
        entry = {"text": len(self.texts) - 1}
        self.objects[(kind, name)] = entry
        self.history.append((self.revision, kind, entry, False))
        async with self.changed:
            self.changed.notify_all()

    def encode(self, reply):
        """Returns the reply as JSON, with the texts of put_text() in their places."""
        insert = lambda match: self.texts[int(match.group(1))]
        return re.sub(r'\{"text": (\d+)\}', insert, json.dumps(reply)).encode()

    async def handle_request(self, method, path, query, body):
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            stored_object = self.objects.get((kind, name))
            return (200, stored_object) if stored_object else (404, {"error": "not found"})
        if method == "GET" and "watch" in query:
            since, deadline = int(query["watch"]), float(query.get("waitMs", 0)) / 1000
            find_events = lambda: [event for event in self.history
                                   if event[0] > since and event[1] == kind]
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(find_events), deadline)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": [{"deleted": deleted, "object": stored}
                                    for _, _, stored, deleted in find_events()],
                         "at": self.revision}
        if method == "GET":
            items = [stored for (stored_kind, _), stored in self.objects.items()
                     if stored_kind == kind]
            return 200, {"items": items, "hasMore": False, "at": self.revision}
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return await self.put(kind, name, body["spec"])
        if method == "PUT":
            return await self.put(kind, name, body["spec"], body["meta"].get("revision"))
        return 404, {}

    def stop(self):
        self.is_running = False
        for writer in set(self.connections):
            writer.transport.abort()


async def serve_http(reader, writer, store, promote):
    if not store.is_running:
        writer.transport.abort()
        return
    store.connections.add(writer)
    try:
        while line := await reader.readline():
            method, target, _ = line.decode().split()
            headers = {}
            while (line := (await reader.readline()).decode().strip()):
                key, value = line.split(":", 1)
                headers[key.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            path, _, query_text = target.partition("?")
            query = dict(parameter.split("=") for parameter in query_text.split("&") if parameter)
            store.call_count += 1
            if path == "/promotion":
                status, reply = await promote(json.loads(body), headers)
            else:
                status, reply = await store.handle_request(method, path, query,
                                                           json.loads(body) if body else None)
            content = store.encode(reply)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        store.connections.discard(writer)
        writer.close()


class Group:
    """A primary and its replicas. A log is a list of (term, number, item, value)."""

    def __init__(self, name, store):
        self.name, self.store, self.term = name, store, 1
        self.instances, self.fence_token = {}, 0

    def primary(self):
        return next((instance for instance in self.instances.values()
                     if instance.role == "primary"), None)

    async def promote(self, instance_id, token):
        if token < self.fence_token:
            return 409, {"error": "outrun"}
        self.fence_token = token
        candidate = self.instances.get(instance_id)
        if not candidate or not candidate.is_running:
            return 409, {"error": "not running"}
        if candidate.role == "primary":
            return 200, {}
        asyncio.get_running_loop().call_later(0.2, lambda: asyncio.ensure_future(
            self.complete_promotion(candidate)))
        return 200, {}

    async def complete_promotion(self, candidate):
        self.term += 1
        for instance in self.instances.values():
            instance.role, instance.suspended = "replica", False
            if instance is not candidate:
                instance.log = [entry for entry in instance.log if entry in candidate.log]
        candidate.role, candidate.term = "primary", self.term
        candidate.applied = len(candidate.log)
        for instance in self.instances.values():
            await instance.register()


class Instance:
    def __init__(self, group, instance_id, zone, port, slots=3, replay_lag=0.02):
        self.group, self.id, self.zone, self.port = group, instance_id, zone, port
        self.slots, self.replay_lag, self.role, self.is_running = slots, replay_lag, "replica", True
        self.log, self.applied, self.term, self.suspended = [], 0, 1, False
        self.draining, self.answers_to_lose = False, 0
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.connections, self.statements, self.peak_connections = set(), [], 0
        group.instances[instance_id] = self

    async def register(self):
        if self.is_running:
            await self.group.store.put("servers", self.id, {
                "service": self.group.name, "address": f"127.0.0.1:{self.port}",
                "zoneId": self.zone, "version": "v1", "capacity": self.slots,
                "serverState": "draining" if self.draining else "in_service", "coldMs": 0,
                "dbRole": self.role, "seqNo": 1})

    def applied_position(self):
        return f"{self.log[self.applied - 1][0]}.{self.log[self.applied - 1][1]}" \
            if self.applied else f"{self.term}.0"

    def received_position(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def kill(self):
        self.is_running = False
        for writer in set(self.connections):
            writer.transport.abort()

    def revive(self):
        self.is_running = True

    def get_value(self, item):
        return next((entry[3] for entry in reversed(self.log[:self.applied])
                     if entry[2] == item), "-")

    async def receive(self, entries):
        if self.suspended or not self.is_running:
            return False
        self.log.extend(entry for entry in entries if entry not in self.log)
        length = len(self.log)

        def apply():
            self.applied = max(self.applied, min(length, len(self.log)))
        asyncio.get_running_loop().call_later(self.replay_lag, apply)
        return True

    async def commit(self, writes):
        """Appends the writes and waits until one replica has them, as syncReplicas 1 requires.

        Returns False if the instance stops being a running primary before that."""
        number = (self.log[-1][1] if self.log else 0) + 1
        self.log.extend((self.group.term, number, item, value) for item, value in writes)
        self.applied = len(self.log)
        others = [other for other in self.group.instances.values() if other is not self]
        while self.is_running and self.role == "primary":
            if any([await other.receive(self.log) for other in others]):
                return True
            await asyncio.sleep(0.02)
        return False

    async def serve(self, reader, writer):
        if not self.is_running:
            writer.transport.abort()
            return
        self.connections.add(writer)
        self.peak_connections = max(self.peak_connections, len(self.connections))
        session = {"tx": None, "state": "I", "values": {}, "prepared": {}, "who": None}
        send = lambda text: writer.write((text + "\r\n").encode())
        send_ready = lambda: send(f"READY {session['state']} {self.applied_position()}")
        try:
            while line := await reader.readline():
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "CONNECT":
                    service, customer, *expected = rest.split(" ")
                    if service != self.group.name or (expected and expected[0] != self.id):
                        send(f"ERROR WRONGNODE {self.id}")
                        break
                    session["who"] = customer
                    async with self.slot_semaphore:
                        await asyncio.sleep(0.005)
                    send_ready()
                elif word == "QUERY":
                    query_id, _, text = rest.partition(" ")
                    is_answer_lost = await self.run(session, query_id, text, send)
                    if is_answer_lost:
                        await asyncio.sleep(60)
                    send_ready()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, session, query_id, text, send):
        words = text.split(" ")
        if words[0] == "AFTER":
            min_position, words = tuple(map(int, words[1].split("."))), words[2:]
            if tuple(map(int, self.applied_position().split("."))) < min_position:
                send(f"ERROR LAGGING {self.id}")
                return False
        if query_id != "-":
            self.statements.append((query_id, session["who"], " ".join(words)))
        verb = words[0]
        if verb in ("SUSPEND", "RESUME", "STEPDOWN", "STATUS"):
            if verb == "SUSPEND" and self.role == "replica":
                self.suspended = True
            if verb == "RESUME":
                self.suspended = False
            send(f"ROW {self.role} {self.group.term} {self.received_position()} 0 0 0 1")
        elif verb == "RESET":
            session["values"], session["prepared"] = {}, {}
        elif verb == "SET":
            session["values"][words[1]] = words[2]
        elif verb == "PREPARE":
            session["prepared"][words[1]] = (words[2], words[3])
        elif verb == "BEGIN":
            if words[1:] != ["READ"] and self.role != "primary":
                send(f"ERROR READONLY {self.id}")
                return False
            session["tx"], session["state"] = [], "T"
        elif verb == "ROLLBACK":
            session["tx"], session["state"] = None, "I"
        else:
            return await self.run_data_statement(session, words, send)
        send("COMPLETE -")
        return False

    async def run_data_statement(self, session, words, send):
        verb, rest = words[0], words[1:]
        if verb == "EXECUTE":
            if rest[0] not in session["prepared"]:
                send(f"ERROR NOSTMT {rest[0]}")
                return False
            verb, rest = session["prepared"][rest[0]][0], rest[1:]
        async with self.slot_semaphore:
            await asyncio.sleep(0.004)
            writes = verb == "WRITE" or (verb == "COMMIT" and session["tx"])
            if writes and self.role != "primary":
                session["state"] = "E" if session["tx"] is not None else "I"
                send(f"ERROR READONLY {self.id}")
                return False
            if verb == "READ":
                send(f"ROW {self.get_value(rest[0])}")
            elif verb == "WRITE" and session["tx"] is not None:
                session["tx"].append((rest[0], " ".join(rest[1:])))
            elif verb in ("WRITE", "COMMIT"):
                entries = session["tx"] if verb == "COMMIT" else [(rest[0], " ".join(rest[1:]))]
                session["tx"], session["state"] = None, "I"
                if entries and not await self.commit(entries):
                    return True
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return True
        send(f"COMPLETE d.{self.id}")
        return False


class System:
    """A store, groups of three instances, and a configuration, all on loopback."""

    def __init__(self, base, zones=("north", "south"), groups=("g1", "g2")):
        self.store, self.ports = Store(), itertools.count(base)
        self.zones, self.store_port = zones, next(self.ports)
        self.groups = {name: Group(name, self.store) for name in groups}
        self.servers, self.version = [], 0

    async def listen(self, handler, port):
        self.servers.append(await asyncio.start_server(handler, "127.0.0.1", port))

    async def start(self):
        await self.listen(
            lambda reader, writer: serve_http(reader, writer, self.store, self.promote),
            self.store_port)
        for name, group in self.groups.items():
            for number in range(3):
                zone = self.zones[number % len(self.zones)]
                instance = Instance(group, f"{name}-i{number}", zone, next(self.ports))
                await self.listen(instance.serve, instance.port)
            next(iter(group.instances.values())).role = "primary"
            for instance in group.instances.values():
                await instance.register()

    async def promote(self, body, headers):
        token = int(headers.get("quetzalpaddle-fence-token", 0))
        return await self.groups[body["service"]].promote(body["id"], token)

    async def configure(self, keys, routes, rate=100000, open_routes=()):
        """Stores a configuration.

        keys: key -> customer; routes: database -> (group, route type, staleness in ms)."""
        self.version += 1
        tenants = {}
        for key, customer in keys.items():
            tenants.setdefault(customer, []).append(key)
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": "r-" + database, "host": database, "pathPrefix": "/",
                        "routeType": route_type, "timeoutMs": 1000, "targetLatencyMs": 200, "priority": 1,
                        "service": group, "maxAttempts": 2, "maxStalenessMs": staleness,
                        "authExempt": database in open_routes}
                       for database, (group, route_type, staleness) in routes.items()],
            "services": [{"name": name, "maxConns": 40, "syncReplicas": 1}
                         for name in self.groups],
            "limits": {"txIdleMs": 1000},
            "tenants": [{"name": customer, "apiKeys": customer_keys, "priority": 1, "ratePerS": rate,
                         "burstSize": rate} for customer, customer_keys in tenants.items()]})
