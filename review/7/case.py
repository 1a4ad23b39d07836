"""An order that a frozen gateway reads late undoes a newer acknowledged one."""
import asyncio
import os
import signal
import sys
import uuid

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins2 import (Operator, Platform, Record, Worker, call, configuration,
                       finish, now)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 6.8  # The longest that the site file has.
POST_AFTER_S = 5.0  # From the begin of the freeze to the second evacuation.
EVACUATE_S = 5.0
CONTACT_S = 4.0
ROUNDS = 3  # The first that shows the fault is the last.


async def load(platform, record, stop, nodes):
    """Safe calls at the gateways that nothing happens to."""
    number = 0
    while not stop.is_set():
        number += 1
        attempt = uuid.uuid4().hex[:16]
        node = nodes[number % len(nodes)] if nodes else number % 3
        asyncio.create_task(one(platform, record, node, attempt))
        await asyncio.sleep(0.03)


async def one(platform, record, node, attempt):
    status, _, _ = await call(
        f"{platform.ips[node]}:{platform.front}", "GET", "/status/1", b"",
        {"Host": "a.example", "Gooseberryvale-Attempt-Id": attempt,
         "Gooseberryvale-Deadline-Ms": "4000"}, 4.5)
    record.line(f"client: {attempt} at gateway {node + 1}: {status}")


async def play(record, platform):
    platform.start_all()
    operator = Operator(platform, record)
    zones = platform.zones
    workers = [Worker(record, platform, "app", platform.ips[0].rsplit(".", 1)[0]
                      + f".{50 + i}", zones[i % 3]) for i in range(24)]
    for worker in workers:
        await worker.start()
    text = configuration(1, {"app": {}},
                         [("r-status", "/status/", "safe", "app", {})])
    done, _ = await operator.order("PUT", "/v1/configuration", [0, 1, 2], text,
                                   20)
    if not done:
        return None
    await asyncio.sleep(4)
    stop = asyncio.Event()
    load_at = []
    clients = asyncio.create_task(load(platform, record, stop, load_at))
    await asyncio.sleep(2)
    zone = zones[0]
    path = f"/v1/evacuations/{zone}"
    done, _ = await operator.order("POST", path, [1, 2, 0])
    if not done:
        return None
    await asyncio.sleep(EVACUATE_S + 0.5)
    for _ in range(ROUNDS):
        frozen = platform.leader()
        record.say(f"gateway {frozen + 1} leads")
        calm = [i for i in range(3) if i != frozen]
        load_at[:] = calm
        frozen_at = now()
        if TROUBLE:
            platform.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(0.3)
        done, _ = await operator.order("DELETE", path, [frozen] + calm)
        if not done:
            return None
        await asyncio.sleep(max(0, frozen_at + POST_AFTER_S - now()))
        done, acknowledged = await operator.order("POST", path, calm)
        if not done:
            return None
        record.say(f"the evacuation of {zone} is acknowledged again")
        await asyncio.sleep(max(0, frozen_at + FREEZE_S - now()))
        if TROUBLE:
            platform.signal(frozen, signal.SIGCONT)
        # The core is stable again, and the other machines in touch.
        judged = max(acknowledged + EVACUATE_S, now() + CONTACT_S)
        await asyncio.sleep(judged + 6 - now())
        late = [run for worker in workers if worker.zone == zone
                for run in worker.runs if run[0] > judged]
        others = [run for worker in workers if worker.zone != zone
                  for run in worker.runs if run[0] > judged]
        if late:
            break
    stop.set()
    await clients
    await asyncio.sleep(0.5)
    for worker in workers:
        worker.close()
    record.say(f"requests later than {EVACUATE_S} s after the acknowledgement, "
               f"with the core stable: {len(late)} in {zone}, {len(others)} elsewhere")
    return len(late), len(others)


def main():
    record = Record(HERE)
    platform = Platform(record, ["bcw-a", "bcw-b", "bcw-c"], 3, 0,
                        {"evacuateMs": 5000})
    try:
        counts = asyncio.run(play(record, platform))
    finally:
        for i in range(platform.count):
            if i in platform.processes:
                for line in platform.log_of(i).splitlines():
                    if "evacuation" in line:
                        record.line(f"log of gateway {i + 1}: {line}")
        platform.close()
    if counts is None or counts[1] == 0:
        finish(record, "", "an order or the traffic failed", False)
    finish(record, counts[0] and f"EVAC: {counts[0]} requests reached workers "
           "of the evacuated zone", "EVAC")


main()
