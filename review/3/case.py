"""Clients send much at once and go; what is begun for them later than the page allows is counted."""

import asyncio
import math
import os
import random
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
    query,
    read_statement,
    run_case,
    trouble,
    write_statement,
)

LEAVING_CLIENTS = 12
COMMANDS = 200
VALUE = "ab" * 4_000
PAUSE_S = 3.3  # the longest deadline and more, so that one client's requests do not meet the next one's
WORK_S, WORK_CV = 0.12, 1.1  # inspection-filing: 69 to 120 ms of work, cv 0.64 to 1.1, lognormal

GONE_S = 0.1  # "An attempt that begins more than 0.1 s after the close is a break"
SLACK_S = 0.05  # "every time limit is 50 ms longer"
BREAK_FROM = 3  # "a break from the third on"


class BusyServer(DatabaseServer):
    """Works on requests side by side, for a lognormal time drawn by a seed."""

    def __init__(self, name, record, seed):
        super().__init__(name, record)
        self.random = random.Random(seed)

    async def serve(self, request):
        sigma = math.sqrt(math.log(1 + WORK_CV**2))
        self.work_s = self.random.lognormvariate(math.log(WORK_S) - sigma**2 / 2, sigma)
        return await super().serve(request)


def filing(request, key, value):
    fields = f"id={request},c=inspection-filing,t=acme,d=3000,cluster=1"
    return query(write_statement(key, value, fields))


def commands_of(number):
    return b"".join(filing(f"g{number}x{i}", f"gone{number}", VALUE) for i in range(COMMANDS))


async def usual_client(number, gateway, record, answers):
    client = Client(gateway)
    await client.connect()
    for asked in range(1, 100_000):
        request = f"u{number}x{asked}"
        fields = f"id={request},c=register-lookup,t=acme,d=2000,cluster=1"
        answer = await client.ask(read_statement(f"session{number}", fields))
        record(f"answered {request}: {answer}")
        answers[answer.kind] = answers.get(answer.kind, 0) + 1
        await asyncio.sleep(0.2)


async def send_and_go(number, gateway, record):
    """Sends its commands at once; returns when it closed its connection, without waiting for answers."""
    client = Client(gateway)
    await client.connect()
    client.writer.write(commands_of(number))
    try:
        await client.writer.drain()
        client.close()
        await client.writer.wait_closed()
    except OSError as problem:
        record(f"client g{number}: {problem!r}")
    closed = time.monotonic()
    record(f"client g{number} sent {COMMANDS} filings and closed its connection")
    return closed


async def send_and_stay(number, gateway, record):
    """The same without the disruption: sends its commands at once, and goes after the last answer."""
    client = Client(gateway)
    await client.connect()
    client.writer.write(commands_of(number))
    for _ in range(COMMANDS):
        answer = await client.answer()
        if answer.kind == "closed":
            raise CannotRun(f"client g{number} was closed")
    client.close()
    await client.writer.wait_closed()
    record(f"client g{number} got {COMMANDS} answers and closed its connection")
    return time.monotonic()


async def case(record, resources):
    discovery = Discovery(record)
    await discovery.start()
    servers = [BusyServer(f"s{number}", record, number) for number in range(3)]
    servers[0].primary = True
    for server in servers:
        await server.start()
        await discovery.publish(server)
    gateway = Gateway(record, HERE, discovery, settings.register())
    resources.append(gateway)
    await gateway.start()
    answers = {}
    tasks = [
        asyncio.create_task(usual_client(number, gateway, record, answers)) for number in range(10)
    ]
    await asyncio.sleep(3)
    if answers.get("ok", 0) < 50:
        raise CannotRun("the usual clients were not served before the disruption")
    closes = {}
    for number in range(LEAVING_CLIENTS):
        if trouble():
            closes[f"g{number}x"] = await send_and_go(number, gateway, record)
            await asyncio.sleep(PAUSE_S)
        else:
            closes[f"g{number}x"] = await send_and_stay(number, gateway, record)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    late = []
    for server in servers:
        for request in server.requests:
            name = request.fields["id"]
            closed = closes.get(name[: name.index("x") + 1])
            if closed is None:
                continue
            after = request.first_byte - closed
            record(f"{server.name} got {name} {after:+.3f} s after the close of its connection")
            if after > GONE_S + SLACK_S:
                late.append((after, name, server.name))
    for after, name, server in sorted(late):
        record(f"BREAK: {server} got filing {name} {after:.3f} s after its client closed", echo=True)
    record(f"{len(late)} attempts for clients that had gone; answers to others: {answers}", echo=True)
    return BROKEN if len(late) >= BREAK_FROM else HELD


run_case(HERE, case)
