"""A small deployment on loopback for the cases of this review.

Gateways are started with the command and the settings template of the deploy
file. Workers, clients, the operator and the platform are stand-ins that speak
what PROTOCOL.md says. Only the standard library is used, and everything has a
loopback address, a free port and a temporary folder.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
# The bounds of the deployment of the Blue Mountain Tilecarvers.
CONTACT_S = 3.0
DRAIN_S = 2.0
APPLY_S = 2.0
GRACE_S = 8.0
HEARTBEAT_S = 1.2
ENGINE = {
    "slots": 16, "kvCapacityTokens": 315000, "kvTokenBytes": 163840,
    "linkMbps": 400000.0, "stride": 51, "models": [{"name": "m"}],
    "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
    "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
    "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8,
    "delays": [], "usual": {"prompt": 11112, "answer": 1622}, "hopMs": 0.05,
}


class CannotRun(Exception):
    """The case could not be carried out; nothing is said of the rule."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%9.3f %s\n" % (self.now(), text))
        self.file.flush()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says (what this one needs)."""

    def value(name, here):
        if name == ".":
            return here
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                index = int(part)
                found = found[index] if index < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def text_of(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(text_of(item) for item in found)
        return json.dumps(found) if isinstance(found, dict) else str(found)

    def section(match):
        found = value(match.group(1), None)
        if not found:
            return ""
        return match.group(2).replace("{{.}}", text_of(found))

    template = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section,
                      template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: text_of(value(match.group(1), None)), template)


def free_ports(addresses, count):
    """Ports that are free at all addresses."""
    ports = []
    while len(ports) < count:
        probe = socket.socket()
        probe.bind((addresses[0], 0))
        port = probe.getsockname()[1]
        probe.close()
        try:
            for address in addresses[1:]:
                other = socket.socket()
                other.bind((address, port))
                other.close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Gateway:
    """One process of the deploy file's role."""

    def __init__(self, fleet, name, ip, zone, has_disk):
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(self.folder)
        self.data = os.path.join(self.folder, "data") if has_disk else None
        self.process = None
        self.asked = False  # A signal of this test may end it.

    def address(self, what):
        return (self.ip, self.fleet.ports[what])

    def start(self, bootstrap):
        ports = self.fleet.ports
        fields = {
            "nodeName": self.name, "ip": self.ip, "zone": self.zone,
            "listen": {what: "%s:%d" % self.address(what)
                       for what in ("front", "ready", "control")},
            "internalPortRange": [ports["peers"], ports["metrics"]],
            "seeds": self.fleet.seeds,
            "bootstrap": bootstrap, "dataDir": self.data,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {"revokeMs": 5000, "graceS": int(GRACE_S),
                       "retryBudgetRatio": 0.2, "budgetWindowS": 10,
                       "retryBudgetSlack": 106},
        }
        settings = os.path.join(self.folder, "settings.yaml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(self.fleet.template, fields))
        words = [word if not word.startswith("--settings=")
                 else "--settings=" + settings
                 for word in self.fleet.command]
        self.asked = False
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log)

    def signal(self, number):
        self.asked = True
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.asked = True
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class HttpError(Exception):
    """The peer closed, reset or sent what is no answer."""


class Connection:
    """A client's connection; one request at a time."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.served = 0

    @staticmethod
    async def open(address, timeout=1.0):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), timeout)
        return Connection(reader, writer)

    def close(self):
        self.writer.close()

    def send(self, method, path, headers, body=b""):
        lines = ["%s %s HTTP/1.1" % (method, path)]
        lines += ["%s: %s" % item for item in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def head(self):
        line = await self.reader.readline()
        if not line:
            raise HttpError("closed without an answer")
        parts = line.decode("latin-1").split()
        if len(parts) < 2 or not parts[0].startswith("HTTP/1."):
            raise HttpError("no answer")
        headers = await read_headers(self.reader)
        return int(parts[1]), headers

    async def body(self, headers):
        data = b""
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                line = await self.reader.readline()
                if not line.endswith(b"\n"):
                    raise HttpError("ended early")
                size = int(line.split(b";")[0], 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    return data
                data += chunk[:-2]
        return await self.reader.readexactly(
            int(headers.get("content-length", "0")))


async def read_headers(reader):
    headers = {}
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise HttpError("ended early")
        line = line.strip().decode("latin-1")
        if not line:
            return headers
        name, _, text = line.partition(":")
        headers[name.strip().lower()] = text.strip()


BROKEN = (OSError, HttpError, asyncio.IncompleteReadError, ValueError,
          asyncio.TimeoutError)


async def call(address, method, path, body=None, timeout=1.0):
    """One call of a worker or the operator. Returns status and body, or 0."""
    connection = None
    try:
        connection = await Connection.open(address, timeout)
        data = b"" if body is None else json.dumps(body).encode()
        connection.send(method, path, {
            "Host": "%s:%d" % address, "Content-Type": "application/json",
            "Connection": "close"}, data)
        status, headers = await asyncio.wait_for(connection.head(), timeout)
        text = await asyncio.wait_for(connection.body(headers), timeout)
        return status, text
    except BROKEN:
        return 0, b""
    finally:
        if connection:
            connection.close()


class Worker:
    """A sound worker: heartbeats, requests, streams and orders."""

    def __init__(self, fleet, name, service, ip, is_engine):
        self.fleet = fleet
        self.name = name
        self.service = service
        self.ip = ip
        self.is_engine = is_engine
        self.slots = 16 if is_engine else 6
        self.born = int(time.time() * 1000) + fleet.random.randrange(1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.gap_ms = lambda tokens: 60.0  # Between two events.
        self.events = 20
        self.least_first_ms = lambda tokens: 0  # Beside other prompts.
        self.work_ms = 15.0
        self.tickets = {}
        self.unanswered_orders = lambda: False  # Dose of applied_late.
        self.beats = None
        self.server = None
        self.runs = []  # (time, attempt id, path)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self.beat())

    async def register(self, gateway):
        self.sequence += 1
        return await call(
            gateway.address("control"), "PUT", "/v1/instances/" + self.name,
            {"service": self.service,
             "address": "%s:%d" % (self.ip, self.port), "zone": "mavis-bank",
             "version": "v1", "slots": self.slots, "state": self.state,
             "remainingMs": 0, "stage": "both",
             "models": [{"name": "m", "version": 1, "adapters": []}],
             "sequence": self.sequence, "born": self.born})

    async def beat(self):
        await asyncio.sleep(self.fleet.random.random() * 0.5)
        while True:
            for gateway in self.fleet.shuffled():
                status, _ = await self.register(gateway)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, path, _ = line.decode("latin-1").split(" ", 2)
                headers = await read_headers(reader)
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                if path == "/v1/order":
                    keep = await self.order(body, writer)
                else:
                    keep = await self.request(method, path, headers, reader,
                                              writer)
                if not keep:
                    break
        except BROKEN:
            pass
        finally:
            writer.close()

    def carry_out(self, order):
        if order.get("operation") == "release":
            self.tickets.pop(order.get("id"), None)
            return 200
        until = time.monotonic() + order["holdMs"] / 1000.0
        self.tickets[order["id"]] = (order["tokens"], until)
        return 200

    async def order(self, body, writer):
        order = json.loads(body)
        if self.unanswered_orders():
            self.fleet.record.line("worker %s leaves order unanswered: %s" % (
                self.name, body.decode()))
            late = self.fleet.random.uniform(2, 12)
            asyncio.get_running_loop().call_later(late, self.carry_out, order)
            # The connection stays open, without an answer.
            await asyncio.sleep(15)
            return False
        status = self.carry_out(order)
        self.fleet.record.line("worker %s answers order with %d: %s" % (
            self.name, status, body.decode()))
        text = json.dumps({"free": 100000}).encode()
        writer.write(b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (status, len(text),
                                                        text))
        await writer.drain()
        return True

    async def request(self, method, path, headers, reader, writer):
        attempt = headers.get("gooseberryvale-attempt-id", "")
        expected = headers.get("gooseberryvale-expect-instance", self.name)
        echo = "Gooseberryvale-Attempt-Id: %s\r\n" % attempt
        if expected != self.name:
            writer.write(("HTTP/1.1 421 Misdirected\r\n%s"
                          "Gooseberryvale-Not-Executed: true\r\n"
                          "Content-Length: 0\r\n\r\n" % echo).encode())
            await writer.drain()
            return True
        if self.running >= self.slots:
            writer.write(("HTTP/1.1 503 Full\r\n%s"
                          "Gooseberryvale-Not-Executed: true\r\n"
                          "Content-Length: 0\r\n\r\n" % echo).encode())
            await writer.drain()
            return True
        self.running += 1
        self.runs.append((time.monotonic(), attempt, path))
        self.fleet.record.line("worker %s (%s) runs %s %s %s" % (
            self.name, self.service, attempt, method, path))
        gone = asyncio.create_task(self.closed(reader))
        work = asyncio.create_task(self.answer(attempt, echo, headers,
                                               writer))
        try:
            await asyncio.wait({gone, work},
                               return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()  # The connection has closed: drop the request.
                return False
            if gone.done():
                return False
            return work.exception() is None
        finally:
            for task in (gone, work):
                task.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            self.running -= 1

    @staticmethod
    async def closed(reader):
        """Returns once the peer has closed."""
        try:
            await reader.read(1)
        except OSError:
            pass

    @staticmethod
    def prompt_tokens(headers):
        return float(headers.get("gooseberryvale-token-usage",
                                 "0,0").split(",")[0])

    def first_s(self, headers):
        """How long the first event takes: the prompt is read by the worker
        and its helpers, beside other prompts."""
        tokens = self.prompt_tokens(headers)
        helpers = [text for text in headers.get("gooseberryvale-helpers",
                                                "").split(",") if text]
        read_ms = (tokens * 1000 / ENGINE["read_per_s"] +
                   tokens * tokens / 2e6 * ENGINE["pairs_per_m"])
        first_ms = 20 + read_ms / (len(helpers) + 1)
        return max(first_ms, self.least_first_ms(tokens)) / 1000

    async def answer(self, attempt, echo, headers, writer):
        signed = echo + "Gooseberryvale-Response-Signature: s.%s\r\n" % attempt
        if not self.is_engine:
            await asyncio.sleep(self.work_ms / 1000)
            body = ("done by %s for %s" % (self.name, attempt)).encode()
            writer.write(("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (
                signed, len(body))).encode() + body)
            await writer.drain()
            return
        gap_s = self.gap_ms(self.prompt_tokens(headers)) / 1000
        await asyncio.sleep(self.first_s(headers))
        writer.write(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream"
                      "\r\nTransfer-Encoding: chunked\r\n\r\n" %
                      signed).encode())
        for event in range(1, self.events + 1):
            if event > 1:
                await asyncio.sleep(gap_s)
            data = ("id: %d\ndata: %s %d\n\n" % (event, attempt,
                                                 event)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Outcome:
    """What a client saw of one attempt."""

    def __init__(self, attempt, gateway, path):
        self.attempt = attempt
        self.gateway = gateway
        self.path = path
        self.kept = False  # On a connection with an earlier answer.
        self.sent = time.monotonic()
        self.status = 0  # 0: no answer.
        self.body = b""
        self.complete = False
        self.retry_after = 0.0  # Seconds.
        self.ended = None
        self.end = ""


class Fleet:
    """Gateways, workers and an operator."""

    def __init__(self, folder, disks, others, seed, spares=0):
        self.random = random.Random(seed)
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="gooseberryvale-review-")
        self.gateways = []
        self.workers = []
        self.attempts = 0
        with open(os.path.join(REPOSITORY, "deploy", "system.toml"),
                  encoding="utf-8") as file:
            deploy = file.read()
        self.command = re.search(r'^run = "(.*)"$', deploy, re.M)[1].split()
        path = re.search(r'^template = "(.*)"$', deploy, re.M)[1]
        with open(os.path.join(REPOSITORY, path), encoding="utf-8") as file:
            self.template = file.read()
        if not os.access(os.path.join(REPOSITORY, self.command[0]), os.X_OK):
            shutil.rmtree(self.folder)
            raise CannotRun(self.command[0] + " is not built")
        self.net = "127.%d.%d." % (os.getpid() % 200 + 20,
                                   random.SystemRandom().randrange(1, 250))
        ips = [self.net + str(i + 1) for i in range(disks + others + spares)]
        names = ("front", "ready", "control", "peers", "metrics")
        self.ports = dict(zip(names, free_ports(ips, len(names))))
        zones = ("mavis-bank", "gordon-town", "papine")
        for i, ip in enumerate(ips[:disks + others]):
            self.gateways.append(Gateway(self, "front-%d" % (i + 1), ip,
                                         zones[i % 3], i < disks))
        self.seeds = ["%s:%d" % gateway.address("control")
                      for gateway in self.gateways if gateway.data][:3]
        # Machines that may be added, with empty disks.
        self.spares = [Gateway(self, "spare-%d" % (i + 1), ip, zones[i % 3],
                               True)
                       for i, ip in enumerate(ips[disks + others:])]

    def shuffled(self):
        """Nodes that serve control, in the order in which a caller tries."""
        nodes = list(self.gateways)
        self.random.shuffle(nodes)
        return nodes

    async def add_workers(self, service, count, is_engine):
        added = []
        for _ in range(count):
            number = len(self.workers) + 1
            worker = Worker(self, "i-%s-%02d" % (service, number), service,
                            self.net + str(100 + number), is_engine)
            await worker.start()
            self.workers.append(worker)
            added.append(worker)
        return added

    async def start(self, configuration):
        for gateway in self.gateways:
            gateway.start(True)
        end = time.monotonic() + 20
        while not await self.configure(configuration):
            if time.monotonic() > end:
                raise CannotRun("no configuration was acknowledged")
            await asyncio.sleep(0.2)
        for gateway in self.gateways:
            while (await call(gateway.address("ready"), "GET",
                              "/v1/readyz"))[0] != 200:
                if time.monotonic() > end:
                    raise CannotRun(gateway.name + " is not ready")
                await asyncio.sleep(0.1)

    async def configure(self, configuration):
        for gateway in self.shuffled():
            status, _ = await call(gateway.address("control"), "PUT",
                                   "/v1/configuration", configuration)
            if status == 200:
                self.record.line("operator: version %d acknowledged by %s" % (
                    configuration["version"], gateway.name))
                return True
        return False

    def new_attempt(self):
        self.attempts += 1
        return "%08x%08x" % (self.random.getrandbits(32), self.attempts)

    async def request(self, gateway, path, method="POST", tokens=None,
                      deadline_ms=10000, connection=None, body=b"{}",
                      patience=None):
        """One client attempt. Returns its Outcome and the connection, or no
        connection if it cannot be used again."""
        outcome = Outcome(self.new_attempt(), gateway, path)
        headers = {"Host": HOST,
                   "Gooseberryvale-Attempt-Id": outcome.attempt,
                   "Gooseberryvale-Deadline-Ms": str(deadline_ms)}
        if tokens:
            own = "%08x" % self.random.getrandbits(32)
            headers["Gooseberryvale-Model"] = "m"
            headers["Gooseberryvale-Token-Usage"] = "%d,%d" % tokens
            headers["Gooseberryvale-Prompt-Prefix"] = "5c1e07a2:40,%s:%d" % (
                own, max(1, tokens[0] - 40))
        limit = (patience or deadline_ms / 1000.0) + 0.5
        try:
            if connection is None:
                connection = await Connection.open(gateway.address("front"))
            outcome.kept = connection.served > 0
            outcome.sent = time.monotonic()
            self.record.line("client sends %s %s to %s%s%s" % (
                outcome.attempt, path, gateway.name,
                " on a kept connection" if outcome.kept else "",
                " tokens %d,%d" % tokens if tokens else ""))
            connection.send(method, path, headers,
                            body if method == "POST" else b"")
            outcome.status, answer = await asyncio.wait_for(connection.head(),
                                                            limit)
            outcome.body = await asyncio.wait_for(connection.body(answer),
                                                  limit)
            outcome.complete = True
            outcome.retry_after = float(answer.get("retry-after", "0"))
            outcome.end = "complete"
            connection.served += 1
            if answer.get("connection", "") == "close":
                connection.close()
                connection = None
        except BROKEN as error:
            outcome.end = "%s %s" % (type(error).__name__, error)
            if connection:
                connection.close()
            connection = None
        outcome.ended = time.monotonic()
        self.record.line("client got %s %s status %d, %s" % (
            outcome.attempt, path, outcome.status, outcome.end))
        return outcome, connection

    def stop(self):
        for gateway in self.gateways + self.spares:
            gateway.end()
        keep = os.environ.get("KEEP_FOLDER")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind, **more):
    fields = {"name": name, "hostname": HOST, "pathPrefix": prefix,
              "kind": kind, "timeoutMs": 10000, "sloMs": 300, "priority": 1,
              "service": service, "maxAttempts": 2, "allowAnonymous": True,
              "sticky": kind == "stream", "resumable": kind == "stream"}
    if kind == "stream":
        fields["gapAimMs"] = 1000
    fields.update(more)
    return fields


def service(name, is_engine):
    fields = {"name": name, "healthPath": "/healthz", "maxConnections": 434,
              "protocol": "h1", "tls": False}
    if is_engine:
        fields["engine"] = ENGINE
    return fields


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerMs": 3000, "idleMs": 15000}}


def run_case(folder, disks, others, case, seconds=110, spares=0):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    seed = int(os.environ.get("SEED", "1"))

    fleets = []

    def leave(code, text):
        # At once, as a stand-in's task may not end.
        print(text)
        with open(os.path.join(folder, "record.txt"), "a",
                  encoding="utf-8") as record:
            record.write(text + "\n")
        for fleet in fleets:
            fleet.stop()
        sys.stdout.flush()
        os._exit(code)

    def watch():
        time.sleep(seconds + 5)
        leave(2, "could not run: it took too long")

    async def main():
        try:
            fleets.append(Fleet(folder, disks, others, seed, spares))
            broken, text = await asyncio.wait_for(case(fleets[0]), seconds)
            leave(1 if broken else 0,
                  ("broken: " if broken else "held: ") + text)
        except Exception as error:  # Also faults of this test itself.
            leave(2, "could not run: %s %s" % (type(error).__name__, error))

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda got, frame: leave(
            2, "could not run: ended by signal %d" % got))
    threading.Thread(target=watch, daemon=True).start()
    asyncio.run(main())
