"""Three hundred clients send four hundred filings each at once and go; what begins later is counted."""

import asyncio
import json
import math
import os
import pathlib
import random
import sys

from standin import (
    BROKEN, HELD, HERE, TROUBLE, Agent, Catalog, Client, CouldNotRun, Gateway, Server, new_id, now,
    query, read_text, run_case, settings,
)

LEAVERS = 300
PROCESSES = 4
COMMANDS = 400
WAVES = 3
USUAL = 12
CELLS = 3
BREAK_FROM = 3  # docs/standing-test.md: "a break from the third on"
GONE_S = 0.1   # "An attempt that begins more than 0.1 s after the close is a break"
SLACK_S = 0.05  # "every time limit is 50 ms longer"
WORK_S, WORK_CV = 0.09, 1.0  # inspection-filing: 69 to 120 ms of work, lognormal, cv 0.64 to 1.1


def registr():
    return settings(
        [
            ("register-lookup", "bounded", 800000, "idempotent", 750000, 2000000, {"lateWorth": 0}),
            ("own-entry-read", "session", 0, "idempotent", 300000, 750000, {}),
            ("inspection-filing", "write", 0, "at_most_once", 600000, 3000000, {"lateWorth": 0.5}),
        ],
        nInstances=2,
    )


class Leavers:
    """The processes with the clients that go."""

    def __init__(self):
        self.processes = []

    async def start(self, port, wave):
        count = LEAVERS // PROCESSES
        script = pathlib.Path(__file__).resolve().parent / "leavers.py"
        environment = dict(os.environ, PYTHONPATH=str(HERE))
        for number in range(PROCESSES):
            self.processes.append(await asyncio.create_subprocess_exec(
                sys.executable, str(script), str(port), str(wave * LEAVERS + number * count), str(count),
                str(COMMANDS), "0" if TROUBLE else "1",
                stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL, env=environment,
            ))

    async def closed(self):
        """When each client had closed its connection, by its number."""
        result = {}
        for process in self.processes:
            output, _ = await asyncio.wait_for(process.communicate(), 60)
            result.update({int(n): at for n, at in json.loads(output).items()})
        return result

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


async def main(record, started):
    catalog = Catalog(record)
    arrivals = []
    servers = []
    work = random.Random(8)
    sigma = math.sqrt(math.log(1 + WORK_CV**2))
    for cell in range(CELLS):
        for number in range(3):
            server = Server(
                record, f"s-{cell}{number}", cell, number == 0, slots=20, lag=0.01, arrivals=arrivals,
                service=lambda arrival: work.lognormvariate(math.log(WORK_S) - sigma**2 / 2, sigma))
            await server.start()
            started.append(server)
            servers.append(server)
    await catalog.publish(*[catalog.entry(s) for s in servers])
    agent = Agent(record, catalog, "discovery")
    await agent.start()
    started.append(agent)
    known = {"revision": 1, "complete": True, "members": list(catalog.entries.values())}
    gateway = Gateway(record, "n0", agent, registr(), known)
    started.append(gateway)
    await gateway.start()

    answers = {}
    stop = False

    async def usual(number):
        client = None
        while not stop:
            try:
                client = client or await Client.connect(gateway.port)
                answer = await client.ask(query(read_text(f"u{number}", new_id(), "register-lookup", 2000, number % CELLS)))
                answers[answer.kind] = answers.get(answer.kind, 0) + 1
            except (OSError, EOFError):
                answers["no answer"] = answers.get("no answer", 0) + 1
                client = None
            await asyncio.sleep(0.1)

    async def lag():
        nonlocal most_lag
        while not stop:
            at = now()
            await asyncio.sleep(0.005)
            most_lag = max(most_lag, now() - at - 0.005)

    most_lag = 0.0
    tasks = [asyncio.create_task(usual(number)) for number in range(USUAL)]
    await asyncio.sleep(3)
    if answers.get("served", 0) < 50:
        raise CouldNotRun("the usual clients were not served before the disruption")
    watch = asyncio.create_task(lag())
    closed = {}
    for wave in range(WAVES):
        leavers = Leavers()
        started.append(leavers)
        await leavers.start(gateway.port, wave)
        closed.update(await leavers.closed())
        await asyncio.sleep(4)
    stop = True
    await asyncio.gather(*tasks, watch, return_exceptions=True)
    if len(closed) < LEAVERS * WAVES * 9 // 10:
        raise CouldNotRun(f"only {len(closed)} clients connected")
    if not gateway.running():
        record.say(f"the gateway has ended: {gateway.log_text().strip().splitlines()[-1]}")
        return BROKEN

    late = []
    of_leavers = 0
    for a in arrivals:
        if not a["id"].startswith("g"):
            continue
        of_leavers += 1
        number = int(a["id"][1:a["id"].index("x")])
        after = a["at"] - closed[number] if number in closed else -math.inf
        record.line(f"{a['server']} got {a['id']} {after:+.3f} s after the close of its connection", a["at"])
        # What the stand-in itself may have read late is not held against the gateway.
        if after > GONE_S + SLACK_S + most_lag:
            late.append((after, a["id"], a["server"]))
    for after, rid, server in sorted(late)[-10:]:
        record.say(f"{server} got filing {rid} {after:.3f} s after its client had closed")
    record.say(f"{len(closed)} clients sent {COMMANDS} filings each{' and went' if TROUBLE else ''}; {of_leavers} "
               f"filings reached a server, {len(late)} of them too late for clients that had gone; usual clients: {answers}; "
               f"the stand-in was at most {most_lag * 1000:.0f} ms late")
    return BROKEN if len(late) >= BREAK_FROM else HELD


run_case(__file__, main)
