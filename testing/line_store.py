"""The object store and the promotion call of the users' platform, over HTTP, as its published pages
describe them. Store.stop() and start() take the store down; put_text() stores odd entries."""
import asyncio
import json
import re
import time

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
        self.expires_while_down, self.started_at = True, 0.0

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

    def start(self):
        self.is_running, self.started_at = True, time.monotonic()


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
            if status is None:  # the answer is lost, and the connection returns nothing further
                await reader.read()
                break
            content = store.encode(reply)
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(content)}\r\n\r\n".encode() + content)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        store.connections.discard(writer)
        writer.close()
