"""Stand-in for one database group: a primary and replicas that speak the platform's line protocol.

A commit is acknowledged once `sync` replicas have received it. Replicas receive it `receive_s`
after it was appended and apply it `apply_s` later.
"""
import asyncio
import itertools
import time

MAX_CONNECTIONS = 33
MAX_LINE = (1 << 20) + 64  # a message of 1 MiB and the proxy's own words


class Entry:
    __slots__ = ("term", "number", "ids", "acknowledged")

    def __init__(self, term, number, ids):
        self.term, self.number, self.ids, self.acknowledged = term, number, ids, None


class Server:
    """One server of the group, at a loopback port that it keeps."""

    def __init__(self, group, index, zone):
        self.group, self.index, self.zone = group, index, zone
        self.id = "i-%s-%d" % (group.service, index)
        self.born = int(time.time() * 1000)
        self.primary = index == 0
        self.log, self.applied, self.term = [], 0, 1
        self.running, self.draining = True, False
        self.paused = False          # receives nothing since a PAUSE
        self.receives = True         # False: receives nothing (a disturbance)
        self.reaches_store = True    # False: partitioned from the store
        self.receive_s, self.apply_s = 0.005, 0.02
        self.cut_off = set()         # names of daemons whose connections are silent
        self.listener, self.port, self.sessions = None, 0, set()
        self.slots = asyncio.Semaphore(5)
        self.sequence = 0

    async def listen(self):
        self.listener = await asyncio.start_server(self.accept, "127.0.0.1", self.port,
                                                   limit=MAX_LINE)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        session = Session(self, reader, writer)
        self.sessions.add(session)
        try:
            await session.run()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.sessions.discard(session)
            session.discard()
            writer.close()

    def crash(self):
        self.running = False
        self.listener.close()
        for session in list(self.sessions):
            session.abort()

    async def restart(self, seconds):
        """Ends and starts again under the same id, with its log; a pause ends with it."""
        self.crash()
        await asyncio.sleep(seconds)
        self.born, self.sequence = int(time.time() * 1000), 0
        self.running, self.paused = True, False
        await self.listen()

    def registration(self):
        self.sequence += 1
        return {"service": self.group.service, "address": "127.0.0.1:%d" % self.port,
                "zone": self.zone, "version": "v1", "slots": 5,
                "state": "draining" if self.draining else "ready", "cold-remaining-ms": 0,
                "db-role": "primary" if self.primary else "replica", "sequence": self.sequence,
                "born": self.born}

    def position(self, count):
        if count == 0:
            return "%d.0" % self.term
        return "%d.%d" % (self.log[count - 1].term, count)

    def holds(self, wanted):
        term, number = (int(part) for part in wanted.split("."))
        if number > self.applied:
            return False
        if number == 0:
            return True
        # An entry of a later term at this number: the wanted one was rolled back.
        return self.log[number - 1].term <= term or number <= self.group.starts.get(term + 1, number)


class Group:
    """The servers of one service, their replication and their promotions."""

    def __init__(self, service, zones, sync, note, promote_s=1.0):
        self.service, self.sync, self.note, self.promote_s = service, sync, note, promote_s
        self.servers = [Server(self, index, zone) for index, zone in enumerate(zones)]
        self.starts = {1: 0}  # term -> entries that its primary had received
        self.promotions = []  # (time, server, acknowledged commits that it lacks)
        self.lost = []
        self.signatures = itertools.count(1)
        self.tasks = []

    async def start(self):
        for server in self.servers:
            await server.listen()

    def leader(self):
        return next((s for s in self.servers if s.primary and s.running), None)

    def append(self, server, ids):
        entry = Entry(server.term, len(server.log) + 1, ids)
        server.log.append(entry)
        server.applied = len(server.log)
        received = asyncio.Event()
        for replica in self.servers:
            if replica is not server:
                self.tasks.append(asyncio.ensure_future(
                    self.replicate(server, replica, entry, received)))
        return entry, received

    async def replicate(self, source, replica, entry, received):
        await asyncio.sleep(replica.receive_s)
        while True:
            if not source.running or not source.primary:
                return
            if replica.running and replica.receives and not replica.paused:
                break
            await asyncio.sleep(0.01)
        if len(replica.log) < entry.number:
            replica.log.extend(source.log[len(replica.log):entry.number])
            replica.term = source.term
        received.set()
        await asyncio.sleep(replica.apply_s)
        replica.applied = max(replica.applied, min(entry.number, len(replica.log)))

    def order(self, server_id):
        server = next((s for s in self.servers if s.id == server_id), None)
        if server is None or not server.running:
            return False
        if not server.primary:
            self.tasks.append(asyncio.ensure_future(self.promote(server)))
        return True

    async def promote(self, server):
        await asyncio.sleep(self.promote_s)
        if not server.running or server.primary:
            return
        term = max(self.starts) + 1
        self.starts[term] = len(server.log)
        held = {id(entry) for entry in server.log}
        missing = []
        for other in self.servers:
            if other is server:
                continue
            for entry in other.log:
                if entry.acknowledged is not None and id(entry) not in held \
                        and entry not in missing:
                    missing.append(entry)
            common = 0
            while common < min(len(other.log), len(server.log)) \
                    and other.log[common] is server.log[common]:
                common += 1
            del other.log[common:]
            other.applied = min(other.applied, common)
            other.primary = False
            for session in other.sessions:
                session.lost_lead = session.transaction and not session.read_only
        server.primary, server.paused, server.term = True, False, term
        server.applied = len(server.log)
        self.lost += missing
        self.promotions.append((time.monotonic(), server.id, len(missing)))
        self.note("servers: %s leads term %d with %d commits; %d acknowledged commits are not in "
                  "its log" % (server.id, term, len(server.log), len(missing)))
        for entry in missing[:10]:
            self.note("servers: lost: commit %d.%d of %s, acknowledged"
                      % (entry.term, entry.number, ",".join(entry.ids)))
        for other in self.servers:
            other.term = max(other.term, term) if other.running else other.term


class Session:
    """A connection to a server."""

    def __init__(self, server, reader, writer):
        self.server, self.reader, self.writer = server, reader, writer
        self.values, self.prepared = {}, {}
        self.discard()

    def discard(self):
        self.transaction, self.read_only, self.failed = False, False, False
        self.lost_lead, self.writes = False, []

    def abort(self):
        self.writer.transport.abort()

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
        words = line.split(" ")
        refusal = None
        if words[0] != "START" or words[1] != self.server.group.service or (
                len(words) > 3 and words[3] != self.server.id):
            refusal = "MISROUTED"
        elif len(self.server.sessions) > MAX_CONNECTIONS:
            refusal = "TOOMANY"
        if refusal:
            self.writer.write(("ERROR %s refused\r\n" % refusal).encode())
            return
        self.daemon = words[2]
        await self.reached()
        async with self.server.slots:
            await asyncio.sleep(0.012)
        self.ready()
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode()[:-2]
            await self.reached()
            if line == "QUIT":
                return
            _, query_id, text = line.split(" ", 2)
            await self.query(query_id, text)

    async def reached(self):
        while self.daemon in self.server.cut_off:
            await asyncio.sleep(0.02)

    def ready(self):
        state = "E" if self.failed else "T" if self.transaction else "I"
        server = self.server
        self.writer.write(("READY %s %s\r\n" % (state, server.position(server.applied))).encode())

    def done(self, signature="-", rows=()):
        for row in rows:
            self.writer.write(("ROW %s\r\n" % row).encode())
        self.writer.write(("DONE %s\r\n" % signature).encode())
        self.ready()

    def error(self, code):
        self.failed = self.transaction
        self.writer.write(("ERROR %s %s\r\n" % (code, self.server.id)).encode())
        self.ready()

    def sign(self, query_id, text):
        group = self.server.group
        group.note("servers: %s runs %s: %s" % (self.server.id, query_id, text))
        return "s%d" % next(group.signatures)

    async def query(self, query_id, text):
        server = self.server
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if not server.holds(position):
                self.error("LAGGING")
                return
        word, _, rest = text.partition(" ")
        if self.lost_lead and word != "ROLLBACK" and not (word == "COMMIT" and not self.writes):
            self.error("READONLY")
        elif self.failed and word not in ("ROLLBACK", "COMMIT"):
            self.error("MALFORMED")
        elif word == "BEGIN":
            if rest != "READ" and not server.primary:
                self.error("READONLY")
                return
            self.transaction, self.read_only = True, rest == "READ"
            self.done()
        elif word == "ROLLBACK":
            self.discard()
            self.done()
        elif word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            self.done()
        elif word == "PREPARE":
            name, _, shape = rest.partition(" ")
            self.prepared[name] = shape.partition(" ")[0]
            self.done()
        elif word == "RESET":
            self.values, self.prepared = {}, {}
            self.done()
        elif word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            await self.control(word, rest)
        else:
            await self.work(query_id, word, rest, text)

    async def control(self, word, rest):
        server = self.server
        async with server.slots:
            await asyncio.sleep(0.001)
        if word == "PAUSE" and int(rest) > server.term and not server.primary:
            server.paused = True
        elif word == "RESUME":
            server.paused = False
        elif word == "DEMOTE" and int(rest) > server.term and server.primary:
            server.primary = False
            for session in server.sessions:
                session.lost_lead = session.transaction and not session.read_only
        row = "%s %d %s 0 0 1 %d" % ("primary" if server.primary else "replica", server.term,
                                     server.position(len(server.log)), len(server.sessions))
        server.group.note("servers: %s answers %s %s: %s" % (server.id, word, rest, row))
        self.done(rows=[row])

    async def work(self, query_id, word, rest, text):
        server = self.server
        async with server.slots:
            await asyncio.sleep(0.008)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                self.error("NOSTMT")
                return
            word = self.prepared[name]
        if word == "READ":
            self.done(self.sign(query_id, text), ["r"])
        elif word == "WRITE":
            if not server.primary or self.read_only:
                self.error("READONLY")
            elif self.transaction:
                self.writes.append(query_id)
                self.done(self.sign(query_id, text))
            else:
                await self.commit(query_id, text, [query_id])
        elif word == "COMMIT":
            if self.failed or (self.lost_lead and self.writes):
                self.discard()
                self.error("ABORTED")
                return
            writes = self.writes
            self.discard()
            if writes:
                await self.commit(query_id, text, writes)
            else:
                self.done(self.sign(query_id, text))
        else:
            self.error("MALFORMED")

    async def commit(self, query_id, text, writes):
        server = self.server
        entry, received = server.group.append(server, writes)
        if server.group.sync:
            await received.wait()
        if not server.running:
            raise ConnectionError
        if entry not in server.log[entry.number - 1:entry.number]:
            self.abort()  # rolled back by a promotion before it was acknowledged
            return
        entry.acknowledged = time.monotonic()
        self.done(self.sign(query_id, text))
