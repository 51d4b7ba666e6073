"""Clients send much at once and go while a set hands over to another primary. See claim.txt."""

import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import sites
import world
from world import INSERT, READY, Client, Discovery, Member, Router, error, host_port, message, now, outcome, parameter, row, unix_ms

# An attempt that begins more than 0.1 s after its client's close is a break; as much again for this machine.
ALLOWED_S = 0.2
CLIENTS = 4
COMMANDS = 300
VALUE = "5a" * (32 * 1024)
WORK_S = 0.062
HAND_OVER_S = 0.8


async def case(trouble, record, folder, routers):
    closed, broken = {}, []

    async def serve(member, said):
        began = now()
        gone = closed.get(said["id"].rsplit("-", 1)[0])
        if gone is not None and began - gone > ALLOWED_S:
            role = "primary" if member.primary else "replica"
            record(f"BREAK: {said['id']} begins at {member.ident} ({role}) {(began - gone) * 1000:.0f} ms after its client closed")
            broken.append(said["id"])
        if not member.primary:
            return error("25006", "this is no primary") + member.notes() + READY
        await asyncio.sleep(WORK_S)
        record(f"member {member.ident}: {said['id']} has run")
        return row(b"ok") + member.notes() + parameter("applied_ms", "%d" % unix_ms()) + READY

    members = [Member(f"s-{i}", 0, record, serve, primary=i == 0) for i in range(3)]
    for member in members:
        await member.start()
    discovery = Discovery(record, members)
    await discovery.start()
    router = Router(record, folder, "n0", sites.jelgava_main(), discovery.address, discovery.whole())
    routers.append(router)
    await router.start()
    if not await router.ready():
        record("the router did not become ready")
        return 2

    def write(ident):
        return INSERT.format(k=ident, v=VALUE, id=ident, c="issue-warning", d=3000, cluster=0)

    usual = await Client.connect(router.listen)
    for i in range(20):
        said = outcome(await usual.query(write(f"usual-{i}")))
        if said[0] != "served":
            record(f"client: usual-{i} {said}")
            return 2

    async def many_at_once(number):
        """One client that sends hundreds of commands at once; with the disruption it then closes its connection."""
        name = f"many{number}"
        client, bytes_ = connections[number], batches[number]
        if not trouble:
            client.writer.write(bytes_)
            for i in range(COMMANDS):
                record(f"client: {name}-{i:03d} {outcome(await client.until_ready())}")
            client.close()
            return
        plain = client.writer.get_extra_info("socket")
        sent, stopped = 0, 0
        while sent < len(bytes_) and stopped < 5:
            try:
                sent += socket.socket.send(plain._sock, bytes_[sent:])
                stopped = 0
            except BlockingIOError:
                stopped += 1
                await asyncio.sleep(0.01)
        client.writer.transport.close()
        await asyncio.sleep(0)
        closed[name] = now()
        record(f"client: {name} has written {sent} of {len(bytes_)} bytes and closes its connection")

    connections = [await Client.connect(router.listen) for _ in range(CLIENTS)]
    batches = [
        b"".join(message(b"Q", write(f"many{number}-{i:03d}").encode() + b"\0") for i in range(COMMANDS))
        for number in range(CLIENTS)
    ]
    record("member s-0: drains and gives the primary's role up; until the hand-over the set takes no writes")
    members[0].state, members[0].primary = "draining", False
    # The list is late: its change comes 1.5 s after.
    asyncio.get_running_loop().call_later(1.5, discovery.change, [members[0]])
    handing_over = now()
    crowd = [asyncio.create_task(many_at_once(i)) for i in range(CLIENTS)]
    await asyncio.sleep(HAND_OVER_S)
    members[1].primary = True
    record(f"member s-1: is the primary, {(now() - handing_over) * 1000:.0f} ms later")
    done, pending = await asyncio.wait(crowd, timeout=60)
    if pending or any(task.exception() for task in done):
        record(f"clients that did not end: {pending}, {[task.exception() for task in done]}")
        return 2
    await asyncio.sleep(4)
    if trouble and not closed:
        return 2
    record(f"{len(broken)} attempts began more than {ALLOWED_S * 1000:.0f} ms after their client's close: {sorted(set(broken))}")
    return 1 if broken else 0


world.main(case)
