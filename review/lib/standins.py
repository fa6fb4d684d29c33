"""Stand-ins for the platform's store, its promotion call, database groups and clients, and the start
of the project's daemon as a process. Everything listens on loopback addresses and free ports.

Each stand-in does what PROTOCOL.md says. A script configures the disruption that it needs.
"""
import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HELD, BROKEN, NOT_RUN = 0, 1, 2

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPOSITORY, "target/packages/edge/gypsumstep-edge")

# Bounds of the site holmgaard-ops (SYSTEM.md).
CONTACT_S = 5.0
CONFIG_APPLY_S = 4.0
GRACE_S = 6.0
HEARTBEAT_S = 1.2

# One server and one daemon stand in each zone.
ZONES = {"vejle-a": "jylland", "roskilde-a": "sjaelland", "odense-a": "fyn"}


def trouble_wanted():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f"{self.now() * 1000:9.1f} ms  {text}\n")

    def say(self, text):
        self.line(text)
        self.file.flush()
        print(f"{self.now():7.3f} s  {text}", flush=True)


class Store:
    """The platform's metadata store: rows, transactions, and a feed of changed rows."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.version = 1
        self.changed = asyncio.Event()
        self.connections = {}  # stream writer of each open connection: whether it went silent

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def put(self, table, key, document):
        """Writes a row as the operator or a server does; the return is the acknowledgement."""
        self.version += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.rows[(table, "", key)] = (value, self.version, False)
        self.wake()

    def drop(self, table, key):
        if (table, "", key) in self.rows:
            self.version += 1
            self.rows[(table, "", key)] = ("", self.version, True)
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def body(self, table, part, after, deleted, first=None, end=None):
        rows = []
        for (row_table, row_part, key), (value, version, gone) in sorted(self.rows.items()):
            if row_table != table or (part is not None and row_part != part):
                continue
            if version <= after or (gone and not deleted):
                continue
            if (first and key < first) or (end and key >= end):
                continue
            row = {"table": row_table, "part": row_part, "key": key, "value": value, "ver": version}
            if gone:
                row["deleted"] = True
            rows.append(row)
        return {"rows": rows, "has-more": False, "ver": self.version,
                "now-ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        self.connections[writer] = False
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                answer = await self.handle(writer, *request)
                if answer is None or self.connections[writer]:
                    # The connection stays open and delivers nothing further.
                    while await reader.read(65536):
                        pass
                    break
                write_http(writer, *answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.connections[writer]
            writer.close()

    def silence_open_connections(self):
        """From now on nothing arrives over the connections that are open; new ones work."""
        for writer in self.connections:
            self.connections[writer] = True
        self.wake()

    async def handle(self, writer, method, target, headers, body):
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        await asyncio.sleep(0.004)  # "4 ms an answer"
        if path == "/rows-get":
            return 200, self.body(query["table"], query.get("part", ""), 0, False,
                                  query.get("from"), query.get("to"))
        if path == "/rows-feed":
            return await self.feed(writer, query)
        if path == "/rows-tx":
            return self.transact(json.loads(body))
        return 404, {}

    async def feed(self, writer, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            body = self.body(query["table"], None, after, True)
            if self.connections[writer]:
                return None
            if body["rows"]:
                return 200, body
            left = deadline - time.monotonic()
            if left <= 0:
                return 200, body
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        def key_of(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        for condition in body.get("precondition", []):
            _, version, gone = self.rows.get(key_of(condition), ("", 0, True))
            if (0 if gone else version) != condition["ver"]:
                table, part, _ = key_of(condition)
                return 412, self.body(table, part, 0, False)
        self.version += 1
        for write in body.get("writes", []):
            self.rows[key_of(write)] = (write["value"], self.version, False)
        for removal in body.get("remove", []):
            self.rows[key_of(removal)] = ("", self.version, True)
        self.wake()
        return 200, {"rows": [], "ver": self.version, "now-ms": int(time.monotonic() * 1000)}


class Cloud:
    """The platform's promotion call, with checked fences."""

    def __init__(self, record, groups):
        self.record = record
        self.groups = groups
        self.newest_token = {}
        self.promoted = asyncio.Event()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                write_http(writer, *self.handle(*request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def handle(self, method, path, headers, body):
        if path != "/promotion":
            return 404, {}
        order = json.loads(body)
        service, target = order["service"], order["id"]
        token = int(headers["fencing-token"])
        self.record.say(f"{headers['duty-holder']} orders the promotion of {target} with token "
                        f"{token}")
        if token < self.newest_token.get(service, 0):
            return 409, {}
        self.newest_token[service] = token
        return (200 if self.groups[service].order_promotion(target) else 409), {}


async def read_http(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def write_http(writer, status, document):
    body = json.dumps(document).encode()
    writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Server:
    """A backend server of a database group."""

    def __init__(self, group, index, zone, receive_s, apply_s):
        self.group = group
        self.id = f"i-{group.service}-{index}"
        self.zone = zone
        self.receive_s = receive_s  # time until a commit of the primary arrives here
        self.apply_s = apply_s      # time from its arrival until reads see it
        self.is_primary = index == 0
        self.running = True
        self.draining = False
        self.paused = False
        self.deaf = False           # receives no commits
        self.log = []               # received entries: lists of statement ids
        self.applied = 0
        self.known_term = 1
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.connections = set()
        self.slots = asyncio.Semaphore(group.slots)
        self.received = asyncio.Event()
        self.executed = []          # (time, id, text) of clients' statements

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.sequence += 1
        return {"service": self.group.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.group.slots,
                "state": "draining" if self.draining else "ready", "cold-remaining-ms": 0,
                "db-role": "primary" if self.is_primary else "replica",
                "sequence": self.sequence, "born": self.born}

    def register(self):
        if self.running:
            self.group.store.put("servers", self.id, self.entry())

    def crash(self):
        """The process ends: its connections break and it sends nothing any more."""
        self.running = False
        self.server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def position(self):
        return f"{self.known_term}.{self.applied}"

    def received_position(self):
        return f"{self.known_term}.{len(self.log)}"

    def holds(self, wanted):
        term, number = (int(part) for part in wanted.split("."))
        if term > self.known_term or number > self.applied:
            return False
        later = [start for begun, start in self.group.term_starts.items() if begun > term]
        return term == self.known_term or not later or number <= min(later)

    async def serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.run()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """A session at a backend server."""

    def __init__(self, server, reader, writer):
        self.server = server
        self.reader = reader
        self.writer = writer
        self.state = "I"
        self.writes = []
        self.read_only = False
        self.lost_lead = False
        self.prepared = {}
        self.who = ""  # the daemon that opened the session

    def answer(self, lines):
        text = "".join(f"{line}\r\n" for line in lines)
        text += f"READY {self.state} {self.server.position()}\r\n"
        self.writer.write(text.encode())

    def refuse(self, code):
        if self.state == "T":
            self.state = "E"
        self.answer([f"ERROR {code} {self.server.id}"])

    async def run(self):
        line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n").split(" ")
        server = self.server
        if line[0] != "START" or line[1] != server.group.service or (
                len(line) > 3 and line[3] != server.id):
            self.writer.write(f"ERROR MISROUTED {server.id}\r\n".encode())
            return
        self.who = line[2] if len(line) > 2 else ""
        if len(server.connections) > server.group.max_connections:
            self.writer.write(f"ERROR TOOMANY {server.id}\r\n".encode())
            return
        async with server.slots:
            await asyncio.sleep(server.group.connect_s)
        self.writer.write(f"READY I {server.position()}\r\n".encode())
        while True:
            line = (await self.reader.readuntil(b"\r\n")).decode().rstrip("\r\n")
            if line == "QUIT":
                return
            word, statement_id, text = line.split(" ", 2)
            await self.query(statement_id, text)

    async def query(self, statement_id, text):
        server = self.server
        if text.startswith("AFTER "):
            _, wanted, text = text.split(" ", 2)
            if not server.holds(wanted):
                self.refuse("LAGGING")
                return
        word, _, rest = text.partition(" ")
        if self.lost_lead and word != "ROLLBACK" and not (word == "COMMIT" and not self.writes):
            self.refuse("READONLY")
        elif self.state == "E" and word not in ("ROLLBACK", "COMMIT"):
            self.refuse("MALFORMED")
        elif word == "BEGIN":
            if rest != "READ" and not server.is_primary:
                self.refuse("READONLY")
                return
            self.state, self.read_only = "T", rest == "READ"
            self.answer(["DONE -"])
        elif word == "ROLLBACK":
            self.end_transaction()
            self.answer(["DONE -"])
        elif word in ("SET", "RESET"):
            if word == "RESET":
                self.prepared = {}
            self.answer(["DONE -"])
        elif word == "PREPARE":
            # The shape is the last field, so it extends to the end of the line.
            name, mode, shape = (rest.split(" ", 2) + ["", ""])[:3]
            if mode not in ("READ", "WRITE") or not shape:
                self.refuse("MALFORMED")
                return
            self.prepared[name] = (mode, shape)
            self.answer(["DONE -"])
        elif word in ("STATUS", "PAUSE", "RESUME", "DEMOTE"):
            self.control(word, rest)
        elif word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            await self.run_statement(statement_id, word, text)
        else:
            self.refuse("MALFORMED")

    def end_transaction(self):
        self.state, self.writes, self.read_only, self.lost_lead = "I", [], False, False

    def control(self, word, rest):
        server = self.server
        if word == "PAUSE" and int(rest) > server.known_term:
            server.paused = not server.is_primary
        elif word == "RESUME":
            server.paused = False
            server.group.stream(server)
        elif word == "DEMOTE" and int(rest) > server.known_term and server.is_primary:
            server.lose_lead()
        role = "primary" if server.is_primary else "replica"
        self.answer([f"ROW {role} {server.known_term} {server.received_position()} 0 0 0 "
                     f"{len(server.connections)}", "DONE -"])

    async def run_statement(self, statement_id, word, text):
        server, group = self.server, self.server.group
        if word == "EXECUTE" and text.split(" ")[1] not in self.prepared:
            self.refuse("NOSTMT")
            return
        writes = word == "WRITE" or (word == "EXECUTE" and
                                     self.prepared[text.split(" ")[1]][0] == "WRITE")
        if writes and (not server.is_primary or self.read_only):
            self.refuse("READONLY")
            return
        group.record.line(f"{server.id} receives {statement_id} {text}")
        server.executed.append((time.monotonic(), statement_id, text))
        if word == "EXECUTE":
            _, name, arguments = text.split(" ", 2)
            group.on_execute(server, statement_id, self.prepared[name][1], arguments)
        async with server.slots:
            await asyncio.sleep(group.work_s)
        if not server.running:
            return
        if (writes or (word == "COMMIT" and self.writes)) and not server.is_primary:
            if word == "COMMIT":
                self.end_transaction()
            self.refuse("READONLY")
            return
        committed = None
        if writes and self.state == "I":
            committed = [statement_id]
        elif writes:
            self.writes.append(statement_id)
        elif word == "COMMIT":
            if self.state != "T":
                self.end_transaction()
                self.refuse("ABORTED")
                return
            committed = self.writes or None
            self.end_transaction()
        if committed:
            number = group.append(server, committed)
            if group.sync_replicas and not await group.held_by_replica(server, number):
                return
        rows = []
        if not writes and word != "COMMIT":
            rows.append(f"ROW r{random.randrange(1 << 32):08x}")
            group.on_read(server, statement_id, server.log[:server.applied])
        self.answer(rows + [f"DONE {random.randrange(1 << 64):016x}"])


def lose_lead(server):
    server.is_primary = False
    for connection in server.connections:
        connection.lost_lead = connection.state == "T" and not connection.read_only
    server.register()


Server.lose_lead = lose_lead


class Group:
    """A service: one primary and its replicas, each in a zone of its own."""

    def __init__(self, record, store, service, receive_s, apply_s, work_s, sync_replicas=0,
                 slots=5, max_connections=33, connect_s=0.012, promote_s=1.0):
        self.record, self.store, self.service = record, store, service
        self.sync_replicas, self.slots = sync_replicas, slots
        self.max_connections, self.connect_s = max_connections, connect_s
        self.work_s, self.promote_s = work_s, promote_s
        self.term_starts = {1: 0}
        self.on_read = lambda server, statement_id, log: None
        self.on_execute = lambda server, statement_id, shape, arguments: None
        self.on_promoted = lambda server: None
        self.servers = [Server(self, index, zone, receive_s[index], apply_s[index])
                        for index, zone in enumerate(ZONES)]

    async def start(self):
        for server in self.servers:
            await server.listen()
            server.register()
        self.beat = asyncio.create_task(self.renew())

    async def renew(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for server in self.servers:
                server.register()

    def primary(self):
        return next((server for server in self.servers
                     if server.running and server.is_primary), None)

    def append(self, primary, entry):
        primary.log.append(entry)
        primary.applied = len(primary.log)
        for replica in self.servers:
            if replica is not primary:
                self.stream(replica)
        return len(primary.log)

    def stream(self, replica):
        """Sends the primary's log to a replica; it arrives after receive_s."""
        source = self.primary()
        if source is None or source is replica:
            return
        end, term = len(source.log), source.known_term
        asyncio.get_running_loop().call_later(replica.receive_s, self.arrive, source, replica, end,
                                              term)

    def arrive(self, source, replica, end, term):
        # What was sent before a crash still arrives, unless another server leads by then.
        if not replica.running or replica.paused or replica.deaf or term != max(self.term_starts):
            return
        replica.known_term = term
        if end > len(replica.log):
            replica.log.extend(source.log[len(replica.log):end])
            replica.received.set()
            replica.received = asyncio.Event()
        asyncio.get_running_loop().call_later(replica.apply_s, self.apply, replica, end, term)

    @staticmethod
    def apply(replica, end, term):
        if replica.known_term == term:
            replica.applied = max(replica.applied, min(end, len(replica.log)))

    async def held_by_replica(self, primary, number):
        """Waits until one replica, draining or not, has received the entry and said so."""
        def holder():
            return next((replica for replica in self.servers if replica is not primary and
                         replica.running and len(replica.log) >= number and
                         replica.known_term == primary.known_term), None)

        while holder() is None:
            waits = [asyncio.ensure_future(replica.received.wait()) for replica in self.servers]
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED, timeout=0.5)
            for wait in waits:
                wait.cancel()
        await asyncio.sleep(holder().receive_s)
        return primary.running and primary.is_primary

    def order_promotion(self, server_id):
        server = next((server for server in self.servers if server.id == server_id), None)
        if server is None or not server.running:
            return False
        if not server.is_primary:
            asyncio.get_running_loop().call_later(self.promote_s, self.become_primary, server)
        return True

    def become_primary(self, server):
        if not server.running or server.is_primary:
            return
        term = max(self.term_starts) + 1
        self.term_starts[term] = len(server.log)
        self.record.say(f"{server.id} leads term {term} with {len(server.log)} commits")
        for other in self.servers:
            if other is server:
                continue
            # Replicas that were ahead are rolled back; they follow the new term.
            del other.log[len(server.log):]
            other.applied = min(other.applied, len(other.log))
            if other.running and other.is_primary:
                other.lose_lead()
            other.is_primary = False
        server.is_primary, server.paused, server.known_term = True, False, term
        server.applied = len(server.log)
        server.register()
        for other in self.servers:
            if other.running:
                self.stream(other)
        self.on_promoted(server)


def route(database, service, kind, staleness_ms=2500, timeout_ms=1000, priority=0):
    return {"name": f"r-{database}", "host": database, "prefix": "/", "type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 3000, "priority": priority,
            "service": service, "max-attempts": 2, "max-staleness-ms": staleness_ms}


def configuration(version, routes, groups):
    return {"version": version, "routes": routes,
            "services": [{"name": group.service, "health-path": "/health",
                          "max-connections": group.max_connections, "protocol": "h1",
                          "tls": False, "sync-replicas": group.sync_replicas}
                         for group in groups],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000, "tx-idle-ms": 3000}}


class Daemon:
    """One gypsumstep-edge process on a loopback address of its own."""

    def __init__(self, record, folder, index, ports, store_port, cloud_port):
        self.record = record
        self.host = f"127.0.1.{index + 1}"
        self.zone = list(ZONES)[index % len(ZONES)]
        self.name = f"front-{self.zone}-{index}"
        self.front, self.ready_port, internal = ports, ports + 1, ports + 2
        fields = {
            "node-name": self.name, "role": "edge", "machine-class": "front", "serves": "front",
            "ip": self.host, "zone": self.zone, "region": ZONES[self.zone],
            **{f"zones.{zone}": region for zone, region in ZONES.items()},
            "listen.front": f"{self.host}:{self.front}",
            "listen.ready": f"{self.host}:{self.ready_port}",
            "internal-ports": f"{internal},{internal + 15}", "seeds": "", "bootstrap": "true",
            "counts-in-tolerance": "false", "limits.cpu-share": "0.25", "limits.cores": "1",
            "limits.memory-mb": "260", "limits.max-fds": "4300", "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0", "discovery": "platform", "entry": "vip",
            "heartbeat-ms": "1200", "contracts": "base,drain,config,cost,recover,sql,platform",
            "fault-tolerance.machines": "1", "fault-tolerance.zones": "0",
            "fault-tolerance.regions": "0", "bounds.seed-lag-s": "3", "bounds.reuse-after-s": "2",
            "bounds.contact-ms": "5000", "bounds.ack-timeout-ms": "6000",
            "bounds.catch-up-s": "4", "bounds.drain-ms": "7000", "bounds.grace-s": "6",
            "bounds.loss-slack-ms": "200", "bounds.config-apply-ms": "4000",
            "bounds.downgrade-slack-ms": "250", "bounds.outer-ms": "15000",
            "bounds.recovery-s": "12", "bounds.enforce-fencing": "true", "bounds.thaw-ms": "300",
            "platform.address": f"127.0.0.1:{store_port}", "platform.form": "table",
            "platform.writes-per-s": "400", "platform.reads-per-s": "2000",
            "platform.tx-timeout-ms": "6.0", "platform.partition-writes-s": "200",
            "platform.max-row-bytes": "65536", "platform.across": "false",
            "platform.history-s": "20", "platform.max-blob-bytes": "8388608",
            "platform.blob-timeout-ms": "25.0", "platform.blob-mb-s": "80.0",
            "cloud.address": f"127.0.0.1:{cloud_port}", "cloud.rate-per-s": "50.0",
            "cloud.duties": "failover", "cloud.duty-per-s": "50.0",
        }
        self.settings = os.path.join(folder, f"{self.name}.conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write("".join(f"{key}={value}\n" for key, value in fields.items()))
        self.log = open(os.path.join(folder, f"{self.name}.log"), "w", encoding="utf-8")

    @staticmethod
    def end_with_this_process():
        """Has the kernel kill the daemon when the script is killed."""
        ctypes.CDLL(None).prctl(1, signal.SIGKILL)

    def start(self):
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "LANG": "C.UTF-8",
                       "HOME": os.path.dirname(self.settings),
                       "GYPSUMSTEP_NODE_FILE": self.settings}
        self.process = subprocess.Popen([PROGRAM], cwd=REPOSITORY, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log, preexec_fn=self.end_with_this_process)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready_port)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A session at a daemon."""

    def __init__(self, daemon, database, record):
        self.daemon, self.database, self.record = daemon, database, record

    async def start(self):
        """Returns None if the session started, else the error's code or 'closed'."""
        try:
            self.reader, self.writer = await asyncio.open_connection(self.daemon.host,
                                                                     self.daemon.front)
            self.writer.write(f"START {self.database}\r\n".encode())
            line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return "closed"
        words = line.decode().split()
        return None if words[0] == "READY" else words[1]

    async def query(self, statement_id, text, limit_s=8.0):
        """Returns (result, state): result is 'DONE', an error's code, 'closed' or 'silent'."""
        self.record.line(f"client sends {statement_id} {text} to {self.daemon.name}")
        result = None
        try:
            self.writer.write(f"QUERY {statement_id} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit_s)
                words = line.decode().rstrip("\r\n").split(" ")
                if words[0] == "DONE":
                    result = "DONE"
                elif words[0] == "ERROR":
                    result = words[1]
                elif words[0] == "READY":
                    self.record.line(f"client gets {result} for {statement_id}")
                    return result, words[1]
        except (OSError, asyncio.IncompleteReadError):
            self.record.line(f"connection closed without an answer for {statement_id}")
            return "closed", "I"
        except asyncio.TimeoutError:
            self.record.line(f"no answer for {statement_id}")
            return "silent", "I"

    def close(self):
        self.writer.close()


def free_ports(hosts, count):
    """Returns the first of a block of ports that is free on all of the addresses."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        sockets = []
        try:
            for host in hosts:
                for port in range(first, first + count):
                    probe = socket.socket()
                    sockets.append(probe)
                    probe.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise RuntimeError("no free ports")


class Deployment:
    """Store, promotion call, groups and daemons of a small deployment."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.groups = {}
        self.daemons = []

    def add_group(self, service, **options):
        self.groups[service] = Group(self.record, self.store, service, **options)
        return self.groups[service]

    async def start(self, routes, daemon_count):
        store_port = await self.store.listen()
        cloud_port = await Cloud(self.record, self.groups).listen()
        self.version = 1
        self.configure(routes)
        for group in self.groups.values():
            await group.start()
        hosts = [f"127.0.1.{index + 1}" for index in range(daemon_count)]
        ports = free_ports(hosts, 18)
        for index in range(daemon_count):
            daemon = Daemon(self.record, self.temporary, index, ports, store_port, cloud_port)
            daemon.start()
            self.daemons.append(daemon)
        deadline = time.monotonic() + 20
        for daemon in self.daemons:
            while not await daemon.is_ready():
                if time.monotonic() > deadline or daemon.process.poll() is not None:
                    raise RuntimeError(f"{daemon.name} does not become ready")
                await asyncio.sleep(0.1)
        self.record.say(f"{daemon_count} daemons are ready")

    def configure(self, routes):
        """Writes a configuration; the return is the store's acknowledgement."""
        self.version += 2
        self.store.put("op", "config", configuration(self.version, routes, self.groups.values()))
        self.record.say(f"the store acknowledges configuration {self.version}: " + ", ".join(
            f"{entry['host']}->{entry['service']}" for entry in routes))

    def stop(self):
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.kill()
            daemon.process.wait()
            daemon.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def main(folder, case):
    """Runs case(deployment), which returns HELD or BROKEN, and exits with its result."""
    if not os.access(PROGRAM, os.X_OK):
        print("the daemon is not built; run the build of the deploy file first")
        sys.exit(NOT_RUN)
    deployment = Deployment(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def run():
        return await asyncio.wait_for(case(deployment), 110)

    try:
        result = asyncio.run(run())
    except Exception as problem:  # whatever stops the script: the case could not run
        deployment.record.say(f"the case could not run: {problem!r}")
        result = NOT_RUN
    finally:
        deployment.stop()
    deployment.record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
                           NOT_RUN: "not run"}[result])
    sys.exit(result)
