"""PINNED: a client that prepares a statement whose shape holds blanks redefines the prepared statement
of another client, whose next EXECUTE runs a shape that it did not prepare."""
import asyncio
import os

from standins import BROKEN, HELD, Client, main, route, trouble_wanted

SHAPES = {"deposits": "deposit", "audits": "deposit WRITE audit" if trouble_wanted() else "audit"}


async def case(deployment):
    record = deployment.record
    group = deployment.add_group("huvo11a", receive_s=[0, 0.02, 0.02], apply_s=[0, 0.02, 0.02],
                                 work_s=0.011)
    await deployment.start([route("orders", "huvo11a", "primary")], 1)
    problems = []
    expected = {}  # statement id: (shape that its client prepared, arguments of its EXECUTE)

    def on_execute(server, statement_id, shape, arguments):
        wanted = expected[statement_id]
        record.say(f"{server.id} runs {statement_id}: shape {shape!r}, arguments {arguments!r}; "
                   f"its client prepared {wanted[0]!r} and sent {wanted[1]!r}")
        if (shape, arguments) != wanted:
            problems.append(statement_id)

    group.on_execute = on_execute
    clients = {}
    for name, shape in SHAPES.items():
        clients[name] = Client(deployment.daemons[0], "orders", record)
        assert await clients[name].start() is None
        result, _ = await clients[name].query(f"{name}x0", f"PREPARE s1 WRITE {shape}")
        record.say(f"{name}: PREPARE s1 WRITE {shape}: {result}")
    number = 0
    for name in ("deposits", "audits", "deposits"):
        for _ in range(4):
            number += 1
            statement_id = f"{name}x{number}"
            expected[statement_id] = (SHAPES[name], f"1a4 d{number}")
            result, _ = await clients[name].query(statement_id, f"EXECUTE s1 1a4 d{number}")
            record.say(f"{name}: EXECUTE s1 1a4 d{number}: {result}")
    for client in clients.values():
        client.close()
    return BROKEN if problems else HELD


main(os.path.dirname(os.path.abspath(__file__)), case)
