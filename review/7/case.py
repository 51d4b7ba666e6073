"""A slow discovery: it answers each request for the list, 1.5 s after it was asked. A router that starts anew has an old list, in which
a member is ready that drains by now."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from settings import gauja
from standin import *

# Discovery answers in 1.5 s: the site's calls fail only after 2 s, and an idle watch is quiet for 2 s.
DISCOVERY_TAKES = 1.5
# "What it misses counts as told at the latest 6 s after it fell silent", and the site's grace; beside it what the bench allows a router that is held up,
# and a margin for this machine.
TOLD_AFTER, GRACE, SLACK = 6.0, 0.5, 0.5
SPAN, CLIENTS = 30.0, 4


async def case(record, routers):
    members = [await Member("m%d" % i, "primary" if i == 0 else "replica", record=record, work=0.02).start() for i in range(4)]
    agent = await Agent(members, record).start()
    known = agent.list()
    drains = members[3]
    drains.state, agent.version = "draining", agent.version + 1
    record("%s drains, in list %d; the router knows list %d" % (drains.name, agent.version, known["version"]))
    if trouble():
        agent.delay = lambda number: DISCOVERY_TAKES
    router = Router(gauja(), agent.address, known)
    routers.append(router)
    begun = now()
    await router.start()
    record("the router is ready")
    counts = {}

    async def client(number):
        connection, at = await Client(router).open(), 0
        while now() < begun + SPAN:
            at += 1
            text = ("SELECT v FROM records WHERE k = 'k%d' /* id=c%d-%d,c=gauge-history,d=900,cluster=0 */" % (at, number, at))
            record("client %d sends id=c%d-%d" % (number, number, at))
            found = outcome(await connection.ask(text))
            record("client %d: id=c%d-%d is %s" % (number, number, at, found))
            counts[found] = counts.get(found, 0) + 1
            await asyncio.sleep(0.1)

    await asyncio.gather(*[client(number) for number in range(CLIENTS)])
    if counts.get("answered", 0) < 100:
        raise CannotRun("too few commands were answered: %s" % counts)
    late = [(at - begun, id) for at, id, _ in drains.received if at > begun + TOLD_AFTER + GRACE + SLACK]
    record("answers: %s; watches asked for: %d; %s got %d commands, %d of them too late" % (
        counts, agent.opened, drains.name, len(drains.received), len(late)))
    if not late:
        return []
    return ["%d commands went to %s, which drains, more than %.1f s after the router's start; the last one %.1f s after it (%s)" % (
        len(late), drains.name, TOLD_AFTER + GRACE + SLACK, late[-1][0], late[-1][1])]


main(case, FOLDER)
