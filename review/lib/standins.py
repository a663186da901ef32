"""Stand-ins for the cases of this review: clients, database servers, discovery and the platform.

Everything runs on loopback addresses and the real clock. Only the standard library is used.
"""

import asyncio
import json
import os
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 112


class CannotRun(Exception):
    """The case could not be run; says nothing about the rule."""


def trouble():
    """Whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text, echo=False):
        line = f"{time.monotonic() - self.start:9.4f} {text}"
        self.file.write(line + "\n")
        if echo:
            print(line, flush=True)

    def close(self):
        self.file.close()


# ---- PostgreSQL protocol v3


def message(kind, body=b""):
    return kind + struct.pack("!i", 4 + len(body)) + body


def text(value):
    return value.encode() + b"\0"


def ready_for_query():
    return message(b"Z", b"I")


def parameter(name, value):
    return message(b"S", text(name) + text(value))


def error(sqlstate, detail):
    return message(b"E", b"SERROR\0C" + text(sqlstate) + b"M" + text(detail) + b"\0")


def row(value, tag):
    attributes = struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", struct.pack("!h", 1) + text("content") + attributes)
        + message(b"D", struct.pack("!hi", 1, len(value)) + value)
        + message(b"C", text(tag))
    )


def startup():
    body = struct.pack("!i", 3 << 16) + text("user") + text("backend") + text("database")
    body += text("store") + b"\0"
    return struct.pack("!i", 4 + len(body)) + body


def query(sql):
    return message(b"Q", text(sql))


def read_statement(key, fields):
    return f"SELECT content FROM kv WHERE name = '{key}' /* {fields} */"


def write_statement(key, value_hex, fields):
    return (
        f"INSERT INTO kv (name, content) VALUES ('{key}', '\\x{value_hex}')"
        f" RETURNING content /* {fields} */"
    )


async def read_message(reader):
    """Reads one typed message; returns its type and body."""
    head = await reader.readexactly(5)
    length = struct.unpack("!i", head[1:])[0]
    return head[:1], await reader.readexactly(length - 4)


def sqlstate_of(body):
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return ""


def fields_of(sql):
    comment = sql[sql.rindex("/* ") + 3 : sql.rindex(" */")]
    return dict(pair.split("=", 1) for pair in comment.split(","))


# ---- Database servers


class Request:
    """A statement as a database server received it."""

    def __init__(self, server, connection, sql, first_byte, last_byte):
        self.server = server
        self.connection = connection
        self.sql = sql
        self.first_byte = first_byte
        self.last_byte = last_byte
        self.fields = fields_of(sql) if "/* " in sql else {}
        self.is_write = sql.startswith("INSERT")
        self.key = sql.split("'")[1] if "'" in sql else ""


class DatabaseServer:
    """A sound database server; a case overrides serve() to script what it holds and how it answers."""

    def __init__(self, name, record, host="127.0.0.1"):
        self.name = name
        self.record = record
        self.host = host
        self.port = 0
        self.primary = False
        self.work_s = 0.02
        self.connections = 0
        self.requests = []
        self.open_writers = set()
        self.listener = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(self._accept, self.host, self.port, limit=1 << 20)
        self.port = self.listener.sockets[0].getsockname()[1]

    def kill(self):
        """Ends the process: resets its connections and refuses new ones."""
        self.listener.close()
        for writer in list(self.open_writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and writer.transport is not None:
                writer.transport.abort()
        self.record(f"{self.name} killed")

    def position_ms(self):
        """The time up to which this server has applied all commits, as Unix time."""
        return int(time.time() * 1000)

    def state(self):
        mode = "read-write" if self.primary else "read-only"
        return parameter("mode", mode) + parameter("wal_time", str(self.position_ms()))

    def stats(self):
        return f"x0={self.position_ms() / 1000:.3f},x1={1 if self.primary else 0}"

    async def _accept(self, reader, writer):
        self.connections += 1
        number = self.connections
        self.open_writers.add(writer)
        try:
            size = struct.unpack("!i", await reader.readexactly(4))[0]
            await reader.readexactly(size - 4)
            writer.write(message(b"R", struct.pack("!i", 0)) + ready_for_query())
            while True:
                kind = await reader.readexactly(1)
                first = time.monotonic()
                size = struct.unpack("!i", await reader.readexactly(4))[0]
                body = await reader.readexactly(size - 4)
                if kind != b"Q":
                    return
                sql = body[:-1].decode("ascii")
                await self._answer(
                    writer, Request(self, number, sql, first, time.monotonic())
                )
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_writers.discard(writer)
            writer.close()

    async def _answer(self, writer, request):
        if request.sql == "SHOW stats":
            answer = row(self.stats().encode(), "SHOW") + self.state() + ready_for_query()
        elif request.sql == "SELECT 1":
            answer = row(b"1", "SELECT 1") + self.state() + ready_for_query()
        else:
            self.requests.append(request)
            answer = await self.serve(request)
        if answer is not None:
            writer.write(answer)
            await writer.drain()

    async def serve(self, request):
        """Returns the answer to a read or write; None for none."""
        await asyncio.sleep(self.work_s)
        if request.is_write and not self.primary:
            return error("25006", "read-only") + self.state() + ready_for_query()
        value = f"{self.name}:{request.fields['id']}".encode()
        tag = "INSERT 0 1" if request.is_write else "SELECT 1"
        return row(value, tag) + self.state() + ready_for_query()


# ---- Discovery


class Discovery:
    """The agent on a gateway's machine: serves the list and watches over HTTP/1.1.

    With whole_lists a watch is answered with the whole list, otherwise with the changed entries.
    """

    def __init__(self, record, host="127.0.0.1"):
        self.record = record
        self.host = host
        self.port = 0
        self.revision = 0
        self.members = {}
        self.changed = asyncio.Condition()
        self.whole_lists = False
        self.changes = []
        self.told = []

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(self._accept, self.host, 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def publish(self, server, **changes):
        """Publishes a new state of one server; further fields replace those of its entry."""
        entry = self.members.setdefault(
            server.name,
            {
                "id": server.name,
                "host_port": server.address,
                "locality": "a",
                "flavor": "std",
                "cell": 1,
                "phase": "active",
                "size": 1.0,
                "up_since_ms": 0,
            },
        )
        entry.update(changes)
        self.revision += 1
        self.changes.append((self.revision, dict(entry)))
        self.record(f"discovery revision={self.revision} has {json.dumps(entry)}")
        async with self.changed:
            self.changed.notify_all()

    def _document(self, since):
        if since is None or self.whole_lists:
            members, complete = list(self.members.values()), True
        else:
            newer = {entry["id"]: entry for number, entry in self.changes if number > since}
            members, complete = list(newer.values()), False
        return json.dumps({"revision": self.revision, "complete": complete, "members": members})

    async def _accept(self, reader, writer):
        try:
            while True:
                line = (await reader.readline()).decode()
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                if not line:
                    return
                path = line.split(" ")[1]
                since = None
                if "?" in path:
                    pairs = dict(p.split("=") for p in path.split("?")[1].split("&"))
                    since = int(pairs["since"])
                    wait = int(pairs["timeout_ms"]) / 1000
                    async with self.changed:
                        try:
                            await asyncio.wait_for(
                                self.changed.wait_for(lambda: self.revision > since), wait
                            )
                        except asyncio.TimeoutError:
                            pass
                body = self._document(since).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                    + str(len(body)).encode()
                    + b"\r\n\r\n"
                    + body
                )
                await writer.drain()
                self.told.append((self.revision, time.monotonic()))
                if since is None or since < self.revision:
                    self.record(f"discovery told the gateway revision={self.revision}")
        except (ConnectionError, asyncio.CancelledError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# ---- The gateway, started as the platform does


class Gateway:
    """One gateway process, started by `run` of the deploy file."""

    def __init__(self, record, folder, discovery, settings, name="n0", sockets=1024):
        self.record = record
        self.folder = folder
        self.name = name
        self.port = free_port()
        self.tmp = tempfile.mkdtemp(prefix="review-")
        self.config_path = os.path.join(self.tmp, "config.json")
        config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": {"revision": 0, "complete": True, "members": []},
            "settings": settings,
        }
        with open(self.config_path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        if not os.path.exists(os.path.join(ROOT, "gateway", "target", "weldcross.jar")):
            raise CannotRun("gateway/target/weldcross.jar is missing: run the build first")
        run_tmp = os.path.join(self.tmp, "tmp")
        os.mkdir(run_tmp)
        environment = dict(os.environ, NODE_CONFIG=self.config_path, TMPDIR=run_tmp)
        self.log = os.path.join(self.folder, f"gateway-{self.name}.log")
        log = open(self.log, "w", encoding="utf-8")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        log.close()
        self.record(f"gateway {self.name} started")
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"the gateway ended at its start: {self.process.returncode}")
            if await self._answers_empty_query():
                self.record(f"gateway {self.name} is ready", echo=True)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the gateway was not ready within 30 s")

    async def _answers_empty_query(self):
        try:
            client = Client(self)
            await client.connect()
        except (OSError, asyncio.IncompleteReadError):
            return False
        try:
            client.writer.write(query(""))
            kind, _ = await asyncio.wait_for(read_message(client.reader), 1)
            return kind == b"I"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            client.close()

    def signal(self, number):
        os.kill(self.process.pid, number)
        self.record(f"gateway {self.name} gets {signal.Signals(number).name}")

    def exit_status(self):
        """Returns the exit status, or None while it runs."""
        return self.process.poll()

    def end(self):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


def free_port():
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---- Clients


class Answer:
    def __init__(self, kind, sqlstate="", value=b""):
        self.kind = kind  # ok, refused, failed, closed
        self.sqlstate = sqlstate
        self.value = value

    def __str__(self):
        return self.kind + (f" {self.sqlstate}" if self.sqlstate else "")


class Client:
    """A client connection."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.gateway.port, limit=1 << 20
        )
        self.writer.write(startup())
        kind = b""
        while kind != b"Z":
            kind, body = await asyncio.wait_for(read_message(self.reader), 5)
            if kind == b"E":
                raise ConnectionError(sqlstate_of(body))

    async def ask(self, sql):
        """Sends one statement and waits for its final answer."""
        self.writer.write(query(sql))
        return await self.answer()

    async def answer(self):
        answer = Answer("closed")
        try:
            while True:
                kind, body = await read_message(self.reader)
                if kind == b"D":
                    answer = Answer("ok", value=body[6:])
                elif kind == b"E":
                    code = sqlstate_of(body)
                    answer = Answer("refused" if code in ("53300", "57P03") else "failed", code)
                    if b"SFATAL" in body:
                        return answer
                elif kind == b"Z":
                    return answer
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answer("closed")

    def close(self):
        if self.writer is not None:
            self.writer.close()


# ---- Running a case


def run_case(folder, case):
    """Runs a case; ends with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    status = NOT_RUN

    async def guarded():
        resources = []
        try:
            return await asyncio.wait_for(case(record, resources), TIME_LIMIT_S)
        finally:
            for resource in resources:
                resource.end()

    try:
        status = asyncio.run(guarded())
    except Exception as problem:  # whatever it is, it says nothing about the rule
        record(f"could not run: {problem!r}", echo=True)
    record(f"exit status {status}", echo=True)
    record.close()
    sys.exit(status)
