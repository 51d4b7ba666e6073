"""A router stands still for 1.35 s while clients send two commands each, and the primary hangs. See claim.txt."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import sites
import world
from world import INSERT, READY, Client, Discovery, Member, Router, error, now, outcome, parameter, row, unix_ms

WAIT_MS = 3000
# An answer up to half a second after its time only earns nothing; later it is lost. 0.2 s more for this machine.
LOST_AFTER_S = WAIT_MS / 1000.0 + 0.5 + 0.2
STANDS_STILL_S = 1.35
# The second command of a client comes so long after its first.
LATER_S = 1.2
CLIENTS = 3
WORK_S = 0.062
# The hanging primary is given up after 2 s, and a replica takes over 3 s later.
TAKES_OVER_AFTER_S = 5.0


async def case(trouble, record, folder, routers):
    hangs = False

    async def serve(member, said):
        if hangs and member is members[0]:
            return None
        await asyncio.sleep(WORK_S)
        if said["c"] == "issue-warning" and not member.primary:
            return error("25006", "this is no primary") + member.notes() + READY
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
        return INSERT.format(k=ident, v="5a", id=ident, c="issue-warning", d=WAIT_MS, cluster=0)

    clients = [await Client.connect(router.listen) for _ in range(CLIENTS)]
    for i in range(20):
        said = outcome(await clients[i % CLIENTS].query(write(f"before-{i}")))
        if said[0] != "served":
            record(f"client: before-{i} {said}")
            return 2

    lost = []

    async def pair(number):
        """Sends a command and a further one behind it, and reads both answers."""
        client, sent = clients[number], []
        for at, name in enumerate(("first", "second")):
            if at:
                await asyncio.sleep(LATER_S)
            sent.append((f"{name}-{number}", now()))
            client.send(write(sent[-1][0]))
            record(f"client: {sent[-1][0]} is sent, d={WAIT_MS}")
        free_at = None
        for ident, at in sent:
            try:
                # Nobody waits longer than this: an answer that has not come by then is none.
                kinds = await asyncio.wait_for(client.until_ready(), 12)
            except asyncio.TimeoutError:
                record(f"BREAK: {ident} has no answer")
                lost.append(ident)
                return
            # The time spent waiting for the answers before does not count.
            took = now() - max(at, free_at or at)
            free_at = now()
            record(f"client: {ident} {outcome(kinds)} {took * 1000:.0f} ms after it was sent")
            if took > LOST_AFTER_S:
                record(f"BREAK: {ident} is answered {(took * 1000 - WAIT_MS):.0f} ms after its time")
                lost.append(ident)

    record("member s-0: the primary hangs: it takes commands and answers none")
    hangs = True

    async def take_over():
        await asyncio.sleep(TAKES_OVER_AFTER_S)
        members[0].primary, members[1].primary = False, True
        record("member s-1: takes over as primary")

    taking_over = asyncio.create_task(take_over())
    await asyncio.sleep(0.3)
    if trouble:
        router.signal(signal.SIGSTOP)
    stopped = now()
    await asyncio.sleep(0.05)
    pairs = [asyncio.create_task(pair(i)) for i in range(CLIENTS)]
    await asyncio.sleep(STANDS_STILL_S - (now() - stopped))
    if trouble:
        router.signal(signal.SIGCONT)
        record(f"router n0: stood still for {(now() - stopped) * 1000:.0f} ms")
        if now() - stopped > STANDS_STILL_S + 0.05:
            record("this machine was late")
            return 2
    await asyncio.gather(taking_over, *pairs)
    record(f"{len(lost)} of {2 * CLIENTS} commands were answered too late: {lost}")
    return 1 if lost else 0


world.main(case)
