"""Stand-ins for the second review: the platform that starts gateways, plain
services, clients and an operator. Standard library only, loopback only."""
import asyncio
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{now():9.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(f"{now():8.3f} {text}", flush=True)


def render(text, fields, entry=None, key=None, comma=""):
    """Fills in the platform's template: values, sections and their keys."""

    def look(name):
        if name == ".":
            return entry
        if isinstance(entry, dict) and name in entry:
            return entry[name]
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                value = None
        return value

    def show(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(show(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def section(match):
        value = look(match.group(1))
        body = match.group(2)
        if isinstance(value, dict) and "{{@}}" in body:
            keys = list(value)
            return "".join(
                render(body, fields, value[k], k, "" if k == keys[-1] else ",")
                for k in keys)
        if not value:
            return ""
        return render(body, fields, value)

    text = re.sub(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", section, text,
                  flags=re.S)
    text = text.replace("{{@}}", key or "").replace("{{,}}", comma)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: show(look(m.group(1))), text)


def free_ports(addresses, count):
    """@return Ports that are free on all of the addresses."""
    import random
    import socket
    while True:
        ports = random.sample(range(20000, 30000), count)
        held = []
        try:
            for address in addresses:
                for port in ports:
                    sock = socket.socket()
                    held.append(sock)
                    sock.bind((address, port))
            return ports
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()


BOUNDS = {"contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 8,
          "applyMs": 2500, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "retryBudgetSlack": 136}


class Platform:
    """Starts, signals and restarts gateways."""

    def __init__(self, record, zones, with_disk, without_disk=0, bounds=None,
                 tolerated=1, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="gv-review-")
        self.zones = zones
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.count = with_disk + without_disk
        self.with_disk = with_disk
        self.tolerated = tolerated
        self.memory_mb = memory_mb
        base = 20 + os.getpid() % 200
        self.ips = [f"127.{base}.0.{i + 11}" for i in range(self.count)]
        (self.front, self.ready, self.control, self.peers,
         self.metrics) = free_ports(self.ips, 5)
        self.processes = {}
        self.logs = {}
        with open(os.path.join(ROOT, "platform/gateway.yaml"),
                  encoding="utf-8") as file:
            self.template = file.read()

    def settings(self, i, bootstrap):
        ip = self.ips[i]
        fields = {
            "nodeName": f"front-{i + 1}", "zone": self.zones[i % len(self.zones)],
            "zones": {zone: "region" for zone in self.zones}, "ip": ip,
            "internalPortRange": [self.peers, self.metrics],
            "listen": {"front": f"{ip}:{self.front}",
                       "ready": f"{ip}:{self.ready}",
                       "control": f"{ip}:{self.control}"},
            "bootstrap": bootstrap,
            "seeds": [f"{p}:{self.control}" for p in self.ips[:3]],
            "faultTolerance": {"machines": self.tolerated},
            "bounds": self.bounds,
            "limits": {"memoryMb": self.memory_mb, "maxFds": 4100}}
        if i < self.with_disk:
            fields["dataDir"] = os.path.join(self.folder, f"data-{i + 1}")
        return fields

    def start(self, i, bootstrap=False):
        path = os.path.join(self.folder, f"settings-{i + 1}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.template, self.settings(i, bootstrap)))
        log = open(os.path.join(self.folder, f"log-{i + 1}.txt"), "ab")
        self.processes[i] = subprocess.Popen(
            [os.environ.get("GV_BINARY", "target/gooseberryvale"), "run", f"--settings={path}"], cwd=ROOT,
            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.record.line(f"platform: started gateway {i + 1} "
                         f"bootstrap={bootstrap}")

    def start_all(self):
        for i in range(self.count):
            self.start(i, bootstrap=True)

    def signal(self, i, number):
        self.record.say(f"platform: {signal.Signals(number).name} to "
                        f"gateway {i + 1}")
        self.processes[i].send_signal(number)

    def kill(self, i):
        self.signal(i, signal.SIGKILL)
        self.processes[i].wait()

    def log_of(self, i):
        with open(os.path.join(self.folder, f"log-{i + 1}.txt"),
                  encoding="utf-8", errors="replace") as file:
            return file.read()

    def leader(self):
        """@return The gateway that was elected last, by the logs."""
        elected = []
        for i in self.processes:
            for line in self.log_of(i).splitlines():
                if "event=leader-elected" in line:
                    elected.append((int(line.split(" ", 1)[0][2:]), i))
        return max(elected)[1]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """@return First line and header fields, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """@return The body, or None if it ends early."""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    return body
        return await reader.readexactly(int(fields.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def call(address, method, path, body=b"", fields=None, timeout=1.0):
    """One request on a new connection.
    @return Status, header fields and body; status 0 without an answer."""
    writer = None
    try:
        ip, port = address.rsplit(":", 1)

        async def whole():
            nonlocal writer
            reader, writer = await asyncio.open_connection(ip, int(port))
            text = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
            for name, value in (fields or {}).items():
                if name.lower() == "host":
                    text = text.replace(f"Host: {address}", f"Host: {value}")
                else:
                    text += f"{name}: {value}\r\n"
            if body or method in ("PUT", "POST"):
                text += f"Content-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            answer = await read_body(reader, head[1])
            if answer is None:
                return 0, head[1], b""
            return int(head[0].split()[1]), head[1], answer

        return await asyncio.wait_for(whole(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Operator:
    """Sends orders as the pages say: a second without an answer, a failure or
    a 5xx, and the same order goes to the next node."""

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record

    async def order(self, method, path, nodes, body=b"", limit_s=5.0):
        """@return True and the time of the acknowledgement, or False."""
        end = now() + limit_s
        pause = 0.05
        turn = 0
        while now() < end:
            node = nodes[turn % len(nodes)]
            turn += 1
            address = f"{self.platform.ips[node]}:{self.platform.control}"
            self.record.line(f"operator: {method} {path} to gateway {node + 1}")
            status, _, _ = await call(address, method, path, body, {
                "Content-Type": "application/json"} if body else None)
            self.record.say(f"operator: {method} {path} at gateway {node + 1}: "
                            f"{status or 'no answer'}")
            if 200 <= status < 300:
                return True, now()
            if status in (400, 409, 412, 413, 422):
                return False, now()
            await asyncio.sleep(pause)
            pause = min(2 * pause, 0.5)
        return False, now()


class Worker:
    """A plain service, or the body of a model worker in a subclass."""

    def __init__(self, record, platform, service, ip, zone, name=None,
                 work_s=0.02):
        self.record = record
        self.platform = platform
        self.service = service
        self.ip = ip
        self.zone = zone
        self.id = name or "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.slots = 16
        self.work_s = work_s
        self.runs = []
        self.server = None
        self.address = ""
        self.tasks = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.tasks.append(asyncio.create_task(self.beat()))

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.server.close()

    def registration(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "remainingMs": 0, "born": self.born,
                "stage": "both", "models": [], "sequence": self.sequence}

    async def beat(self):
        turn = hash(self.id)
        while True:
            body = json.dumps(self.registration()).encode()
            for _ in range(self.platform.count):
                turn += 1
                node = turn % self.platform.count
                address = f"{self.platform.ips[node]}:{self.platform.control}"
                status, _, _ = await call(address, "PUT",
                                          f"/v1/instances/{self.id}", body)
                if 200 <= status < 300:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if body is None:
                    break
                method, path, _ = head[0].split(" ", 2)
                if not await self.answer(writer, method, path, head[1], body):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, path, fields, body):
        """@return True if the connection is kept."""
        attempt = fields.get("gooseberryvale-attempt-id", "")
        expected = fields.get("gooseberryvale-expect-instance", self.id)
        if expected != self.id:
            self.record.line(f"worker {self.id}: 421 to {attempt}")
            writer.write((f"HTTP/1.1 421 Misdirected\r\n"
                          f"Gooseberryvale-Attempt-Id: {attempt}\r\n"
                          f"Gooseberryvale-Not-Executed: 1\r\n"
                          f"Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return True
        self.runs.append((now(), attempt))
        self.record.line(f"worker {self.id} zone={self.zone}: runs {attempt} "
                         f"{method} {path}")
        await asyncio.sleep(self.work_s)
        text = f"{self.id} ran {attempt}\n".encode()
        writer.write((f"HTTP/1.1 200 OK\r\n"
                      f"Gooseberryvale-Attempt-Id: {attempt}\r\n"
                      f"Gooseberryvale-Response-Signature: s.{attempt}\r\n"
                      f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
        await writer.drain()
        return True


def configuration(version, services, routes, tenants=None):
    """@return JSON text. services: name -> fields; routes: (name, prefix, kind,
    service, fields)."""
    value = {"version": version, "routes": [], "services": [],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                        "headerMs": 3000, "idleMs": 15000}}
    for name, prefix, kind, service, more in routes:
        value["routes"].append(dict({
            "name": name, "hostname": "a.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": 4000, "sloMs": 300, "priority": 1,
            "service": service, "maxAttempts": 2, "allowAnonymous": True},
            **more))
    for name, more in services.items():
        value["services"].append(dict({
            "name": name, "healthPath": "/healthz", "maxConnections": 200,
            "protocol": "h1", "tls": False}, **more))
    if tenants:
        value["tenants"] = tenants
    return json.dumps(value).encode()


def finish(record, broken, held, could_run=True):
    """Ends the process with the exit code of a case."""
    if not could_run:
        record.say("RESULT: could not run: " + held)
        sys.exit(2)
    record.say("RESULT: " + (f"broken: {broken}" if broken else f"held: {held}"))
    sys.exit(1 if broken else 0)
