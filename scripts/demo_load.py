"""Sends a mixed, bounded load to entries on loopback, kills one in the middle and prints a report."""

import argparse
import collections
import http.client
import json
import os
import random
import signal
import threading
import time

BANDS = [("note", 1_000), ("review", 12_000), ("archive", 120_000)]
BYTES_PER_TOKEN = 4
WORKERS = 24
MAX_REQUESTS = 20_000


def percentile(values, share):
    """Returns the value below which the given share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


class Load:
    """Counts what callers saw. Thread safety: all methods lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.verdicts = collections.Counter()
        self.first_token = collections.defaultdict(list)
        self.keys = []
        self.started = 0

    def start(self):
        """Returns the number of the next request, or None at the bound."""
        with self.lock:
            self.started += 1
            return self.started if self.started <= MAX_REQUESTS else None

    def end(self, band, verdict, first=None):
        """Counts the end of one request."""
        with self.lock:
            self.verdicts[band, verdict] += 1
            if first is not None:
                self.first_token[band].append(first)


def pick_entry(entries, rng):
    """Returns an entry that is ready, as the platform's balancer would."""
    for entry in rng.sample(entries, len(entries)):
        connection = http.client.HTTPConnection(entry, timeout=2)
        try:
            connection.request("GET", "/readyz")
            if connection.getresponse().status == 200:
                return entry
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
    return entries[0]


def call_model(entry, key, band, tokens, rng, load):
    """Streams one completion."""
    text = f"{rng.random()} " + "x" * (tokens * BYTES_PER_TOKEN - 20)
    body = json.dumps(
        {"model": "bench", "stream": True, "max_tokens": 24, "messages": [{"role": "user", "content": text}]}
    )
    begin = time.monotonic()
    connection = http.client.HTTPConnection(entry, timeout=60)
    first = None
    whole = False
    try:
        connection.request(
            "POST", "/v1/chat/completions", body, {"Authorization": f"Bearer {key}", "X-Deadline-Ms": "30000"}
        )
        reply = connection.getresponse()
        if reply.status != 200:
            reply.read()
            load.end(band, f"{reply.getheader('X-Gooseberryvale-Verdict')}/{reply.getheader('X-Gooseberryvale-Reason')}")
            return
        failure = None
        for line in reply:
            if line.startswith(b"data: ") and first is None:
                first = time.monotonic() - begin
            if line.startswith(b"data: [DONE]"):
                whole = True
            elif line.startswith(b'data: {"error"'):
                error = json.loads(line[6:])["error"]
                failure = f"{error['verdict']}/{error['reason']}"
        load.end(band, "whole" if whole else failure or "connection broken", first if whole else None)
    except (OSError, http.client.HTTPException):
        load.end(band, "connection broken")
    finally:
        connection.close()


def call_service(entry, key, number, load):
    """Takes one deposit, which must happen at most once."""
    idempotency_key = f"deposit-{number}"
    with load.lock:
        load.keys.append(idempotency_key)
    connection = http.client.HTTPConnection(entry, timeout=60)
    try:
        connection.request(
            "POST",
            "/services/shop/deposit",
            json.dumps({"deposit": number}),
            {"Authorization": f"Bearer {key}", "Idempotency-Key": idempotency_key, "X-Deadline-Ms": "10000"},
        )
        reply = connection.getresponse()
        reply.read()
        if reply.status == 200:
            load.end("deposit", "whole")
        else:
            load.end("deposit", f"{reply.getheader('X-Gooseberryvale-Verdict')}/{reply.getheader('X-Gooseberryvale-Reason')}")
    except (OSError, http.client.HTTPException):
        load.end("deposit", "connection broken")
    finally:
        connection.close()


def worker(seed, entries, keys, until, load):
    """Sends requests one after another until the time is over."""
    rng = random.Random(seed)
    while time.monotonic() < until:
        number = load.start()
        if number is None:
            return
        entry = pick_entry(entries, rng)
        key = rng.choice(keys)
        kind = rng.random()
        if kind < 0.2:
            call_service(entry, key, number, load)
        else:
            band, tokens = BANDS[0] if kind < 0.85 else BANDS[1] if kind < 0.98 else BANDS[2]
            call_model(entry, key, band, tokens, rng, load)


def executions(service):
    """Returns how often the service ran each key."""
    connection = http.client.HTTPConnection(service, timeout=10)
    connection.request("GET", "/executions")
    return json.loads(connection.getresponse().read())


def main():
    """Runs the load and prints the report."""
    parser = argparse.ArgumentParser()
    for flag in ("--entries", "--keys", "--service"):
        parser.add_argument(flag, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--kill", type=int, required=True)
    flags = parser.parse_args()
    keys = []
    for file in flags.keys.split(","):
        with open(file, encoding="utf-8") as text:
            keys.append(text.readline().strip())
    load = Load()
    until = time.monotonic() + flags.seconds
    threads = [
        threading.Thread(target=worker, args=(seed, flags.entries.split(","), keys, until, load))
        for seed in range(WORKERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(flags.seconds / 2)
    os.kill(flags.kill, signal.SIGKILL)
    for thread in threads:
        thread.join()
    for (band, verdict), count in sorted(load.verdicts.items()):
        print(f"{band:8} {verdict:32} {count:6}")
    for band, times in sorted(load.first_token.items()):
        print(
            f"{band:8} first token p50 {percentile(times, 0.5) * 1000:.0f} ms, p95 {percentile(times, 0.95) * 1000:.0f} ms"
        )
    counts = executions(flags.service)
    twice = {key: count for key, count in counts.items() if count > 1}
    print(f"deposits asked {len(load.keys)}, executed {len(counts)}, executed more than once {len(twice)}")
    raise SystemExit(1 if twice else 0)


if __name__ == "__main__":
    main()
