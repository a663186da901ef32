"""One of two gateways is killed; the other takes over its clients and runs out of heap."""

import asyncio
import random
import signal

from standin import (
    BROKEN, HELD, TROUBLE, Agent, Catalog, Client, CouldNotRun, Gateway, Server, new_id, now, query,
    read_text, run_case, settings, write_text,
)

VALUE = bytes(range(256)) * 256  # 64 KiB, the longest value of the protocol page
REQUESTS_PER_SECOND = 370  # of the whole deployment; the brief says about 400
BEFORE_S = 12
AFTER_S = 15
RESTART_S = 8  # from the kill to the start of the new process
ANSWER_SLACK_S = 0.55  # half a second after its time, and 50 ms on sockets
CLASSES = [("episode-list", 39, 2500), ("resume-read", 23, 1500), ("popular-list", 20, 1000),
           ("play-log", 18, 5000)]
WAIT_MS = {name: wait for name, _, wait in CLASSES}


def sapporo():
    return settings(
        [
            ("episode-list", "bounded", 300000, "idempotent", 600000, 2500000, {"lateWorth": 0}),
            ("resume-read", "session", 0, "idempotent", 500000, 1500000, {}),
            ("popular-list", "any", 0, "idempotent", 300000, 1000000, {}),
            ("play-log", "write", 0, "at_most_once", 1000000, 5000000, {"lateWorth": 0.5}),
        ],
        nInstances=2, discovery="on_request",
        familyInfo={"progressTold": True, "checks": "refuse", "tokenMode": "carried",
                    "listRole": "late"},
        report={"source": "answers", "columns": ["x0", "x1"]},
        bounds={"tryLimit": 6, "idleClose": 15000000},
        invariants={"stopSendingWithin": 1000000, "coldFrom": 0.17, "cold": 18000000,
                    "fallMultiple": 4.0},
    )


async def main(record, started):
    catalog = Catalog(record)
    servers = []
    for cell, members in enumerate((4, 4, 4)):
        for number in range(members):
            server = Server(record, f"s-{cell}{number}", cell, number == 0, service=0.06, slots=40,
                            tells_position=True, stats_in_answers=True,
                            value_of=lambda key, rid: VALUE)
            await server.start()
            started.append(server)
            servers.append(server)
    await catalog.publish(
        *[catalog.entry(s, mode="read-write" if s.primary else "read-only") for s in servers]
    )
    gateways = []
    for number in range(2):
        agent = Agent(record, catalog, f"discovery of n{number}")
        await agent.start()
        started.append(agent)
        known = {"revision": 1, "complete": True, "members": list(catalog.entries.values())}
        gateway = Gateway(record, f"n{number}", agent, dict(sapporo(), me=number), known,
                          sockets=1024, memory_mb=192)
        started.append(gateway)
        await gateway.start()
        gateways.append(gateway)
    killed, survivor = gateways

    counts = {"n0": {}, "n1": {}}
    late = []
    lost = []
    idle = {"n0": [], "n1": []}
    front = {"n0", "n1"}  # to which gateways the front hands out connections
    was_killed = False

    async def one(gateway, name, rid, text):
        mine = counts[gateway.name]
        try:
            pool = idle[gateway.name]
            client = pool.pop() if pool else await Client.connect(gateway.port)
            at = now()
            answer = await client.ask(query(text))
        except (OSError, EOFError):
            record.line(f"{gateway.name}: no answer to {rid} {name}")
            mine["no answer"] = mine.get("no answer", 0) + 1
            if gateway is survivor:
                lost.append(rid)
            return
        pool.append(client)
        what = f"{name} {answer.kind}"
        mine[what] = mine.get(what, 0) + 1
        record.line(f"{gateway.name} answers {rid} {name}: {answer.kind} {answer.code or ''}")
        if answer.at - at > WAIT_MS[name] / 1000 + ANSWER_SLACK_S:
            late.append(rid)

    chance = random.Random(7)
    begin = now()
    number = 0
    tasks = set()
    kill_at = begin + BEFORE_S
    restart_at = None
    restart = None
    while now() - begin < BEFORE_S + AFTER_S and survivor.running():
        if TROUBLE and not was_killed and now() >= kill_at:
            was_killed = True
            killed.signal(signal.SIGKILL)
            await killed.process.wait()
            front.discard("n0")
            idle["n0"].clear()
            restart_at = now() + RESTART_S
            record.say("n0 is killed; the front sends its clients to n1 from now on")
        if restart_at is not None and now() >= restart_at:
            restart_at = None
            restart = asyncio.create_task(killed.start())
            record.say("n0 starts again")
        if restart is not None and restart.done():
            front.add("n0")
        gateway = gateways[number % 2] if len(front) == 2 else survivor
        name = chance.choices([c[0] for c in CLASSES], [c[1] for c in CLASSES])[0]
        rid = new_id()
        key = f"k{chance.randrange(500)}"
        cell = chance.randrange(3)
        text = (write_text(key, VALUE, rid, name, WAIT_MS[name], cell) if name == "play-log"
                else read_text(key, rid, name, WAIT_MS[name], cell))
        task = asyncio.create_task(one(gateway, name, rid, text))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        await asyncio.sleep(max(0, begin + number / REQUESTS_PER_SECOND - now()))
    ran = now() - begin
    if tasks:
        await asyncio.wait(set(tasks), timeout=6)
    if restart is not None and not restart.done():
        await asyncio.wait({restart}, timeout=10)
    record.say(f"{number} requests in {ran:.1f} s")
    for name, mine in counts.items():
        record.say(f"{name}: {dict(sorted(mine.items()))}")
    if not survivor.running():
        record.say(f"n1 has ended {now() - kill_at:.1f} s after the kill of n0, status "
                   f"{survivor.process.returncode}: {survivor.log_text().strip().splitlines()[-1]}")
        return BROKEN
    if sum(counts["n1"].values()) < 500:
        raise CouldNotRun("too few requests")
    record.say(f"n1 lost {len(lost)}, late {len(late)}")
    return BROKEN if lost or late else HELD


run_case(__file__, main)
