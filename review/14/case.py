"""A replica that was paused for a survey starts again before the promotion."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "lib-3"))
import database
import harness
from platform_store import Store

SERVICE = "ledger"
HERE = os.path.dirname(os.path.abspath(__file__))
# 1: both disruptions; 0: none; cut: only the first one.
TROUBLE = os.environ.get("TROUBLE", "1")
CUT_OFF = 4       # of seven daemons
RESTART_S = 0.3


async def write_all_the_time(number, daemons, record, results, stop):
    """A client that writes orders, one after the other, and reconnects after an error."""
    count = 0
    while not stop.is_set():
        session = harness.ClientSession(daemons[(number + count) % len(daemons)].port)
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


async def run(record, folder):
    group = database.Group(SERVICE, list(harness.ZONES), 1, record.note)

    def order(service, server):
        accepted = group.order(server)
        if accepted and TROUBLE == "1" and len(store.orders) == 0:
            other = next(s for s in group.servers if s.paused and s.id != server)
            record.note("trouble: %s ends and starts again" % other.id)
            group.tasks.append(asyncio.ensure_future(other.restart(RESTART_S)))
        return accepted

    store = Store(order, record.note)
    await store.start()
    await group.start()
    primary = group.servers[0]
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
        if TROUBLE != "0":
            primary.cut_off = {daemon.name for daemon in daemons[:CUT_OFF]}
            record.note("trouble: %s, the primary, is partitioned from %s"
                        % (primary.id, ", ".join(sorted(primary.cut_off))))
        await asyncio.sleep(6)
        primary.cut_off = set()
        record.note("the partition ends")
        await asyncio.sleep(5)
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
