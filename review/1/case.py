"""LOST: an acknowledged commit of a service with sync-replicas is not in the log of the server that
is promoted, because a draining replica's log is not asked for."""
import asyncio
import os
import random
import time

from standins import BROKEN, CONTACT_S, HELD, Client, main, route, trouble_wanted

NETWORK_S, APPLY_S = 0.020, 0.020  # holmgaard-ops: 20 ms between geos, replicas 20 ms behind
WORK_S = 0.011
WRITERS = 12
DEAF_AFTER_S, CRASH_AFTER_S = 2.5, 4.0  # after the report of the draining replica
DEAF_S = 6.0


async def write_orders(deployment, number, acknowledged, stopping):
    """A client that writes one order after the other and goes to another daemon after a failure."""
    record, count = deployment.record, 0
    while not stopping.is_set():
        client = Client(random.choice(deployment.daemons), "orders", record)
        if await client.start() is not None:
            await asyncio.sleep(0.1)
            continue
        while not stopping.is_set():
            count += 1
            statement_id = f"w{number}x{count}"
            result, state = await client.query(statement_id, f"WRITE {number} {statement_id}")
            if result == "DONE":
                acknowledged[statement_id] = time.monotonic()
            if result != "DONE" or state != "I":
                break
            await asyncio.sleep(random.uniform(0.010, 0.040))
        client.close()
        await asyncio.sleep(0.05)


async def case(deployment):
    record = deployment.record
    group = deployment.add_group("huvo11a", receive_s=[0, NETWORK_S, NETWORK_S],
                                 apply_s=[0, APPLY_S, APPLY_S], work_s=WORK_S, sync_replicas=1)
    await deployment.start([route("orders", "huvo11a", "primary")], 3)
    acknowledged, stopping, lost = {}, asyncio.Event(), []
    promotions = []

    def on_promoted(server):
        held = {statement for entry in server.log for statement in entry}
        missing = sorted((moment, statement) for statement, moment in acknowledged.items()
                         if statement not in held)
        promotions.append(server.id)
        record.say(f"{len(acknowledged)} commits were acknowledged; {server.id} holds all but "
                   f"{len(missing)} of them")
        for moment, statement in missing:
            record.line(f"lost: {statement}, acknowledged {moment - record.start:.3f} s")
        lost.extend(missing)

    group.on_promoted = on_promoted
    writers = [asyncio.create_task(write_orders(deployment, number, acknowledged, stopping))
               for number in range(WRITERS)]
    await asyncio.sleep(CONTACT_S)
    primary, leaving, deaf = group.servers
    if trouble_wanted():
        if os.environ.get("DRAIN", "1") != "0":
            record.say(f"planned: {leaving.id} is to be replaced and reports that it drains")
            leaving.draining = True
            leaving.register()
        await asyncio.sleep(DEAF_AFTER_S)
        record.say(f"fault: {deaf.id} receives nothing for {DEAF_S} s, and the primary crashes "
                   "meanwhile")
        deaf.deaf = True
        await asyncio.sleep(CRASH_AFTER_S - DEAF_AFTER_S)
        if os.environ.get("CRASH", "1") != "0":
            record.say(f"fault: the primary {primary.id} crashes")
            primary.crash()
        else:
            record.say(f"planned: the primary {primary.id} is to be replaced, too")
            primary.draining = True
            primary.register()
        await asyncio.sleep(DEAF_S - (CRASH_AFTER_S - DEAF_AFTER_S))
        deaf.deaf = False
        group.stream(deaf)
        if not primary.running:
            deployment.store.drop("servers", primary.id)  # after three ping intervals of silence
        deadline = time.monotonic() + 20
        while not promotions and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        await asyncio.sleep(1)
    else:
        await asyncio.sleep(10)
    stopping.set()
    await asyncio.gather(*writers)
    record.say(f"{len(acknowledged)} writes were acknowledged in all; promoted: {promotions}")
    return BROKEN if lost else HELD


main(os.path.dirname(os.path.abspath(__file__)), case)
