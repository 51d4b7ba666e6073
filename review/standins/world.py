"""Stand-ins for the review's cases: members of database sets, discovery, clients, and the start of a router.

Everything runs in one asyncio loop on loopback addresses and on the real clock. What happens is written to
`record.txt`, one line an event, with the time in ms since the start of the case. The stand-ins follow the protocol
page; where it is silent they behave like sound servers, clients and a sound platform.
"""

import asyncio
import json
import os
import re
import resource
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
T0 = time.monotonic()
UNIX0 = time.time()
COMMENT = re.compile(r"/\*(.*?)\*/", re.S)


def now():
    """Seconds since the start of the case."""
    return time.monotonic() - T0


def unix_ms(at=None):
    """Unix time in ms; one clock for all machines."""
    return (UNIX0 + (now() if at is None else at)) * 1000.0


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{now() * 1000:10.1f} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


def message(kind, body=b""):
    return kind + struct.pack("!I", len(body) + 4) + body


def text(value):
    return value.encode() + b"\0"


def row(value):
    """RowDescription, DataRow and CommandComplete of one binary column."""
    column = text("v") + struct.pack("!IhIhih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", struct.pack("!h", 1) + column)
        + message(b"D", struct.pack("!hI", 1, len(value)) + value)
        + message(b"C", text("SELECT 1"))
    )


def error(code, why):
    return message(b"E", b"S" + text("ERROR") + b"C" + text(code) + b"M" + text(why) + b"\0")


def parameter(name, value):
    return message(b"S", text(name) + text(value))


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!I", 0)) + message(b"K", struct.pack("!II", 1, 1)) + READY


def free_address():
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    address = s.getsockname()
    s.close()
    return "127.0.0.1:%d" % address[1]


def host_port(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def comment(statement):
    found = COMMENT.findall(statement)
    pairs = (piece.split("=", 1) for piece in found[-1].split(",")) if found else ()
    return {pair[0].strip(): pair[1].strip() for pair in pairs if len(pair) == 2}


class Member:
    """One database server. `serve(member, command)` says what a command comes to: a coroutine that returns the bytes
    of the answer, or None to answer nothing."""

    def __init__(self, ident, cell, record, serve, primary=False):
        self.ident, self.cell, self.record, self.serve = ident, cell, record, serve
        self.primary, self.state, self.started = primary, "ready", 0
        self.address = None
        self.server = None
        self.hangs = False
        self.streams = set()
        self.position = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=1024, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def entry(self, role=True):
        found = {
            "id": self.ident,
            "addr": self.address,
            "zone": "room",
            "kind": "std-4",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started,
        }
        if role:
            found["role"] = "primary" if self.primary else "replica"
        return found

    def applied(self):
        """The position, in Unix ms: of a primary the present."""
        if self.primary or self.position is None:
            return unix_ms()
        return self.position

    def notes(self):
        return parameter("role", "primary" if self.primary else "replica")

    async def accept(self, reader, writer):
        self.streams.add(writer)
        try:
            await self.talk(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()

    async def talk(self, reader, writer):
        while True:
            size = struct.unpack("!I", await reader.readexactly(4))[0]
            version = struct.unpack("!I", (await reader.readexactly(size - 4))[:4])[0]
            if version in (80877103, 80877104):
                writer.write(b"N")
                continue
            break
        writer.write(WELCOME)
        while True:
            kind = await reader.readexactly(1)
            size = struct.unpack("!I", await reader.readexactly(4))[0]
            body = await reader.readexactly(size - 4)
            if kind == b"X":
                return
            if kind != b"Q":
                self.record(f"member {self.ident}: unexpected message {kind}")
                return
            statement = body[:-1].decode()
            while self.hangs:
                await asyncio.sleep(0.01)
            if statement == "SHOW load":
                load = "x0=%.3f,x1=%d" % (self.applied() / 1000.0, self.primary)
                writer.write(row(load.encode()) + self.notes() + READY)
                continue
            if statement == "SELECT 1":
                writer.write(row(b"1") + self.notes() + READY)
                continue
            said = comment(statement)
            said["statement"] = statement
            self.record(f"member {self.ident} gets {said.get('id')} c={said.get('c')} d={said.get('d')}")
            answer = await self.serve(self, said)
            if answer is None:
                # Nothing comes back until the router gives the connection up.
                await reader.read()
                return
            writer.write(answer)
            await writer.drain()


class Discovery:
    """`GET /api/targets?stream=1&index=N`: the whole list, or the changes since version N, then changes, an empty
    line every 2 s. `delay` is how long a call waits in turn before it is answered."""

    def __init__(self, record, members, delay=0.0):
        self.record, self.members, self.delay = record, members, delay
        self.version = 1
        self.changes = []
        self.watchers = set()
        self.server = None
        self.address = None
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=256)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def whole(self):
        servers = [m.entry() for m in self.members if m.state != "gone"]
        return {"version": self.version, "full": True, "servers": servers}

    def change(self, members):
        """Tells a change of these members to all watches."""
        self.version += 1
        value = {"version": self.version, "full": False, "servers": [m.entry() for m in members]}
        self.changes.append(value)
        for writer in list(self.watchers):
            self.write(writer, value)

    def write(self, writer, value):
        line = (json.dumps(value) if value is not None else "").encode() + b"\n"
        try:
            writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        except ConnectionError:
            pass

    async def accept(self, reader, writer):
        self.calls += 1
        number = self.calls
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.record(f"discovery: call {number}: {head.splitlines()[0]}")
            if self.delay:
                try:
                    await asyncio.wait_for(reader.read(1), self.delay)
                    self.record(f"discovery: call {number} was closed by the router before its turn")
                    return
                except asyncio.TimeoutError:
                    pass
            since = int(re.search(r"index=(\d+)", head).group(1))
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self.record(f"discovery: call {number} is answered with version {self.version}")
            if since == 0 or since > self.version:
                self.write(writer, self.whole())
            else:
                for value in self.changes:
                    if value["version"] > since:
                        self.write(writer, value)
            self.watchers.add(writer)
            while True:
                await writer.drain()
                try:
                    if not await asyncio.wait_for(reader.read(1), 2.0):
                        return
                except asyncio.TimeoutError:
                    self.write(writer, None)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.watchers.discard(writer)
            writer.close()


class Router:
    """One router, started by the command of the deploy file."""

    def __init__(self, record, folder, name, settings, discovery, known, sockets=1024, memory_mb=192, cores=1.0):
        self.record, self.folder, self.name = record, folder, name
        self.listen = free_address()
        self.config = {
            "name": name,
            "listen": self.listen,
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets},
            "known": known,
            "settings": settings,
        }
        self.path = os.path.join(folder, name + ".json")
        self.process = None

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as f:
            json.dump(self.config, f)
        os.replace(self.path + ".new", self.path)

    async def start(self, log=None):
        self.write_config()
        env = dict(os.environ, NODE_CONFIG=self.path, NODE_NAME=self.name, TMPDIR=self.folder)
        run = next(
            line.split('"')[1]
            for line in open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8")
            if line.startswith("run")
        )
        log = log or os.path.join(self.folder, self.name + ".log")
        self.process = await asyncio.create_subprocess_shell(
            run, cwd=ROOT, env=env, stdout=open(log, "ab"), stderr=asyncio.subprocess.STDOUT
        )
        self.record(f"router {self.name}: started as process {self.process.pid} at {self.listen}")

    async def ready(self, limit=10.0):
        """Waits until an empty query is answered, as a front does."""
        until = now() + limit
        while now() < until:
            try:
                client = await Client.connect(self.listen)
                kinds = await client.query("")
                client.close()
                if any(kind == b"I" for kind, _ in kinds):
                    self.record(f"router {self.name}: ready")
                    return True
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                pass
            await asyncio.sleep(0.05)
        return False

    def signal(self, number):
        self.record(f"router {self.name}: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="utf-8") as f:
                return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576.0
        except (OSError, IndexError):
            return 0.0

    async def end(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


class Client:
    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @staticmethod
    async def connect(address):
        host, port = host_port(address)
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 20)
        body = struct.pack("!I", 3 << 16) + text("user") + text("svc") + text("database") + text("main") + b"\0"
        writer.write(struct.pack("!I", len(body) + 4) + body)
        client = Client(reader, writer)
        await client.until_ready()
        return client

    async def read(self):
        kind = await self.reader.readexactly(1)
        size = struct.unpack("!I", await self.reader.readexactly(4))[0]
        return kind, await self.reader.readexactly(size - 4)

    async def until_ready(self):
        found = []
        while True:
            kind, body = await self.read()
            found.append((kind, body))
            if kind == b"Z":
                return found

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def query(self, statement):
        self.send(statement)
        return await self.until_ready()

    def close(self):
        self.writer.close()


def outcome(kinds):
    """('served', value), ('refused', code) or ('failed', code)."""
    value = None
    for kind, body in kinds:
        if kind == b"E":
            fields = {f[:1]: f[1:] for f in body.split(b"\0") if f}
            code = fields.get(b"C", b"?").decode()
            return ("refused" if code in ("53300", "57P03") else "failed", code)
        if kind == b"D":
            value = body[6:]
    return ("served", value)


SELECT = "SELECT v FROM records WHERE k = '{k}' /* id={id},c={c},d={d},cluster={cluster} */"
INSERT = "INSERT INTO records (k, v) VALUES ('{k}', '\\x{v}') RETURNING v /* id={id},c={c},d={d},cluster={cluster} */"


async def run_case(case):
    """Runs `case(record, folder)`, which returns the exit code; 2 if it could not run."""
    # Members that are cancelled at the end of the case have nothing to say.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    here = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(here, "record.txt"))
    routers = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = await asyncio.wait_for(case(record, folder, routers), 110)
        except Exception as why:  # the case could not run
            record(f"could not run: {why!r}")
            code = 2
        for router in routers:
            await router.end()
    record({0: "result: the rule held", 1: "result: the rule was broken", 2: "result: the case could not run"}[code])
    record.close()
    print(open(os.path.join(here, "record.txt"), encoding="utf-8").read().splitlines()[-1])
    return code


def main(case):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < 4096:
        resource.setrlimit(resource.RLIMIT_NOFILE, (4096 if hard == resource.RLIM_INFINITY else min(4096, hard), hard))
    code = asyncio.run(run_case(lambda *parts: case(trouble, *parts)))
    sys.stdout.flush()
    os._exit(code)
