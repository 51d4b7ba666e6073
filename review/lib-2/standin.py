"""Stand-ins for clients, members and discovery, and the start of router processes, for the cases 6 to 10.

Everything listens on loopback addresses at ports that the system picks. Members and the agent do what the operators' protocol page says;
a case overrides single steps. Times are seconds of the monotonic clock."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
DESCRIPTION = b"\0\1v\0" + struct.pack(">IHIhih", 0, 0, 17, -1, -1, 1)
FIELD = re.compile(r"([a-z]+)=([^, ]+)")


def now():
    return time.monotonic()


def unix_ms():
    return int(time.time() * 1000)


def message(kind, body=b""):
    return kind + struct.pack(">I", len(body) + 4) + body


def row(value):
    return (message(b"T", DESCRIPTION) + message(b"D", struct.pack(">HI", 1, len(value)) + value)
            + message(b"C", b"SELECT 1\0"))


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def error(code, text="stand-in"):
    return message(b"E", b"SERROR\0C" + code.encode() + b"\0M" + text.encode() + b"\0\0")


READY = message(b"Z", b"I")
GREETING = message(b"R", b"\0\0\0\0") + READY
STARTUP = struct.pack(">II", 4 + 4 + len(b"user\0svc\0database\0main\0\0"), 196608) + b"user\0svc\0database\0main\0\0"


class Record:
    """The file of what was sent, answered and run."""

    def __init__(self, folder):
        self.begun, self.file = now(), open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        self.file.write("%9.3f %s\n" % (now() - self.begun, text))
        self.file.flush()


async def read_message(reader):
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack(">I", head[1:])[0] - 4)


def fields(statement):
    comment = statement[statement.rindex("/*"):]
    return dict(FIELD.findall(comment))


class Member:
    """A member of a set. `role` is primary or replica; `reply` is a coroutine that may answer a command in place of the usual way."""

    def __init__(self, name, role="replica", cell=0, work=0.005, record=None, zone="z"):
        self.name, self.role, self.cell, self.work, self.record = name, role, cell, work, record
        self.zone, self.state, self.started_ms, self.reply, self.probe = zone, "ready", 0, None, None
        self.received, self.connections, self.tells_position = [], set(), False

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, address, port, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def entry(self):
        entry = {"id": self.name, "addr": self.address, "zone": self.zone, "kind": "std", "cell": self.cell,
                 "state": self.state, "weight": 1.0, "started_ms": self.started_ms, "role": self.role}
        return entry

    def position_ms(self):
        return unix_ms() - (0 if self.role == "primary" else 5)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            size = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(size - 4)
            writer.write(GREETING)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    break
                await self.handle(body[:-1].decode(), writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, statement, writer):
        if statement in ("SHOW load", "SELECT 1"):
            if self.probe:
                return await self.probe(self, statement, writer)
            x0 = self.position_ms() / 1000
            writer.write(row(b"x0=%.3f,x1=%d" % (x0, self.role == "primary")) + READY)
            return
        said = fields(statement)
        self.received.append((now(), said["id"], statement))
        if self.record:
            self.record("member %s (%s, %s) got id=%s c=%s d=%s" % (
                self.name, self.role, self.state, said["id"], said["c"], said["d"]))
        if self.reply:
            return await self.reply(self, statement, said, writer)
        await self.usual(statement, said, writer)

    async def usual(self, statement, said, writer):
        if statement.startswith("INSERT") and self.role != "primary":
            writer.write(parameter("role", self.role) + error("25006") + READY)
            return
        if self.work:
            await asyncio.sleep(self.work)
        answer = parameter("role", self.role)
        if self.tells_position or statement.startswith("INSERT"):
            answer += parameter("applied_ms", str(self.position_ms()))
        writer.write(answer + row(said["id"].encode()) + READY)


class Agent:
    """The discovery agent of one router: lists, watches and empty lines. `delay` is a function of the watch's number that gives the seconds
    between its head and its first line."""

    def __init__(self, members, record=None):
        self.members, self.version, self.record, self.watches, self.opened = members, 41, record, [], 0
        self.delay, self.head_delay, self.changed = (lambda number: 0), (lambda number: 0), asyncio.Event()

    async def start(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, address, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def list(self):
        return {"version": self.version, "full": True, "servers": [m.entry() for m in self.members]}

    def change(self):
        self.version += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader, writer):
        self.opened += 1
        number = self.opened
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            began = now()
            path = head.split()[1].decode()
            if self.record:
                self.record("agent: watch %d asked: %s" % (number, path))
            if self.head_delay(number):
                await self.pause(reader, self.head_delay(number))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            if self.delay(number):
                await self.pause(reader, self.delay(number))
            told = None
            while True:
                changed = self.changed
                if told != self.version:
                    told = self.version
                    self.chunk(writer, json.dumps(self.list()).encode() + b"\n")
                    await writer.drain()
                    if self.record:
                        self.record("agent: list %d written on watch %d, %.3f s after it was asked for"
                                    % (told, number, now() - began))
                try:
                    await asyncio.wait_for(changed.wait(), 2)
                except asyncio.TimeoutError:
                    self.chunk(writer, b"\n")
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            if self.record:
                self.record("agent: watch %d was closed by the router" % number)
        finally:
            writer.close()

    async def pause(self, reader, seconds):
        try:
            if await asyncio.wait_for(reader.read(1), seconds) == b"":
                raise ConnectionError
        except asyncio.TimeoutError:
            pass

    def chunk(self, writer, data):
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Router:
    """A router process, started by the run line of the deploy file."""

    def __init__(self, settings, agent_address, known=None, name="n0", sockets=1024, memory_mb=192, env=None):
        self.settings, self.agent_address, self.known, self.name = settings, agent_address, known, name
        self.sockets, self.memory_mb, self.env = sockets, memory_mb, env or {}
        self.folder = tempfile.mkdtemp(prefix="vetchkeel-review-")
        self.config, self.process = os.path.join(self.folder, "config.json"), None
        self.address, self.port = "127.0.0.1", free_port()

    def configure(self):
        config = {"name": self.name, "listen": "%s:%d" % (self.address, self.port), "discovery": self.agent_address,
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
                  "known": self.known, "settings": self.settings}
        with open(self.config + ".new", "w") as file:
            json.dump(config, file)
        os.replace(self.config + ".new", self.config)

    async def start(self, wait=True):
        self.configure()
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        environment = {**os.environ, "NODE_CONFIG": self.config, "TMPDIR": self.folder, **self.env}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_line(), cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        if wait:
            await self.ready()
        return self

    async def ready(self, limit=30):
        until = now() + limit
        while now() < until:
            try:
                client = await Client(self).open()
                if await client.ask("") == ("empty", None, None):
                    await client.close()
                    return
                await client.close()
            except (OSError, EOFError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CannotRun("the router is not ready after %d s" % limit)

    def signal(self, number):
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self):
        return open(os.path.join(self.folder, "log.txt"), errors="replace").read()


class CannotRun(Exception):
    pass


class Client:
    def __init__(self, router):
        self.router = router

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.router.address, self.router.port)
        self.writer.write(STARTUP)
        while (await read_message(self.reader))[0] != b"Z":
            pass
        return self

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def answer(self):
        """The kind of the answer (row, error, empty), its SQLSTATE and its value."""
        kind, code, value = None, None, None
        while True:
            found, body = await read_message(self.reader)
            if found == b"D":
                kind, value = "row", body[6:]
            elif found == b"I":
                kind = "empty"
            elif found == b"E":
                kind = "error"
                parts = dict((part[:1], part[1:]) for part in body.split(b"\0") if part)
                code = parts[b"C"].decode()
                if parts.get(b"S") == b"FATAL":
                    return kind, code, value
            elif found == b"Z":
                return kind, code, value

    async def ask(self, statement):
        self.send(statement)
        return await self.answer()

    async def close(self):
        self.writer.close()


def outcome(answer):
    kind, code, _ = answer
    if kind == "row":
        return "answered"
    return "throttled" if code in ("53300", "57P03") else "failed"


def free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


def run_line():
    for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
        if line.startswith("run"):
            return re.match(r'run\s*=\s*"([^"]*)"', line).group(1)
    raise CannotRun("the deploy file has no run line")


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, limit=110):
    """Runs a case: it returns a list of the ways in which the rule was broken. Ends with 0, 1 or 2."""
    record = Record(folder)
    routers = []

    async def run():
        try:
            return await asyncio.wait_for(case(record, routers), limit)
        finally:
            for router in routers:
                await router.end()

    try:
        broken = asyncio.run(run())
    except CannotRun as why:
        record("the case could not run: %s" % why)
        print("could not run: %s" % why)
        os._exit(2)
    except asyncio.TimeoutError:
        record("the case took longer than %d s" % limit)
        os._exit(2)
    except Exception as why:
        # Anything else is a fault of the script, or a router that has ended: neither is what the case looks for.
        record("the case could not run: %r" % why)
        print("could not run: %r" % why)
        os._exit(2)
    for line in broken:
        record("BROKEN: " + line)
    result = "broken: %s" % broken[0] if broken else "the rule held"
    record("result: " + result)
    print(result)
    sys.stdout.flush()
    os._exit(1 if broken else 0)
