"""Clients send sixteen commands at once; the first is a write whose primary hangs."""

import asyncio

from standin import (
    BROKEN, HELD, TROUBLE, Agent, Catalog, Client, CouldNotRun, Gateway, Server, new_id, now, query,
    read_text, run_case, settings, write_text,
)

VALUE = bytes(range(256)) * 256  # 64 KiB, the longest value of the protocol page
REQUESTS_PER_SECOND = 320
COMMANDS_AT_ONCE = 16
LOAD_S = 10
HANG_S = 8
ANSWER_SLACK_S = 0.55  # half a second after its time, and 50 ms on sockets
WAIT_MS = {"episode-list": 2500, "resume-read": 1500, "popular-list": 1000, "play-log": 5000}
READS = ["episode-list"] * 8 + ["popular-list"] * 4 + ["resume-read"] * 3


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
    for cell, members in enumerate((4, 3, 3)):
        for number in range(members):
            server = Server(record, f"s-{cell}{number}", cell, number == 0, service=0.03, slots=40,
                            tells_position=True, stats_in_answers=True,
                            value_of=lambda key, rid: VALUE)
            await server.start()
            started.append(server)
            servers.append(server)
    await catalog.publish(
        *[catalog.entry(s, mode="read-write" if s.primary else "read-only") for s in servers]
    )
    agent = Agent(record, catalog, "discovery")
    await agent.start()
    started.append(agent)
    known = {"revision": 1, "complete": True, "members": list(catalog.entries.values())}
    gateway = Gateway(record, "n0", agent, sapporo(), known, sockets=1024, memory_mb=192)
    started.append(gateway)
    await gateway.start()

    client = await Client.connect(gateway.port)
    for cell in range(3):
        for _ in range(10):
            await client.ask(query(write_text("k", b"x", new_id(), "play-log", 5000, cell)))
            await client.ask(query(read_text("k", new_id(), "popular-list", 1000, cell)))
    client.close()

    counts = {}
    late = []
    open_clients = 0
    most_clients = 0

    def count(what):
        counts[what] = counts.get(what, 0) + 1

    async def commands(number):
        nonlocal open_clients, most_clients
        if not gateway.running():
            return
        try:
            client = await Client.connect(gateway.port)
        except OSError:
            count("no connection")
            return
        open_clients += 1
        most_clients = max(most_clients, open_clients)
        sent = []
        texts = [("play-log", write_text(f"w{number}", b"x", new_id(), "play-log", 5000, 0))]
        for index, name in enumerate(READS):
            texts.append((name, read_text(f"r{index}", new_id(), name, WAIT_MS[name], 1 + index % 2)))
        client.send(b"".join(query(text) for _, text in texts))
        at = now()
        sent = [name for name, _ in texts]
        record.line(f"client {number} sends {len(texts)} commands: {sent[0]} to cell 0, then reads")
        # An answer waits for those before it, which does not count: the latest deadline so far is
        # the bound.
        limit = 0
        try:
            for name in sent:
                answer = await client.answer()
                limit = max(limit, WAIT_MS[name] / 1000)
                count(f"{name} {answer.kind} {answer.code or ''}".strip())
                if answer.kind == "served" and name != "play-log" and answer.value != VALUE:
                    count("foreign value")
                if answer.at - at > limit + ANSWER_SLACK_S:
                    late.append((number, name, answer.at - at))
            record.line(f"client {number} has all its answers")
        except (EOFError, OSError):
            count("connections ended without all answers")
            record.line(f"client {number}: connection ended without all answers")
        client.close()
        open_clients -= 1

    hung = servers[0]
    begin = now()
    if TROUBLE:
        hung.hung = True
        record.say(f"{hung.name}, the primary of cell 0, takes requests and answers none from now on")
    tasks = []
    while now() - begin < LOAD_S and gateway.running():
        tasks.append(asyncio.create_task(commands(len(tasks))))
        if hung.hung and now() - begin > HANG_S:
            hung.hung = False
            record.say(f"{hung.name} goes on")
        pause = begin + len(tasks) * COMMANDS_AT_ONCE / REQUESTS_PER_SECOND - now()
        await asyncio.sleep(max(0, pause))
    ran = now() - begin
    hung.hung = False
    await asyncio.wait(tasks, timeout=8)
    pending = sum(not task.done() for task in tasks)
    record.say(f"{len(tasks) * COMMANDS_AT_ONCE} requests in {ran:.1f} s, at most {most_clients} clients")
    record.say(f"answers: {dict(sorted(counts.items()))}, late {len(late)}, unanswered clients {pending}")
    if not gateway.running():
        record.say(f"the gateway has ended with status {gateway.process.returncode}: "
                   f"{gateway.log_text().strip().splitlines()[-1]}")
        return BROKEN
    if counts.get("no connection") or not any("served" in key for key in counts):
        raise CouldNotRun("clients could not connect")
    broken = late or pending or counts.get("foreign value")
    return BROKEN if broken or counts.get("connections ended without all answers") else HELD


run_case(__file__, main)
