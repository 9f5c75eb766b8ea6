"""Stand-ins for the users' platform, after its published pages: the object store and the promotion
call (HTTP), and database instances that speak the line protocol. One asyncio loop runs them all.

They keep what callers can observe: terms and positions, primaries and replicas with a lag,
acknowledgement by one replica, pinned transactions, values and prepared names of connections, and
the codes of refusals. Faults are methods: kill(), revive(), set lag, lose answers, stop the store.
"""
import asyncio
import itertools
import json


class Store:
    """Objects by kind and name, with revisions, conditional updates and watches."""

    def __init__(self):
        self.objects, self.history, self.revision = {}, [], 1
        self.changed, self.up, self.calls = asyncio.Condition(), True, 0
        self.connections = set()

    async def put(self, kind, name, spec, revision=None):
        key, old = (kind, name), self.objects.get((kind, name))
        if revision is not None and (old is None or old["meta"]["revision"] != revision):
            return 409, old
        if old is not None and old["spec"] == spec:
            return 200, old
        self.revision += 1
        item = {"meta": {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                         "deleting": False}, "spec": spec, "status": None}
        self.objects[key] = item
        self.history.append((self.revision, kind, item, False))
        async with self.changed:
            self.changed.notify_all()
        return 200, item

    async def delete(self, kind, name):
        item = self.objects.pop((kind, name), None)
        if item:
            self.revision += 1
            self.history.append((self.revision, kind, item, True))
            async with self.changed:
                self.changed.notify_all()

    async def answer(self, method, path, query, body):
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {"error": "not found"})
        if method == "GET" and "watch" in query:
            since, deadline = int(query["watch"]), float(query.get("waitMs", 0)) / 1000
            found = lambda: [h for h in self.history if h[0] > since and h[1] == kind]
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(found), deadline)
            except asyncio.TimeoutError:
                pass
            return 200, {"events": [{"deleted": d, "object": o} for _, _, o, d in found()],
                         "at": self.revision}
        if method == "GET":
            items = [o for (k, _), o in self.objects.items() if k == kind]
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
        self.up = False
        for writer in set(self.connections):
            writer.transport.abort()


async def serve_http(reader, writer, store, promote):
    if not store.up:
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
            path, _, rest = target.partition("?")
            query = dict(p.split("=") for p in rest.split("&") if p)
            store.calls += 1
            if path == "/promotion":
                status, reply = await promote(json.loads(body), headers)
            else:
                status, reply = await store.answer(method, path, query,
                                                   json.loads(body) if body else None)
            text = json.dumps(reply).encode()
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        store.connections.discard(writer)
        writer.close()


class Group:
    """A primary and its replicas. Logs are lists of (term, number, item, data)."""

    def __init__(self, name, store):
        self.name, self.store, self.term = name, store, 1
        self.instances, self.fence = {}, 0

    def primary(self):
        return next((i for i in self.instances.values() if i.role == "primary"), None)

    async def promote(self, instance_id, token):
        if token < self.fence:
            return 409, {"error": "outrun"}
        self.fence = token
        chosen = self.instances.get(instance_id)
        if not chosen or not chosen.up:
            return 409, {"error": "not running"}
        if chosen.role == "primary":
            return 200, {}
        asyncio.get_running_loop().call_later(0.2, lambda: asyncio.ensure_future(
            self.lead(chosen)))
        return 200, {}

    async def lead(self, chosen):
        self.term += 1
        for i in self.instances.values():
            i.role, i.suspended = "replica", False
            if i is not chosen:
                i.log = [e for e in i.log if e in chosen.log]
        chosen.role, chosen.term = "primary", self.term
        chosen.applied = len(chosen.log)
        for i in self.instances.values():
            await i.register()


class Instance:
    def __init__(self, group, instance_id, zone, port, slots=3, lag=0.02):
        self.group, self.id, self.zone, self.port = group, instance_id, zone, port
        self.slots, self.lag, self.role, self.up = slots, lag, "replica", True
        self.log, self.applied, self.term, self.suspended = [], 0, 1, False
        self.draining, self.lose_next = False, 0
        self.busy = asyncio.Semaphore(slots)
        self.connections, self.statements, self.peak = set(), [], 0
        group.instances[instance_id] = self

    async def register(self):
        if self.up:
            await self.group.store.put("servers", self.id, {
                "service": self.group.name, "address": f"127.0.0.1:{self.port}",
                "zoneId": self.zone, "version": "v1", "capacity": self.slots,
                "serverState": "draining" if self.draining else "in_service", "coldMs": 0,
                "dbRole": self.role, "seqNo": 1})

    def position(self):
        return f"{self.log[self.applied - 1][0]}.{self.log[self.applied - 1][1]}" \
            if self.applied else f"{self.term}.0"

    def received(self):
        return f"{self.log[-1][0]}.{self.log[-1][1]}" if self.log else f"{self.term}.0"

    def kill(self):
        self.up = False
        for writer in set(self.connections):
            writer.transport.abort()

    def revive(self):
        self.up = True

    def value(self, item):
        return next((e[3] for e in reversed(self.log[:self.applied]) if e[2] == item), "-")

    async def receive(self, entries):
        if self.suspended or not self.up:
            return False
        self.log.extend(e for e in entries if e not in self.log)
        length = len(self.log)

        def apply():
            self.applied = max(self.applied, min(length, len(self.log)))
        asyncio.get_running_loop().call_later(self.lag, apply)
        return True

    async def commit(self, writes):
        """Appends and waits for one replica, as syncReplicas 1 asks for."""
        number = (self.log[-1][1] if self.log else 0) + 1
        self.log.extend((self.group.term, number, item, data) for item, data in writes)
        self.applied = len(self.log)
        others = [i for i in self.group.instances.values() if i is not self]
        while self.up and self.role == "primary":
            if any([await i.receive(self.log) for i in others]):
                return True
            await asyncio.sleep(0.02)
        return False

    async def serve(self, reader, writer):
        if not self.up:
            writer.transport.abort()
            return
        self.connections.add(writer)
        self.peak = max(self.peak, len(self.connections))
        session = {"tx": None, "state": "I", "values": {}, "prepared": {}, "who": None}
        send = lambda text: writer.write((text + "\r\n").encode())
        ready = lambda: send(f"READY {session['state']} {self.position()}")
        try:
            while line := await reader.readline():
                word, _, rest = line.decode().rstrip("\r\n").partition(" ")
                if word == "CONNECT":
                    service, who, *expected = rest.split(" ")
                    if service != self.group.name or (expected and expected[0] != self.id):
                        send(f"ERROR WRONGNODE {self.id}")
                        break
                    session["who"] = who
                    async with self.busy:
                        await asyncio.sleep(0.005)
                    ready()
                elif word == "QUERY":
                    query_id, _, text = rest.partition(" ")
                    lost = await self.run(session, query_id, text, send)
                    if lost:
                        await asyncio.sleep(60)
                    ready()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, session, query_id, text, send):
        words = text.split(" ")
        if words[0] == "AFTER":
            after, words = tuple(map(int, words[1].split("."))), words[2:]
            if tuple(map(int, self.position().split("."))) < after:
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
            send(f"ROW {self.role} {self.group.term} {self.received()} 0 0 0 1")
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
            return await self.run_work(session, words, send)
        send("COMPLETE -")
        return False

    async def run_work(self, session, words, send):
        verb, rest = words[0], words[1:]
        if verb == "EXECUTE":
            if rest[0] not in session["prepared"]:
                send(f"ERROR NOSTMT {rest[0]}")
                return False
            verb, rest = session["prepared"][rest[0]][0], rest[1:]
        async with self.busy:
            await asyncio.sleep(0.004)
            writes = verb == "WRITE" or (verb == "COMMIT" and session["tx"])
            if writes and self.role != "primary":
                session["state"] = "E" if session["tx"] is not None else "I"
                send(f"ERROR READONLY {self.id}")
                return False
            if verb == "READ":
                send(f"ROW {self.value(rest[0])}")
            elif verb == "WRITE" and session["tx"] is not None:
                session["tx"].append((rest[0], " ".join(rest[1:])))
            elif verb in ("WRITE", "COMMIT"):
                entries = session["tx"] if verb == "COMMIT" else [(rest[0], " ".join(rest[1:]))]
                session["tx"], session["state"] = None, "I"
                if entries and not await self.commit(entries):
                    return True
        if self.lose_next:
            self.lose_next -= 1
            return True
        send(f"COMPLETE d.{self.id}")
        return False


class System:
    """A store, groups of three instances, and a configuration; all on loopback."""

    def __init__(self, base, zones=("north", "south"), groups=("g1", "g2")):
        self.store, self.ports = Store(), itertools.count(base)
        self.zones, self.store_port = zones, next(self.ports)
        self.groups = {name: Group(name, self.store) for name in groups}
        self.servers, self.version = [], 0

    async def listen(self, handler, port):
        self.servers.append(await asyncio.start_server(handler, "127.0.0.1", port))

    async def start(self):
        await self.listen(lambda r, w: serve_http(r, w, self.store, self.promote), self.store_port)
        for name, group in self.groups.items():
            for n in range(3):
                zone = self.zones[n % len(self.zones)]
                instance = Instance(group, f"{name}-i{n}", zone, next(self.ports))
                await self.listen(instance.serve, instance.port)
            next(iter(group.instances.values())).role = "primary"
            for instance in group.instances.values():
                await instance.register()

    async def promote(self, body, headers):
        token = int(headers.get("quetzalpaddle-fence-token", 0))
        return await self.groups[body["service"]].promote(body["id"], token)

    async def configure(self, keys, routes, rate=100000, open_routes=()):
        """keys: key -> customer; routes: database -> (group, kind, staleness in ms)."""
        self.version += 1
        tenants = {}
        for key, customer in keys.items():
            tenants.setdefault(customer, []).append(key)
        await self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"name": "r-" + db, "host": db, "pathPrefix": "/", "routeType": kind,
                        "timeoutMs": 1000, "targetLatencyMs": 200, "priority": 1,
                        "service": group, "maxAttempts": 2, "maxStalenessMs": staleness,
                        "authExempt": db in open_routes}
                       for db, (group, kind, staleness) in routes.items()],
            "services": [{"name": name, "maxConns": 40, "syncReplicas": 1}
                         for name in self.groups],
            "limits": {"txIdleMs": 1000},
            "tenants": [{"name": customer, "apiKeys": held, "priority": 1, "ratePerS": rate,
                         "burstSize": rate} for customer, held in tenants.items()]})
