"""Three hundred clients send two hundred filings each at once; the gateway has to keep running."""

import asyncio
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import settings  # noqa: E402
from standins import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRun,
    Client,
    DatabaseServer,
    Discovery,
    Gateway,
    read_statement,
    run_case,
    trouble,
    write_statement,
)

USUAL_CLIENTS = 10
MANY_AT_ONCE = 300
COMMANDS = 200
PROCESSES = 4
QUIET_S = 4
WATCHED_S = 25


class Usual:
    """A client with one request at a time."""

    def __init__(self, number, gateway, record):
        self.number = number
        self.gateway = gateway
        self.record = record
        self.asked = 0
        self.answers = {}

    async def run(self):
        client = None
        while True:
            try:
                if client is None:
                    client = Client(self.gateway)
                    await client.connect()
                self.asked += 1
                request = f"u{self.number}x{self.asked}"
                key = f"session{self.number}"
                if self.asked % 4 == 0:
                    fields = f"id={request},c=inspection-filing,t=acme,d=3000,cluster=1"
                    sql = write_statement(key, "ab", fields)
                else:
                    fields = f"id={request},c=register-lookup,t=acme,d=2000,cluster=1"
                    sql = read_statement(key, fields)
                self.record(f"sent {request}")
                answer = await client.ask(sql)
                self.record(f"answered {request}: {answer}")
                self.answers[answer.kind] = self.answers.get(answer.kind, 0) + 1
                if answer.kind == "closed":
                    client.close()
                    client = None
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as problem:
                self.record(f"usual client {self.number}: {problem!r}")
                client = None
                await asyncio.sleep(0.2)
            await asyncio.sleep(0.1)


class Senders:
    """Processes with the clients that send many commands at once."""

    def __init__(self, gateway, record):
        count = MANY_AT_ONCE // PROCESSES
        script = os.path.join(HERE, "many_at_once.py")
        self.processes = [
            subprocess.Popen(
                [sys.executable, script]
                + [str(value) for value in (gateway.port, number * count, count, COMMANDS)],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
            )
            for number in range(PROCESSES)
        ]
        record(f"{PROCESSES} processes started for {MANY_AT_ONCE} clients")

    async def connected(self):
        lines = await asyncio.gather(
            *(asyncio.to_thread(process.stdout.readline) for process in self.processes)
        )
        if any(line != "connected\n" for line in lines):
            raise CannotRun("the clients that send many commands did not connect")

    def end(self):
        for process in self.processes:
            process.kill()
            process.wait()


async def case(record, resources):
    discovery = Discovery(record)
    await discovery.start()
    servers = [DatabaseServer(f"s{number}", record) for number in range(3)]
    servers[0].primary = True
    for server in servers:
        server.work_s = 0.09
        await server.start()
        await discovery.publish(server)
    gateway = Gateway(record, HERE, discovery, settings.register())
    resources.append(gateway)
    await gateway.start()
    usual = [Usual(number, gateway, record) for number in range(USUAL_CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in usual]
    await asyncio.sleep(QUIET_S)
    if sum(client.answers.get("ok", 0) for client in usual) < 50:
        raise CannotRun("the usual clients were not served before the disruption")
    if trouble():
        senders = Senders(gateway, record)
        resources.append(senders)
        await senders.connected()
        record(f"{MANY_AT_ONCE} clients send {COMMANDS} filings of 64 KiB at once", echo=True)
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end and gateway.exit_status() is None:
        await asyncio.sleep(0.05)
    status = gateway.exit_status()
    await asyncio.sleep(0.2)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    totals = {}
    for client in usual:
        for kind, count in client.answers.items():
            totals[kind] = totals.get(kind, 0) + count
    record(f"answers to the usual clients: {totals}", echo=True)
    if status is not None:
        with open(gateway.log, encoding="utf-8") as log:
            last = log.read().strip().splitlines()[-1]
        record(f"BROKEN: the gateway ended by itself, status {status}: {last}", echo=True)
        return BROKEN
    record("held: the gateway runs", echo=True)
    return HELD


run_case(HERE, case)
