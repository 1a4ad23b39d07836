"""Parts of the cases 11 to 15: gateways as the deploy file starts them, workers,
an operator and clients, all on loopback addresses. Python's standard library
only."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target", "gooseberryvale")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up; the script ends with 2."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._lock = threading.Lock()
        self.start = time.monotonic()
        self("trouble", "on" if TROUBLE else "off")

    def __call__(self, *words):
        line = "%8.3f %s" % (time.monotonic() - self.start,
                             " ".join(str(word) for word in words))
        with self._lock:
            self._file.write(line + "\n")
            self._file.flush()
        return line

    def say(self, *words):
        print(self(*words), flush=True)


def free_base(ips, count=12):
    """A port from which `count` ports are free at all addresses."""
    for _ in range(200):
        base = random.randrange(20000, 30000, 20)
        try:
            for ip in ips:
                for port in range(base, base + count):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


class Gateway:
    """One process of the deploy file, with the settings that its template gives."""

    def __init__(self, record, folder, name, zone, ip, base, zones, seeds, bounds,
                 disk=True, memory_mb=260, max_fds=4100):
        self.record, self.name, self.zone, self.ip, self.base = record, name, zone, ip, base
        self.folder = os.path.join(folder, name)
        os.makedirs(self.folder)
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.fields = {
            "nodeName": name, "zone": zone, "ip": ip, "zones": {z: "region" for z in zones},
            "listen": {"front": "%s:%d" % (ip, base + 2), "ready": "%s:%d" % (ip, base + 3),
                       "control": "%s:%d" % (ip, base + 4)},
            "internalPortRange": [base, base + 1], "seeds": seeds, "bootstrap": True,
            "limits": {"memoryMb": memory_mb, "maxFds": max_fds},
            "faultTolerance": {"machines": 1}, "bounds": bounds}
        if disk:
            self.fields["dataDir"] = os.path.join(self.folder, "data")
        self.process = None

    front = property(lambda self: (self.ip, self.base + 2))
    ready = property(lambda self: (self.ip, self.base + 3))
    control = property(lambda self: (self.ip, self.base + 4))

    def start(self, bootstrap):
        self.fields["bootstrap"] = bootstrap
        with open(os.path.join(ROOT, "platform", "gateway.yaml")) as file:
            text = fill(file.read(), self.fields)
        settings = os.path.join(self.folder, "settings.yaml")
        with open(settings, "w") as file:
            file.write(text)
        log = open(os.path.join(self.folder, "log.txt"), "a")
        self.process = subprocess.Popen(
            [BINARY, "run", "--settings=" + settings], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, env={"PATH": os.environ.get("PATH", "/usr/bin:/bin")})
        self.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.record("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def has_ended(self):
        return self.process.poll() is not None

    def memory_mb_used(self):
        """Resident memory now, and at its peak, in MB."""
        try:
            with open("/proc/%d/status" % self.process.pid) as file:
                text = file.read()
        except OSError:
            return None
        found = [re.search(r"%s:\s+(\d+) kB" % key, text) for key in ("VmRSS", "VmHWM")]
        return tuple(int(match.group(1)) / 1024 for match in found) if all(found) else None


def fill(text, fields):
    """Fills in a template as DEPLOY.md tells."""

    def value(scope, name):
        if name == ".":
            return scope[0]
        for level in scope:
            found = level
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def show(found):
        if found is None:
            return ""
        if isinstance(found, bool):
            return "true" if found else "false"
        if isinstance(found, list):
            return ",".join(show(item) for item in found)
        if isinstance(found, dict):
            return json.dumps(found)
        return str(found)

    def render(piece, scope, key, last):
        out = ""
        while True:
            match = re.search(r"\{\{([^}]*)\}\}", piece)
            if not match:
                return out + piece
            out += piece[:match.start()]
            word = match.group(1)
            piece = piece[match.end():]
            if word[0] in "#^":
                end = "{{/%s}}" % word[1:]
                body, piece = piece.split(end, 1)
                found = value(scope, word[1:])
                if word[0] == "^":
                    out += render(body, scope, key, last) if not found else ""
                elif isinstance(found, (list, dict)):
                    items = list(found.items()) if isinstance(found, dict) else list(enumerate(found))
                    if isinstance(found, dict) and word[1:] == "limits":
                        out += render(body, [found] + scope, key, last)
                    else:
                        for at, (name, item) in enumerate(items):
                            out += render(body, [item] + scope, name, at == len(items) - 1)
                elif found:
                    out += render(body, [found] + scope, key, last)
            elif word == "@":
                out += str(key)
            elif word == ",":
                out += "" if last else ","
            else:
                out += show(value(scope, word))

    return render(text, [fields], "", True)


SMALL_BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lostMs": 200, "applyMs": 2000, "revertMs": 250,
    "maxSkewMs": 5000, "strictRevocation": True, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "retryBudgetSlack": 106, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "stall_ms": 1500, "holdMaxMs": 20000, "freeMs": 4000, "idleMaxMs": 9000}


class Rig:
    """Three gateways with a disk, one in each zone, as in a small deployment."""

    def __init__(self, record, folder, zones=("nbo-a", "nbo-b", "nbo-c"), bounds=None,
                 network=None, **limits):
        self.record, self.folder = record, folder
        if not os.access(BINARY, os.X_OK):
            raise CannotRun("target/gooseberryvale is missing: run the build of the deploy file")
        network = network or random.randrange(20, 250)
        ips = ["127.%d.0.%d" % (network, at + 1) for at in range(len(zones))]
        self.network = network
        self.base = free_base(ips)
        seeds = ["%s:%d" % (ip, self.base + 4) for ip in ips]
        self.gateways = [
            Gateway(record, folder, "front-%s-1" % zone, zone, ip, self.base, zones, seeds,
                    bounds or SMALL_BOUNDS, **limits)
            for zone, ip in zip(zones, ips)]
        self.workers = []

    def start(self):
        for gateway in self.gateways:
            gateway.start(True)

    def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        for gateway in self.gateways:
            while True:
                answer = call(gateway.ready, "GET", "/v1/readyz", timeout_s=1)
                if answer and answer.status == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun("%s is not ready" % gateway.name)
                time.sleep(0.05)
            self.record("ready", gateway.name)

    def stop(self):
        for worker in self.workers:
            worker.stop()
        for gateway in self.gateways:
            gateway.kill()


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body

    def get(self, name):
        return self.fields.get(name.lower())


class Broken(Exception):
    """The connection ended before a whole answer."""


class Stream:
    """Reads messages from one connection."""

    def __init__(self, sock):
        self.sock, self.data = sock, b""

    def more(self):
        got = self.sock.recv(65536)
        if not got:
            raise Broken("closed")
        self.data += got

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, self.data = self.data.split(b"\r\n", 1)
        return line.decode("latin-1")

    def exactly(self, count):
        while len(self.data) < count:
            self.more()
        taken, self.data = self.data[:count], self.data[count:]
        return taken

    def head(self):
        first = self.line()
        fields = {}
        while True:
            line = self.line()
            if not line:
                return first, fields
            name, _, text = line.partition(":")
            fields[name.strip().lower()] = text.strip()

    def body(self, fields):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self.line().split(";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return body
                body += self.exactly(size)
                self.line()
        return self.exactly(int(fields.get("content-length", "0")))


def send_request(sock, method, path, fields=None, body=b"", host="localhost"):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + host]
    for name, text in (fields or {}).items():
        lines.append("%s: %s" % (name, text))
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


def read_answer(sock):
    stream = Stream(sock)
    while True:
        first, fields = stream.head()
        status = int(first.split()[1])
        if status >= 200:
            return Answer(status, fields, stream.body(fields))


def call(address, method, path, fields=None, body=b"", host="localhost", timeout_s=2.0):
    """One request on its own connection. None if there was no whole answer."""
    try:
        with socket.create_connection(address, timeout=timeout_s) as sock:
            sock.settimeout(timeout_s)
            send_request(sock, method, path, fields, body, host)
            return read_answer(sock)
    except (OSError, Broken, ValueError, IndexError):
        return None


class Operator:
    """Sends an order to one machine after the other until it is acknowledged."""

    def __init__(self, record, gateways):
        self.record, self.gateways = record, gateways

    def order(self, method, path, body=b"", limit_s=20, first=0):
        """The time of the acknowledgement."""
        end = time.monotonic() + limit_s
        at = first
        while time.monotonic() < end:
            gateway = self.gateways[at % len(self.gateways)]
            at += 1
            self.record("operator sends", method, path, "to", gateway.name)
            answer = call(gateway.control, method, path, {"Content-Type": "application/json"},
                          body, timeout_s=1.0)
            now = time.monotonic()
            self.record("operator gets", answer.status if answer else "nothing", "for", method, path)
            if answer and 200 <= answer.status < 300:
                return now
            if answer and answer.status in (400, 409, 412, 413, 422):
                raise CannotRun("%s %s was refused with %d" % (method, path, answer.status))
            time.sleep(0.2)
        raise CannotRun("%s %s was not acknowledged" % (method, path))

    def configure(self, configuration, **options):
        return self.order("PUT", "/v1/configuration", json.dumps(configuration).encode(), **options)


class Worker:
    """A plain service. Answers what it runs, and registers like a sound worker."""

    def __init__(self, record, gateways, ident, service, zone, ip, port=0, work_s=0.005):
        self.record, self.gateways = record, gateways
        self.ident, self.service, self.zone, self.work_s = ident, service, zone, work_s
        self.ran = []  # (time, attempt id, path, fields) of each request that it ran
        self.got = []  # the same, with those that it turned away
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.stopped = False
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((ip, port))
        self.server.listen(512)
        self.address = "%s:%d" % self.server.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._register, daemon=True).start()

    def stop(self):
        self.stopped = True
        try:
            self.server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.server.close()

    def registration(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": self.state, "remainingMs": 0,
                "born": self.born, "sequence": self.sequence}

    def beat(self, first=0):
        """One registration at one machine after the other. True if acknowledged."""
        body = json.dumps(self.registration()).encode()
        for at in range(len(self.gateways)):
            gateway = self.gateways[(first + at) % len(self.gateways)]
            answer = call(gateway.control, "PUT", "/v1/instances/" + self.ident,
                          {"Content-Type": "application/json"}, body, timeout_s=1.0)
            if answer and 200 <= answer.status < 300:
                return True
        return False

    def _register(self):
        while not self.stopped:
            acked = self.beat(random.randrange(len(self.gateways)))
            time.sleep(1.2 if acked else 0.3)

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = Stream(sock)
        try:
            while not self.stopped:
                first, fields = stream.head()
                body = stream.body(fields)
                method, path, _ = first.split(" ")
                sock.sendall(self.handle(method, path, fields, body))
        except (OSError, Broken, ValueError):
            pass
        finally:
            sock.close()

    def handle(self, method, path, fields, body):
        now = time.monotonic()
        attempt = fields.get("gooseberryvale-attempt-id", "")
        extra = "Gooseberryvale-Attempt-Id: %s\r\n" % attempt if attempt else ""
        if path == "/healthz":
            return self.answer(200, "Gooseberryvale-Instance-Id: %s\r\n" % self.ident, b"")
        with self.lock:
            self.got.append((now, attempt, path, fields))
        expected = fields.get("gooseberryvale-expect-instance")
        if expected and expected != self.ident:
            return self.answer(421, extra + "Gooseberryvale-Not-Executed: 1\r\n", b"")
        with self.lock:
            self.ran.append((now, attempt, path, fields))
        self.record("worker", self.ident, "runs", attempt, method, path, "tenant",
                    fields.get("gooseberryvale-tenant", "-"))
        time.sleep(self.work_s)
        return self.answer(200, extra + "Gooseberryvale-Response-Signature: %s.%s\r\n" %
                           (self.ident, attempt), b"done by " + self.ident.encode())

    @staticmethod
    def answer(status, extra, body):
        return ("HTTP/1.1 %d X\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n" %
                (status, extra, len(body))).encode() + body


ATTEMPTS = iter(range(1, 1 << 60))
ATTEMPT_SEED = random.randrange(1 << 30)


def attempt_id():
    return "%08x%08x" % (ATTEMPT_SEED, next(ATTEMPTS))


def route(name, host, prefix, service, kind="unsafe", timeout_ms=5000, **more):
    return dict({"name": name, "hostname": host, "pathPrefix": prefix, "kind": kind,
                 "timeoutMs": timeout_ms, "sloMs": 500, "priority": 1, "service": service,
                 "maxAttempts": 2 if kind == "safe" else 1, "allowAnonymous": False,
                 "sticky": False}, **more)


def service(name, **more):
    return dict({"name": name, "healthPath": "/healthz", "maxConnections": 110,
                 "protocol": "h1", "tls": False}, **more)


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}


def main(folder, case):
    """Runs case(record, temporary folder) -> list of broken rules."""
    import shutil
    import sys
    import tempfile
    import traceback
    record = Record(folder)
    work = tempfile.mkdtemp(prefix="gv-review-")
    rigs = []
    code = 2
    try:
        broken = case(record, work, rigs)
        for line in broken:
            record.say("broken:", line)
        record.say("result:", "the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except CannotRun as error:
        record.say("could not run:", error)
    except Exception:  # the case itself failed
        record.say("could not run:", traceback.format_exc())
    finally:
        for rig in rigs:
            rig.stop()
        if not os.environ.get("KEEP"):
            shutil.rmtree(work, ignore_errors=True)
        else:
            print("kept", work)
    sys.stdout.flush()
    os._exit(code)
