"""A command to resume that is carried out late ends the pause of a later promotion."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))
import database
import harness
from platform_store import Store

SERVICE = "ledger"
HERE = os.path.dirname(os.path.abspath(__file__))
# 1: both disruptions; 0: none; cut: only the partitions.
TROUBLE = os.environ.get("TROUBLE", "1")
CUT_OFF = 4       # of seven daemons
CUT_S = (4, 7)
BETWEEN_S = 3.5
LATE_S = (2, 12)  # of applied_late


async def write_all_the_time(number, daemons, record, results, stop):
    """A client that writes orders, one after the other, and reconnects after an error."""
    count = 0
    while not stop.is_set():
        session = harness.ClientSession(daemons[number % len(daemons)].port)
        try:
            if await session.open("orders"):
                while not stop.is_set():
                    count += 1
                    query = "w%d-%d" % (number, count)
                    record.note("client %d: sends %s" % (number, query))
                    results[query] = "no answer"
                    code, text, _, _ = await session.ask(query, "WRITE item%d data%d"
                                                         % (number, count))
                    results[query] = code
                    record.note("client %d: %s is answered with %s %s"
                                % (number, query, code, text))
                    await asyncio.sleep(0.02)
                    if code != "OK":
                        break
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        count += 1
        session.close()
        await asyncio.sleep(0.1)


class LateResume:
    """The first command to resume that a server gets has no answer and is carried out late."""

    def __init__(self, server, record):
        self.server, self.record = server, record
        self.sent_at, self.is_done = None, TROUBLE != "1"
        self.control = database.Session.control

    async def handle(self, session, word, rest):
        if session.server is self.server and not self.is_done:
            if word == "RESUME" and self.sent_at is None:
                self.sent_at = time.monotonic()
                self.record.note("trouble: %s leaves RESUME unanswered" % self.server.id)
                await asyncio.sleep(3600)
            elif word == "PAUSE" and self.sent_at is not None and \
                    LATE_S[0] < time.monotonic() - self.sent_at < LATE_S[1] - 1:
                self.is_done = True
                self.server.group.tasks.append(asyncio.ensure_future(self.carry_out()))
        await self.control(session, word, rest)

    async def carry_out(self):
        await asyncio.sleep(0.15)
        self.record.note("trouble: %s carries out the RESUME of %.1f s ago"
                         % (self.server.id, time.monotonic() - self.sent_at))
        self.server.paused = False


async def partition(primary, daemons, seconds, record):
    if TROUBLE != "0":
        primary.cut_off = {daemon.name for daemon in daemons[:CUT_OFF]}
        record.note("trouble: %s, the primary, is partitioned from %s"
                    % (primary.id, ", ".join(sorted(primary.cut_off))))
    await asyncio.sleep(seconds)
    primary.cut_off = set()
    record.note("the partition ends")


async def run(record, folder):
    group = database.Group(SERVICE, list(harness.ZONES), 1, record.note)
    store = Store(lambda service, server: group.order(server), record.note)
    await store.start()
    await group.start()
    # Receives a little later than the others, so that it is not the target.
    group.servers[2].receive_s = 0.02
    late = LateResume(group.servers[2], record)
    database.Session.control = lambda session, word, rest: late.handle(session, word, rest)
    tasks = [asyncio.ensure_future(harness.heartbeats(store, server)) for server in group.servers]
    store.put("op", "config", harness.configuration(1, SERVICE, 1))
    daemons = [harness.Daemon("front-%s-%d" % (zone, number), zone, store.port, folder)
               for zone, count in zip(harness.ZONES, (3, 2, 2)) for number in range(1, count + 1)]
    stop, results = asyncio.Event(), {}
    try:
        for daemon in daemons:
            daemon.start()
        if not await harness.wait_until_ready(daemons):
            return 2
        tasks += [asyncio.ensure_future(
            write_all_the_time(number, daemons, record, results, stop)) for number in range(1, 8)]
        await asyncio.sleep(8)
        for seconds in CUT_S:
            await partition(group.leader(), daemons, seconds, record)
            await asyncio.sleep(BETWEEN_S)
        await asyncio.sleep(3)
        stop.set()
        await asyncio.sleep(1)
    finally:
        for daemon in daemons:
            daemon.stop()
        for task in tasks + group.tasks:
            task.cancel()
    answered = sum(1 for code in results.values() if code == "OK")
    acknowledged = {query for query, code in results.items() if code == "OK"}
    told = [query for entry in group.lost for query in entry.ids if query in acknowledged]
    record.note("result: %d writes answered with success; %d acknowledged commits not in the log "
                "of a promoted server, %d of them answered with success to their client: %s"
                % (answered, len(group.lost), len(told), " ".join(told[:20])))
    if answered < 50:
        return 2
    return 1 if group.lost else 0


if __name__ == "__main__":
    harness.execute(HERE, run)
