"""Runs daemons as processes against the stand-ins, with clients, and writes a record."""
import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TIME_LIMIT_S = 110
ZONES = {"vejle-a": "jylland", "roskilde-a": "sjaelland", "odense-a": "fyn"}


class Record:
    """Lines of record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w"), time.monotonic()

    def note(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))


next_port = 10000 + os.getpid() * 64 % 20000  # scripts that run beside each other use other ports


def free_block(count):
    """The first of `count` free ports in a row."""
    global next_port
    while True:
        first, next_port = next_port, next_port + count
        if next_port > 32000:
            next_port = 10000
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


class Daemon:
    """One process of the role in the deploy file."""

    def __init__(self, name, zone, store_port, folder, extra=""):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        self.command = role["run"].split()
        self.name, self.zone = name, zone
        first = free_block(6)
        self.port, self.ready_port = first, first + 1
        self.settings = os.path.join(folder, name + ".conf")
        self.log = os.path.join(folder, name + ".log")
        with open(os.path.join(os.path.dirname(__file__), "settings.conf")) as file:
            text = file.read()
        for key, value in {"NAME": name, "ZONE": zone, "REGION": ZONES[zone], "FRONT": first,
                           "READY": first + 1, "FIRST": first + 2, "LAST": first + 5,
                           "STORE": store_port}.items():
            text = text.replace("@%s@" % key, str(value))
        with open(self.settings, "w") as file:
            file.write(text + extra)
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["GYPSUMSTEP_NODE_FILE"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=subprocess.STDOUT)

    def send(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class ClientSession:
    """A client's session with a daemon."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self, database):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port), 2)
        self.writer.write(b"START %s\r\n" % database.encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        return line.startswith(b"READY")

    async def ask(self, query_id, text, timeout=8):
        """Returns (code or "OK", signature or text, rows, state)."""
        self.writer.write(("QUERY %s %s\r\n" % (query_id, text)).encode())
        return await self.answer(timeout)

    async def answer(self, timeout=8):
        rows, code, rest = [], None, ""
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
            word, _, tail = line.partition(" ")
            if word == "ROW":
                rows.append(tail)
            elif word == "DONE":
                code, rest = "OK", tail
            elif word == "ERROR":
                code, _, rest = tail.partition(" ")
            elif word == "READY":
                return code, rest, rows, tail.split(" ")[0]

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def is_ready(daemon):
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", daemon.ready_port)
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in line
    except (OSError, asyncio.TimeoutError):
        return False


def configuration(version, service, sync, max_connections=33):
    def route(name, host, kind, timeout, target, priority, staleness=None):
        made = {"name": name, "host": host, "prefix": "/", "type": kind, "timeout-ms": timeout,
                "target-latency-ms": target, "priority": priority, "service": service,
                "max-attempts": 2}
        if staleness:
            made["max-staleness-ms"] = staleness
        return made

    return {"version": version, "routes": [
        route("r-1", "orders", "primary", 1000, 800, 0),
        route("r-2", "drawings", "bounded_staleness", 3000, 1200, 1, 1500),
        route("r-3", "schedule", "read_your_writes", 1000, 3000, 2, 2500)],
        "services": [{"name": service, "health-path": "/health",
                      "max-connections": max_connections, "protocol": "h1", "tls": False,
                      "sync-replicas": sync}],
        "limits": {"tx-idle-ms": 3000}}


async def heartbeats(store, server, interval=1.2, silent_intervals=3):
    """Writes the server's registration; the store removes it after three silent intervals."""
    last, written = time.monotonic(), None
    while True:
        if server.running and server.reaches_store:
            now = (server.primary, server.draining)
            if written != now or time.monotonic() - last >= interval:
                store.put("servers", server.id, server.registration())
                last, written = time.monotonic(), now
        elif time.monotonic() - last >= interval * silent_intervals:
            store.remove("servers", server.id)
            written = None
        await asyncio.sleep(0.05)


async def wait_until_ready(daemons, seconds=15):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        states = [await is_ready(daemon) for daemon in daemons]
        if all(states):
            return True
        await asyncio.sleep(0.2)
    return False


def execute(folder, run):
    """Runs `run(record, temporary folder)`, which returns 0 if the rule held, 1 if it was broken, and
    2 if the case could not run. Ends the script with 0, 10 or 2, since Python itself ends with 1."""
    record = Record(os.path.join(folder, "record.txt"))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the daemons as well
    code = 2
    try:
        with tempfile.TemporaryDirectory(prefix="review-3-") as temporary:
            code = asyncio.run(asyncio.wait_for(run(record, temporary), TIME_LIMIT_S))
    except Exception:  # whatever went wrong, the case did not run
        record.note("the case could not run: " + traceback.format_exc())
    sys.exit({0: 0, 1: 10}.get(code, 2))
