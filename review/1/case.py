"""A planned restart: SIGTERM comes while the router stands still for 1.38 s. See claim.txt."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import sites
import world
from world import INSERT, READY, SELECT, Client, Discovery, Member, Router, error, now, outcome, parameter, row, unix_ms

STANDS_STILL_S = float(os.environ.get("STILL_MS", "1380")) / 1000.0
# With HANG=1 the primary hangs from SIGTERM on, with and without the disruption.
HANGS = os.environ.get("HANG", "0") != "0"
# The pages' most.
MOST_STILL_S = 1.4
# SIGTERM comes so long after the router began to stand still.
TOLD_AFTER_S = 0.02
# The longest deadline, taken as 3 s where it is longer, plus 0.7 s.
KILLED_AFTER_S = 3.0 + 0.7
# What SIGKILL finds unanswered is lost if it came later than this after SIGTERM.
COUNTS_AFTER_S = 0.7
CLIENTS = 12
WORK_S = {"status-check": 0.05, "issue-warning": 0.085}
WAIT_MS = {"status-check": 600, "issue-warning": 3000}


async def case(trouble, record, folder, routers):
    begun = set()
    told_at = killed_at = None

    async def serve(member, said):
        begun.add(said["id"])
        if HANGS and told_at is not None and member is members[0]:
            return None
        await asyncio.sleep(WORK_S[said["c"]])
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

    lost, over = [], False

    async def client(number):
        """Sends one command after the other on one connection, until the router ends it."""
        rng, connection, count = random.Random(number), await Client.connect(router.listen), 0
        while not over:
            await asyncio.sleep(rng.expovariate(1 / 0.03))
            if over:
                return
            group = "issue-warning" if count % 3 == 0 else "status-check"
            ident = f"c{number}-{count}"
            count += 1
            statement = (INSERT if group == "issue-warning" else SELECT).format(
                k=ident, v="5a", id=ident, c=group, d=WAIT_MS[group], cluster=0
            )
            sent = now()
            try:
                said = outcome(await connection.query(statement))
                record(f"client: {ident} {said} after {(now() - sent) * 1000:.0f} ms")
            except (ConnectionError, asyncio.IncompleteReadError, OSError):
                ended = now()
                if killed_at is None or ended < killed_at:
                    # The router ended a resting connection: the command is the next process's.
                    record(f"client: {ident} finds its connection ended by the router")
                    return
                late = sent - told_at > COUNTS_AFTER_S
                record(
                    f"{'BREAK' if late and ident in begun else 'client'}: {ident} ({group}) was sent "
                    f"{(sent - told_at) * 1000:.0f} ms after SIGTERM, {'has begun at a member' if ident in begun else 'has not begun'}, "
                    f"and SIGKILL finds it unanswered {(killed_at - sent) * 1000:.0f} ms later"
                )
                if late and ident in begun:
                    lost.append(ident)
                return

    clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
    await asyncio.sleep(3)
    stopped = now()
    if trouble:
        router.signal(signal.SIGSTOP)
    await asyncio.sleep(TOLD_AFTER_S)
    told_at = now()
    router.signal(signal.SIGTERM)
    if trouble:
        await asyncio.sleep(STANDS_STILL_S - (now() - stopped))
        router.signal(signal.SIGCONT)
        record(f"router n0: stood still for {(now() - stopped) * 1000:.0f} ms")
        if now() - stopped > MOST_STILL_S:
            record("this machine was late")
            return 2
    ending = asyncio.create_task(router.process.wait())
    await asyncio.wait([ending], timeout=told_at + KILLED_AFTER_S - now())
    if router.process.returncode is None:
        killed_at = now()
        router.signal(signal.SIGKILL)
        record(f"platform: SIGKILL {(killed_at - told_at) * 1000:.0f} ms after SIGTERM")
        await ending
    else:
        record(f"router n0: has ended {(now() - told_at) * 1000:.0f} ms after SIGTERM with {router.process.returncode}")
    over = True
    await asyncio.wait(clients, timeout=5)
    record(f"{len(lost)} commands were taken, begun and never answered: {lost}")
    return 1 if lost else 0


world.main(case)
