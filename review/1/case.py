"""Two core machines are replaced one after the other; see claim.txt."""

import asyncio
import os
import signal
import time

import fleet as f

APART_S = 8.0  # The bench leaves as much between two of them.
SUCCESSOR_S = 1.0
JUDGED_S = 30.0


def leads(gateway):
    """True if the log of this gateway says that it was elected last."""
    with open(os.path.join(gateway.folder, "log"), encoding="utf-8") as log:
        text = log.read()
    return text.rfind("event=leader-elected") > text.rfind("event=leader-lost")


async def replace(fleet, gateway, successor):
    gateway.signal(signal.SIGKILL)
    fleet.gateways.remove(gateway)
    fleet.record.line("platform: %s is gone for good" % gateway.name)
    await asyncio.sleep(SUCCESSOR_S)
    successor.start(False)
    fleet.gateways.append(successor)
    fleet.record.line("platform: %s with an empty disk comes instead" %
                      successor.name)


async def case(fleet):
    await fleet.add_workers("tile-shop", 3, False)

    def version(number):
        return f.configuration(number, [
            f.route("order-status", "/status/", "tile-shop", "safe",
                    sloMs=120, timeoutMs=600),
        ], [f.service("tile-shop", False)])

    await fleet.start(version(7))
    served = {}

    async def client(gateway):
        connection = None
        while True:
            at = time.monotonic()
            outcome, connection = await fleet.request(
                gateway, "/status/a", "GET", deadline_ms=600,
                connection=connection)
            served[at] = outcome.status == 200
            await asyncio.sleep(0.5)

    calm = fleet.gateways[-1]  # Without a disk; nothing happens to it.
    task = asyncio.create_task(client(calm))
    await asyncio.sleep(10)
    core = [gateway for gateway in fleet.gateways if gateway.data]
    leader = [gateway for gateway in core if leads(gateway)]
    if len(leader) != 1:
        raise f.CannotRun("the leader is not known")
    others = [gateway for gateway in core if gateway not in leader]
    began = time.monotonic()
    if f.trouble():
        await replace(fleet, leader[0], fleet.spares[0])
        await asyncio.sleep(began + APART_S - time.monotonic())
        # The one that leads now stays; the other one is replaced.
        follower = [gateway for gateway in others if not leads(gateway)]
        if len(follower) != 1:
            raise f.CannotRun("the new leader is not known")
        await replace(fleet, follower[0], fleet.spares[1])
    # recoveryS, 12 s, and more.
    calm_from = time.monotonic()
    reads = tried = 0
    changed = False
    while time.monotonic() - calm_from < JUDGED_S:
        for gateway in fleet.gateways:
            status, _ = await f.call(gateway.address("control"), "GET",
                                     "/v1/configuration")
            fleet.record.line("operator: read at %s got %d" % (gateway.name,
                                                               status))
            tried += 1
            reads += status == 200
        changed = changed or await fleet.configure(version(8))
        await asyncio.sleep(1)
    task.cancel()
    late = [good for at, good in served.items()
            if at > calm_from + JUDGED_S / 2]
    before = [good for at, good in served.items() if at < began]
    text = ("reads of the configuration that were answered: %d of %d; the "
            "next version was %s; requests answered 200: %d of %d in the "
            "last %.0f s, %d of %d before" % (
                reads, tried, "acknowledged" if changed
                else "never acknowledged", sum(late), len(late),
                JUDGED_S / 2, sum(before), len(before)))
    if not before or sum(before) < len(before) / 2:
        raise f.CannotRun("too little was served before: " + text)
    return reads == 0 and not changed, text


f.run_case(os.path.dirname(os.path.abspath(__file__)), 3, 1, case, spares=2)
