"""A gateway is killed right after it has acknowledged that a worker leaves;
see claim.txt."""

import asyncio
import os
import signal
import time

import fleet as f

STAYS_S = 4.0  # drainMs and a little longer.


async def case(fleet):
    shop = await fleet.add_workers("tile-shop", 3, False)
    await fleet.start(f.configuration(7, [
        f.route("order-status", "/status/", "tile-shop", "safe", sloMs=120,
                timeoutMs=600),
        f.route("deposit-take", "/deposit/", "tile-shop", "unsafe", sloMs=120,
                timeoutMs=600, maxAttempts=1),
    ], [f.service("tile-shop", False)]))
    await asyncio.sleep(2)
    killed = fleet.gateways[-1]
    others = fleet.gateways[:-1]
    leaver = shop[0]
    counts = {"served": 0}

    async def client(gateway, path, method):
        connection = None
        while True:
            outcome, connection = await fleet.request(
                gateway, path, method, deadline_ms=600, connection=connection)
            counts["served"] += outcome.status == 200
            await asyncio.sleep(0.2)

    tasks = []
    for gateway in others:
        tasks.append(asyncio.create_task(client(gateway, "/status/a", "GET")))
        tasks.append(asyncio.create_task(client(gateway, "/deposit/a",
                                                "POST")))
    # All machines have run undisturbed for longer than contactMs.
    await asyncio.sleep(f.CONTACT_S + 1)
    # The worker leaves without reporting that it drains: one last heartbeat,
    # then it deregisters.
    leaver.beats.cancel()
    status, _ = await leaver.register(killed)
    if status != 200:
        raise f.CannotRun("the last heartbeat got %d" % status)
    # Heartbeats are passed on twice a second.
    await asyncio.sleep(0.7)
    status, _ = await f.call(killed.address("control"), "DELETE",
                             "/v1/instances/" + leaver.name)
    acknowledged = time.monotonic()
    if f.trouble():
        killed.signal(signal.SIGKILL)
    if status != 200:
        raise f.CannotRun("the departure got %d" % status)
    fleet.record.line("worker %s: departure acknowledged by %s%s" % (
        leaver.name, killed.name,
        ", which is killed" if f.trouble() else ""))
    if f.trouble():
        await asyncio.sleep(0.5)
        killed.start(False)
    await asyncio.sleep(acknowledged + STAYS_S - time.monotonic())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    since = [at - acknowledged for at, _, _ in leaver.runs]
    late = [at for at in since if at > f.DRAIN_S]
    text = ("requests that reached the worker later than %.1f s after the "
            "acknowledgement: %d%s; after it in all: %d; answered 200: %d" % (
                f.DRAIN_S, len(late),
                " (the last one after %.2f s)" % max(late) if late else "",
                sum(1 for at in since if at > 0), counts["served"]))
    if counts["served"] < 50:
        raise f.CannotRun("too few requests were served: " + text)
    return bool(late), text


f.run_case(os.path.dirname(os.path.abspath(__file__)), 3, 2, case)
