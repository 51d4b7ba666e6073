"""Members in another server room: the way there takes longer, and some answers have a second copy directly behind. Each client
compares the value that it gets with its own id."""

import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from settings import gauja
from standin import *

# The way takes 90 to 150 ms longer in each direction: the pages give 81 to 200 ms.
LONGER, SPREAD = 0.090, 0.060
SHARE_OF_COPIES = 0.04
CALM, SPAN, CLIENTS = 4.0, 30.0, 100
RNG = random.Random(6)


class Way:
    """One direction of a connection: each piece takes a while, and the order stays."""

    def __init__(self, member):
        self.member, self.last = member, 0.0

    def arrival(self):
        took = LONGER + SPREAD * RNG.random() if self.member.is_far else 0.0003
        self.last = max(self.last, now() + took)
        return self.last


class FarMember(Member):
    """A member behind such a way. Between its writes it does nothing else."""

    is_far, copies = False, 0

    async def serve(self, reader, writer):
        there, back, loop = Way(self), Way(self), asyncio.get_running_loop()
        arrived, came = [], asyncio.Event()

        def send(data):
            loop.call_at(loop.time() + back.arrival() - now(), lambda: writer.is_closing() or writer.write(data))

        def arrive(body):
            arrived.append(body)
            came.set()

        async def answer_all():
            while True:
                while not arrived:
                    came.clear()
                    await came.wait()
                await self.answer_one(arrived.pop(0)[:-1].decode(), send, arrived)

        answering = asyncio.ensure_future(answer_all())
        try:
            size = struct.unpack(">I", await reader.readexactly(4))[0]
            await reader.readexactly(size - 4)
            if self.is_far:
                # The connection came up over the same way, and so did the startup message.
                await asyncio.sleep(3 * LONGER)
            send(GREETING)
            while True:
                _, body = await read_message(reader)
                loop.call_at(loop.time() + there.arrival() - now(), arrive, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            answering.cancel()
            writer.close()

    async def answer_one(self, statement, send, arrived):
        head = parameter("role", self.role) + parameter(
            "load", "x0=%.3f,x1=%d,util=0.3" % (self.position_ms() / 1000, self.role == "primary"))
        if statement in ("SHOW load", "SELECT 1"):
            return send(head + row(b"1") + READY)
        id = fields(statement)["id"]
        await asyncio.sleep(0.02)
        answer = head + row(id.encode()) + READY
        self.record("member %s ran and answers id=%s" % (self.name, id))
        send(answer)
        # Directly behind, and only if nothing else waits on the connection.
        if trouble() and self.is_far and RNG.random() < SHARE_OF_COPIES and not arrived:
            self.copies += 1
            self.record("member %s sends the answer to id=%s once more, directly behind" % (self.name, id))
            send(answer)


async def case(record, routers):
    members = [await FarMember("m%d" % i, "primary" if i == 0 else "replica", record=record).start() for i in range(8)]
    agent = await Agent(members, record).start()
    router = Router(gauja(), agent.address, agent.list())
    routers.append(router)
    await router.start()
    begun, counts, wrong = now(), {}, []

    async def client(number):
        connection, at = await Client(router).open(), 0
        while now() < begun + SPAN:
            at += 1
            id = "c%d-%d" % (number, at)
            text = "SELECT v FROM records WHERE k = 'k%d' /* id=%s,c=gauge-history,d=900,cluster=0 */" % (at, id)
            kind, code, value = await connection.ask(text)
            found = outcome((kind, code, value))
            record("client %d: id=%s is %s%s" % (number, id, found, " with the value " + value.decode() if value else ""))
            counts[found] = counts.get(found, 0) + 1
            if value is not None and value.decode() != id:
                wrong.append((id, value.decode()))
                record("client %d: id=%s got the value made for id=%s" % (number, id, value.decode()))
            await asyncio.sleep(0.005)

    async def lengthen():
        await asyncio.sleep(CALM)
        if trouble():
            record("from now on the way to the members takes longer")
            for member in members:
                member.is_far = True

    await asyncio.gather(lengthen(), *[client(number) for number in range(CLIENTS)])
    copies = sum(member.copies for member in members)
    record("answers: %s; second copies: %d; values made for another command: %d" % (counts, copies, len(wrong)))
    if counts.get("answered", 0) < 500 or (trouble() and copies < 8):
        raise CannotRun("too few answers or copies: %s, %d" % (counts, copies))
    if not wrong:
        return []
    return ["%d of %d values were made for another command; the first: id=%s got that of id=%s" % (
        len(wrong), counts["answered"], wrong[0][0], wrong[0][1])]


main(case, FOLDER)
