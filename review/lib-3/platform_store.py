"""Stand-in for the platform's store and its promotion call, on the loopback interface."""
import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


class Store:
    """Rows in tables with versions, transactions under conditions, a feed, and promotions."""

    def __init__(self, promote, note):
        self.rows = {}  # (table, part, key) -> [value in base64, version, deleted]
        self.version = 100
        self.began = time.monotonic()
        self.changed = asyncio.Event()
        self.promote = promote
        self.note = note
        self.tokens = {}  # service -> newest fencing token
        self.orders = []  # (service, id, holder, token, status)
        self.port = 0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def _touch(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table, key, document):
        self.version += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[(table, "", key)] = [value, self.version, False]
        self._touch()

    def remove(self, table, key):
        if (table, "", key) in self.rows and not self.rows[(table, "", key)][2]:
            self.version += 1
            self.rows[(table, "", key)] = ["", self.version, True]
            self._touch()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                status, document = await self.handle(method, target, headers, body)
                text = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if method == "GET" and url.path == "/rows-get":
            await asyncio.sleep(0.004)
            return 200, self.listing(query)
        if method == "GET" and url.path == "/rows-feed":
            return await self.feed(query)
        if method == "POST" and url.path == "/rows-tx":
            await asyncio.sleep(0.006)
            return self.transaction(json.loads(body))
        if method == "POST" and url.path == "/promotion":
            await asyncio.sleep(0.004)
            return self.order(headers, json.loads(body))
        return 404, {}

    def answer(self, rows, more=False):
        return {"rows": rows, "has-more": more, "ver": self.version, "now-ms": self.now_ms()}

    @staticmethod
    def row_json(where, row):
        made = {"table": where[0], "part": where[1], "key": where[2], "ver": row[1]}
        if row[2]:
            made["deleted"] = True
        else:
            made["value"] = row[0]
        return made

    def listing(self, query):
        low, high = query.get("from", ""), query.get("to")
        found = [(w, r) for w, r in sorted(self.rows.items())
                 if w[0] == query["table"] and w[1] == query.get("part", "") and not r[2]
                 and w[2] >= low and (high is None or w[2] < high)]
        limit = min(int(query.get("limit", "500")), 500)
        return self.answer([self.row_json(w, r) for w, r in found[:limit]], len(found) > limit)

    async def feed(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(int(query["wait-ms"]), 30000) / 1000
        while True:
            found = sorted((r[1], w, r) for w, r in self.rows.items()
                           if w[0] == query["table"] and r[1] > after)
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, self.answer([self.row_json(w, r) for _, w, r in found])
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, call):
        def where(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        def version_of(place):
            row = self.rows.get(place)
            return 0 if row is None or row[2] else row[1]

        if any(version_of(where(p)) != p["ver"] for p in call.get("precondition", [])):
            rows = [self.row_json(where(p), self.rows[where(p)])
                    for p in call["precondition"] if version_of(where(p)) != 0]
            return 412, self.answer(rows)
        self.version += 1
        for entry in call.get("writes", []):
            if entry["table"] in ("op", "servers"):
                return 403, {}
            self.rows[where(entry)] = [entry["value"], self.version, False]
        for entry in call.get("remove", []):
            if where(entry) in self.rows:
                self.rows[where(entry)] = ["", self.version, True]
        self._touch()
        return 200, {"ver": self.version, "now-ms": self.now_ms()}

    def order(self, headers, call):
        service, server = call["service"], call["id"]
        token, holder = int(headers["fencing-token"]), headers["duty-holder"]
        if token < self.tokens.get(service, 0):
            status = 409
        else:
            self.tokens[service] = token
            status = 200 if self.promote(service, server) else 409
        self.orders.append((service, server, holder, token, status))
        self.note("platform: %s orders the promotion of %s with fence number %d: %d"
                  % (holder, server, token, status))
        return status, {}
