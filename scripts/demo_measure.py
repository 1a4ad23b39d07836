"""Measures one entry over loopback beside direct calls of the engine stand-in: latency, rate, memory."""

import argparse
import http.client
import json
import os
import statistics
import threading
import time

LATENCY_CALLS = 150
RATE_SECONDS = 4
RATE_THREADS = 8
OPEN_STREAMS = 150
IDLE_SECONDS = 10


def body(max_tokens, stream):
    """Returns a small prompt."""
    return json.dumps(
        {
            "model": "bench",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": "glaze note"}],
        }
    )


def call(address, headers, max_tokens=1):
    """Runs one call to its end mark on a connection of its own and returns its seconds."""
    begin = time.monotonic()
    connection = http.client.HTTPConnection(address, timeout=20)
    connection.request("POST", "/v1/chat/completions", body(max_tokens, True), headers)
    reply = connection.getresponse()
    if reply.status != 200:
        raise SystemExit(f"status {reply.status}: {reply.read(200)}")
    whole = False
    for line in reply:
        if line.startswith(b"data: [DONE]"):
            whole = True
            break
    connection.close()
    if not whole:
        raise SystemExit("an answer was not whole")
    return time.monotonic() - begin


def latency(address, make_headers):
    """Returns the median seconds of calls one after another."""
    return statistics.median(call(address, make_headers(i)) for i in range(LATENCY_CALLS))


def rate(address, headers):
    """Returns whole answers a second over several connections."""
    until = time.monotonic() + RATE_SECONDS
    counts = []

    def worker():
        count = 0
        while time.monotonic() < until:
            call(address, headers)
            count += 1
        counts.append(count)

    threads = [threading.Thread(target=worker) for _ in range(RATE_THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / RATE_SECONDS


def resident_kb(pid):
    """Returns the resident memory of a process in KB."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


def cpu_seconds(pid):
    """Returns the processor time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def idle_share(pids):
    """Returns the share of a core in percent that each process uses without load."""
    before = [cpu_seconds(pid) for pid in pids]
    time.sleep(IDLE_SECONDS)
    return [(cpu_seconds(pid) - used) * 100 / IDLE_SECONDS for pid, used in zip(pids, before)]


def memory_per_stream(address, headers, pid):
    """Returns KB of the entry for each open stream."""
    before = resident_kb(pid)
    connections = []
    for _ in range(OPEN_STREAMS):
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.request("POST", "/v1/chat/completions", body(400, True), headers)
        connections.append(connection)
    time.sleep(1.5)
    after = resident_kb(pid)
    for connection in connections:
        connection.close()
    return (after - before) / OPEN_STREAMS


def main():
    """Prints the figures."""
    parser = argparse.ArgumentParser()
    for flag in ("--entry", "--engine", "--key"):
        parser.add_argument(flag, required=True)
    parser.add_argument("--pid", type=int, required=True)
    parser.add_argument("--agent_pid", type=int, required=True)
    flags = parser.parse_args()
    with open(flags.key, encoding="utf-8") as text:
        key = text.readline().strip()
    caller = {"Authorization": f"Bearer {key}", "X-Deadline-Ms": "20000"}

    def direct(i):
        return {"X-Gooseberryvale-Stream": f"{900000 + i}.1", "X-Gooseberryvale-Token": "1000000", "X-Deadline-Ms": "20000"}

    entry_idle, agent_idle = idle_share([flags.pid, flags.agent_pid])
    print(f"idle: control and entry {entry_idle:.1f}% of a core, agent {agent_idle:.1f}%")
    print(f"memory: control and entry {resident_kb(flags.pid)} KB, agent {resident_kb(flags.agent_pid)} KB")
    straight = latency(flags.engine, direct)
    through = latency(flags.entry, lambda _: caller)
    print(f"latency: direct {straight * 1000:.2f} ms, through entry {through * 1000:.2f} ms, ratio {through / straight:.2f}")
    print(f"rate through one entry: {rate(flags.entry, caller):.0f} requests/s with {RATE_THREADS} connections of a Python client")
    print(f"memory: {memory_per_stream(flags.entry, caller, flags.pid):.1f} KB for each open stream")


if __name__ == "__main__":
    main()
