"""Stand-ins for the cases of the second review: clients, database servers, discovery's agent.

Written from the operators' pages (PROTOCOL.md, DEPLOY.md, FLEET.md). Python's standard library
only. All addresses are loopback addresses and all ports are free ports.
"""

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import struct
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now():
    """Seconds of the monotonic clock; all judgements use it."""
    return time.monotonic()


START = now()
UNIX_MINUS_MONOTONIC = time.time() - time.monotonic()


def unix_ms(at):
    """Unix time in milliseconds of a reading of now(), rounded down."""
    return int((at + UNIX_MINUS_MONOTONIC) * 1000)


class CouldNotRun(Exception):
    """The case could not be run, which says nothing about the gateway."""


# ---------------------------------------------------------------- record


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, case_file):
        folder = pathlib.Path(case_file).resolve().parent
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.line(f"TROUBLE={1 if TROUBLE else 0}")

    def line(self, text, at=None):
        at = now() if at is None else at
        self.file.write(f"{at - START:9.3f} {text}\n")

    def say(self, text):
        print(text, flush=True)
        self.line(text)

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- messages of protocol v3


def message(kind, body):
    return kind + struct.pack("!i", len(body) + 4) + body


def status(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code, text, severity="ERROR"):
    body = b"S" + severity.encode() + b"\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0"
    return message(b"E", body)


READY = message(b"Z", b"I")
COLUMN = message(
    b"T", struct.pack("!h", 1) + b"content\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
)


def row(value):
    return message(b"D", struct.pack("!hi", 1, len(value)) + value)


def startup_message():
    body = struct.pack("!i", 196608) + b"user\0backend\0database\0store\0\0"
    return struct.pack("!i", len(body) + 4) + body


def query(text):
    return message(b"Q", text.encode() + b"\0")


STATEMENT = re.compile(rb"(SELECT content FROM kv WHERE name = '([^']*)'|INSERT INTO kv .*) /\* (.*) \*/$", re.S)
WRITE_KEY = re.compile(rb"INSERT INTO kv \(name, content\) VALUES \('([^']*)', '\\x([0-9a-f]*)'\)")


# ---------------------------------------------------------------- database servers


class Server:
    """One database server of a group.

    A primary stands at the present. A replica applies the log `lag` seconds late while `log_from`
    is None; otherwise its position stands still at that time. An answer carries mode, and the
    position where the settings tell it (`tells_position`), and the commit time for a write.
    """

    def __init__(self, record, name, cell, primary, zone="a", service=0.02, slots=20, lag=0.01,
                 tells_position=False, stats_in_answers=False, value_of=None, arrivals=None):
        self.record = record
        self.name, self.cell, self.zone = name, cell, zone
        self.primary = primary
        self.service, self.lag = service, lag
        self.slots = asyncio.Semaphore(slots)
        self.tells_position, self.stats_in_answers = tells_position, stats_in_answers
        self.value_of = value_of or (lambda key, rid: b"v")
        self.arrivals = arrivals if arrivals is not None else []
        self.up_since = 0
        self.phase = "active"
        self.hung = False
        self.draining = False
        self.stands_at = None
        self.server = None
        self.port = None
        self.connections = set()
        self.tasks = set()
        self.generation = 0

    # ---- life

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port or 0, backlog=512, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """The process dies: its connections are reset, new ones are refused."""
        self.generation += 1
        self.server.close()
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                except OSError:
                    pass
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def stop(self):
        if self.server is not None:
            self.crash()

    # ---- replication

    def position(self, at):
        if self.primary:
            return at
        return self.stands_at if self.stands_at is not None else at - self.lag

    def stands_still(self, at):
        """From now on this member gets no log, as its group has no primary."""
        self.stands_at = self.position(at)

    def stats(self):
        at = now()
        return f"x0={unix_ms(self.position(at)) / 1000:.3f},x1={1 if self.primary else 0}"

    def mode(self):
        return status("mode", "read-write" if self.primary else "read-only")

    # ---- connections

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            head = await reader.readexactly(4)
            await reader.readexactly(struct.unpack("!i", head)[0] - 4)
            writer.write(
                message(b"R", struct.pack("!i", 0)) + message(b"K", struct.pack("!ii", 1, 1)) + READY
            )
            while True:
                head = await reader.readexactly(5)
                body = await reader.readexactly(struct.unpack("!i", head[1:])[0] - 4)
                if head[:1] == b"X":
                    break
                if head[:1] != b"Q":
                    writer.write(error("08P01", "not served"))
                    break
                await self._query(body.rstrip(b"\0"), writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    async def _query(self, text, writer):
        received = now()
        while self.hung:
            await asyncio.sleep(0.01)
        if text in (b"SHOW stats", b"SELECT 1"):
            value = self.stats().encode() if text == b"SHOW stats" else b"1"
            writer.write(self.mode() + COLUMN + row(value) + message(b"C", b"SELECT 1\0") + READY)
            await writer.drain()
            return
        found = STATEMENT.match(text)
        if not found:
            self.record.line(f"{self.name} got a statement that no client sent: {text[:80]!r}")
            writer.write(error("08P01", "not served") + READY)
            return
        fields = dict(part.split(b"=", 1) for part in found.group(3).split(b","))
        rid = fields[b"id"].decode()
        write = text.startswith(b"INSERT")
        arrival = {
            "at": received, "id": rid, "server": self.name, "write": write,
            "primary": self.primary, "position": self.position(received),
            "class": fields[b"c"].decode(), "answered": None, "away": False,
        }
        self.arrivals.append(arrival)
        if self.draining:
            arrival["away"] = True
            self.record.line(f"{self.name} <- {rid}: draining, turned away")
            writer.write(self.mode() + error("53300", "draining") + READY)
            await writer.drain()
            return
        if write and not self.primary:
            self.record.line(f"{self.name} <- write {rid}: 25006")
            writer.write(self.mode() + error("25006", "read-only") + READY)
            await writer.drain()
            arrival["answered"] = now()
            return
        generation = self.generation
        async with self.slots:
            await asyncio.sleep(self.service(arrival) if callable(self.service) else self.service)
        while self.hung:
            await asyncio.sleep(0.01)
        if generation != self.generation:
            return
        at = now()
        out = self.mode()
        if write:
            key, hexes = WRITE_KEY.match(text).groups()
            out += status("wal_time", str(unix_ms(at) + 1))
            value, tag = bytes.fromhex(hexes.decode()), b"INSERT 0 1\0"
            self.record.line(f"{self.name} ran write {rid}")
        else:
            key = found.group(2)
            if self.tells_position:
                out += status("wal_time", str(unix_ms(self.position(at))))
            value, tag = self.value_of(key, rid), b"SELECT 1\0"
        if self.stats_in_answers:
            out += status("stats", self.stats())
        writer.write(out + COLUMN + row(value) + message(b"C", tag) + READY)
        await writer.drain()
        arrival["answered"] = now()


# ---------------------------------------------------------------- discovery


class Catalog:
    """The list that discovery has: entries, revision, and the changes since a revision."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.entries = {}
        self.changed = {}
        self.news = asyncio.Condition()

    def entry(self, server, phase="active", mode=None):
        entry = {
            "id": server.name, "host_port": f"{HOST}:{server.port}", "locality": server.zone,
            "flavor": "m", "cell": server.cell, "phase": phase, "size": 1.0,
            "up_since_ms": server.up_since,
        }
        if mode is not None:
            entry["mode"] = mode
        return entry

    async def publish(self, *entries):
        async with self.news:
            self.revision += 1
            for entry in entries:
                if entry["phase"] == "left":
                    self.entries.pop(entry["id"], None)
                else:
                    self.entries[entry["id"]] = entry
                self.changed[entry["id"]] = (self.revision, entry)
            self.record.line("list " + json.dumps(entries))
            self.news.notify_all()

    def full(self):
        return json.dumps(
            {"revision": self.revision, "complete": True, "members": list(self.entries.values())}
        )

    def since(self, revision):
        changes = [entry for at, entry in self.changed.values() if at > revision]
        return json.dumps({"revision": self.revision, "complete": False, "members": changes})


class Agent:
    """Discovery's agent on the machine of one gateway. It answers a watch with the entries that
    changed or, with `whole_lists`, with the whole list, as the protocol page allows."""

    def __init__(self, record, catalog, name, whole_lists=False):
        self.record, self.catalog, self.name = record, catalog, name
        self.whole_lists = whole_lists
        self.told = []
        self.server = None
        self.port = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                line = (await reader.readline()).decode()
                if not line:
                    break
                while (await reader.readline()).strip():
                    pass
                watch = re.search(r"since=(-?\d+)&timeout_ms=(\d+)", line)
                if watch:
                    body = await self._watch(int(watch.group(1)), int(watch.group(2)))
                else:
                    body = self.catalog.full()
                data = body.encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + str(len(data)).encode() + b"\r\n\r\n" + data
                )
                await writer.drain()
                self.told.append((now(), body))
                if '"members": []' not in body:
                    self.record.line(f"{self.name} told revision {self.catalog.revision}")
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _watch(self, since, timeout_ms):
        async with self.catalog.news:
            try:
                await asyncio.wait_for(
                    self.catalog.news.wait_for(lambda: self.catalog.revision > since),
                    min(timeout_ms, 60_000) / 1000,
                )
            except asyncio.TimeoutError:
                pass
        return self.catalog.full() if self.whole_lists else self.catalog.since(since)


# ---------------------------------------------------------------- gateways


def run_command():
    """The command of the deploy file that starts a gateway."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(r'^run = "(.*)"$', text, re.M)
    if not found:
        raise CouldNotRun("no run in deploy/balancer.toml")
    return found.group(1)


class Gateway:
    """One gateway as the platform runs it: the deploy file's run, with its configuration."""

    def __init__(self, record, name, agent, settings, known, sockets=1024, memory_mb=192):
        self.record, self.name = record, name
        self.folder = tempfile.TemporaryDirectory(prefix="case-")
        with socket.socket() as free:
            free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            free.bind((HOST, 0))
            self.port = free.getsockname()[1]
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{agent.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": settings,
        }
        self.config_file = pathlib.Path(self.folder.name) / "config.json"
        self.config_file.write_text(json.dumps(self.config), encoding="utf-8")
        self.process = None
        self.exit_status = None
        self.log = None

    async def start(self):
        environment = dict(os.environ)
        environment.update(
            NODE_CONFIG=str(self.config_file), NODE_NAME=self.name, TMPDIR=self.folder.name,
            NODE_LISTEN=self.config["listen"], NODE_DISCOVERY=self.config["discovery"],
        )
        self.log = open(pathlib.Path(self.folder.name) / "log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log,
        )
        deadline = now() + 30
        while now() < deadline:
            if self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} ended at its start: {self.log_text()[-400:]}")
            if await self._ready():
                self.record.line(f"{self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} not ready within 30 s: {self.log_text()[-400:]}")

    async def _ready(self):
        try:
            client = await Client.connect(self.port)
        except OSError:
            return False
        try:
            answer = await asyncio.wait_for(client.ask(query("")), 2)
            return answer.kind == "empty"
        except (asyncio.TimeoutError, OSError, EOFError):
            return False
        finally:
            client.close()

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def log_text(self):
        try:
            path = pathlib.Path(self.folder.name) / "log"
            return path.read_text(encoding="utf-8", errors="replace")
        except OSError:
            return ""

    async def stop(self):
        if self.running():
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
        if self.log is not None:
            for text in self.log_text().splitlines()[-60:]:
                self.record.line(f"{self.name} log: {text}")
            self.log.close()
        self.folder.cleanup()


# ---------------------------------------------------------------- clients


class Answer:
    """One final answer: kind is served, refused, failed, empty."""

    def __init__(self, kind, code=None, value=None):
        self.kind, self.code, self.value, self.at = kind, code, value, now()


class Client:
    """A connection of a client. Answers arrive in the order of the commands."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(port):
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(reader, writer)
        writer.write(startup_message())
        try:
            kind = None
            while kind != b"Z":
                kind, _ = await asyncio.wait_for(client._message(), 5)
        except (EOFError, asyncio.TimeoutError) as e:
            client.close()
            raise OSError("no welcome") from e
        return client

    async def _message(self):
        try:
            head = await self.reader.readexactly(5)
            body = await self.reader.readexactly(struct.unpack("!i", head[1:])[0] - 4)
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            raise EOFError("connection ended") from e
        return head[:1], body

    def send(self, data):
        self.writer.write(data)

    async def answer(self):
        """Reads the next answer, up to ReadyForQuery or a fatal error."""
        result = None
        value = None
        while True:
            kind, body = await self._message()
            if kind == b"D":
                value = body[6:]
            elif kind == b"C":
                result = Answer("served", None, value)
            elif kind == b"I":
                result = Answer("empty")
            elif kind == b"E":
                fields = {part[:1]: part[1:] for part in body.split(b"\0") if part}
                code = fields.get(b"C", b"").decode()
                result = Answer("refused" if code in ("53300", "57P03") else "failed", code)
                if fields.get(b"S") == b"FATAL":
                    return result
            elif kind == b"Z":
                if result is None:
                    raise EOFError("ReadyForQuery without an answer")
                return result

    async def ask(self, data):
        self.send(data)
        return await self.answer()

    def close(self):
        self.writer.close()


def read_text(key, rid, cls, wait_ms, cell, tenant="acme", after=None):
    tail = "" if after is None else f",after={after}"
    return (f"SELECT content FROM kv WHERE name = '{key}' "
            f"/* id={rid},c={cls},t={tenant},d={wait_ms},cluster={cell}{tail} */")


def write_text(key, value, rid, cls, wait_ms, cell, tenant="acme"):
    return (f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value.hex()}') RETURNING content "
            f"/* id={rid},c={cls},t={tenant},d={wait_ms},cluster={cell} */")


_ids = 0


def new_id():
    global _ids
    _ids += 1
    return f"{os.getpid():08x}{_ids:08x}"


# ---------------------------------------------------------------- settings and the run of a case


def settings(classes, **changes):
    """Settings as the configuration file has them.

    classes: (name, freshness, bound_us, effect, target_us, deadline_us, more) for each class.
    """
    result = {
        "nInstances": 1, "me": 0, "myZone": 0, "zones": ["a", "b"], "discovery": "pushed",
        "tenants": [{"name": "acme"}],
        "categories": [
            dict({"name": c[0], "effect": c[3], "target": c[4], "deadline": c[5], "worth": 3.0,
                  "lateWorth": 0.2, "stream": False}, **c[6])
            for c in classes
        ],
        "familyInfo": {"freshness": [c[1] for c in classes], "lagAllowed": [c[2] for c in classes],
                       "tokenMode": "remembered", "checks": "none", "listRole": "none",
                       "progressTold": False},
        "bounds": {"tryLimit": 10, "cancel": True, "mayProbe": True, "mayTell": False,
                   "parallelTries": True, "retryAfter": True, "maxRetryAfter": 500000,
                   "idleClose": 30000000, "connectTimeout": 250000},
        "invariants": {"mustAskIn": 10000000, "stopSendingWithin": 2000000, "coldFrom": 0.29,
                       "cold": 17000000, "fallMultiple": 2.0, "fall": 1000000,
                       "graceToAnswer": 20000},
        "report": {"source": "probe", "columns": ["x0", "x1"]},
    }
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key].update(value)
        else:
            result[key] = value
    return result


def run_case(case_file, main):
    """Runs `await main(record, started)`, stops all that `started` holds, exits with its verdict."""

    async def whole():
        record = Record(case_file)
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: record.line(f"stand-in: {context.get('exception')!r}")
        )
        started = []
        verdict = COULD_NOT_RUN
        try:
            verdict = await asyncio.wait_for(main(record, started), 108)
        except CouldNotRun as e:
            record.say(f"could not run: {e}")
        except asyncio.TimeoutError:
            record.say("could not run: the case took too long")
        except Exception as e:  # a fault of the script says nothing about the gateway
            record.say(f"could not run: {e!r}")
        finally:
            for one in reversed(started):
                try:
                    await asyncio.wait_for(one.stop(), 5)
                except (OSError, asyncio.TimeoutError) as e:
                    record.line(f"stop: {e!r}")
            word = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[verdict]
            record.say(f"rule {word}, exit {verdict}")
            record.close()
        return verdict

    # run.sh maps these to its own exit status, so that a crash of the interpreter, whose status is
    # 1, is not taken for a broken rule.
    sys.exit({HELD: 0, BROKEN: 11}.get(asyncio.run(whole()), 2))
