"""STALE: a read on a read_your_writes route misses a commit of its own session after the route went
to another service and back."""
import asyncio
import os

from standins import BROKEN, CONTACT_S, HELD, Client, main, route, trouble_wanted

STALENESS_MS = 2500
LAG_S = 0.020          # replicas of holmgaard-ops
PAUSE_S = 0.5          # between a step of the sessions and the next change of the configuration


async def case(deployment):
    record = deployment.record
    first, second = (deployment.add_group(service, receive_s=[0, 0.02, 0.02],
                                          apply_s=[0, LAG_S, LAG_S], work_s=0.033)
                     for service in ("huvo11a", "kafi81c"))

    def routes(service):
        return [route("schedules", service, "read_your_writes", STALENESS_MS)]

    await deployment.start(routes(first.service), 3)
    stale, committed = [], {}

    def on_read(server, statement_id, log):
        session = statement_id.split("x")[0]
        held = {statement for entry in log for statement in entry}
        missing = [write for write in committed.get((session, server.group.service), [])
                   if write not in held]
        record.line(f"{server.id} runs {statement_id} on a log of {len(log)} commits")
        if missing:
            record.say(f"{statement_id} runs on {server.id}, whose log lacks {missing}, which "
                       "were acknowledged to its session")
            stale.append(statement_id)

    first.on_read = second.on_read = on_read
    await asyncio.sleep(CONTACT_S)

    async def run(client, session, number, text, service):
        statement_id = f"{session}x{number}"
        result, _ = await client.query(statement_id, f"{text} {statement_id}"
                                       if text.startswith("WRITE") else text)
        if text.startswith("WRITE") and result == "DONE":
            committed.setdefault((session, service), []).append(statement_id)
        return result

    clients = []
    for index, daemon in enumerate(deployment.daemons):
        client = Client(daemon, "schedules", record)
        assert await client.start() is None
        clients.append((f"s{index}", client))

    async def all_run(number, text, service):
        return await asyncio.gather(*(run(client, session, number, text, service)
                                      for session, client in clients))

    if trouble_wanted():
        record.say(f"fault: the replica {first.servers[1].id} receives nothing for 6.5 s")
        first.servers[1].deaf = True  # the script ends before that
    record.say(f"reads and writes on {first.service}: "
               f"{await all_run(1, 'READ 1a4', first.service)} "
               f"{await all_run(2, 'WRITE 1a4', first.service)}")
    if trouble_wanted():
        await asyncio.sleep(PAUSE_S)
        deployment.configure(routes(second.service))
    await asyncio.sleep(PAUSE_S)
    where = second.service if trouble_wanted() else first.service
    record.say(f"writes on {where}: {await all_run(3, 'WRITE 1a4', where)}")
    if trouble_wanted():
        deployment.configure(routes(first.service))
    await asyncio.sleep(PAUSE_S)
    record.say(f"reads on {first.service}: {await all_run(4, 'READ 1a4', first.service)}")
    for _, client in clients:
        client.close()
    return BROKEN if stale else HELD


main(os.path.dirname(os.path.abspath(__file__)), case)
