"""A small deployment on loopback addresses: gateway processes, replicas, clients and an operator.

The gateways are the programs of the deploy file, started with its command and its template of settings.
Replicas, clients and the operator are stand-ins that keep to PROTOCOL.md.
"""
import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

TOP = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up."""


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in order of time; written to record.txt."""

    def __init__(self, folder):
        self.path = pathlib.Path(os.environ.get("RECORD") or pathlib.Path(folder) / "record.txt")
        self.lock = threading.Lock()
        self.rows = []
        self.path.write_text("")

    def add(self, text):
        with self.lock:
            row = "%8.3f %s" % (now(), text)
            self.rows.append(row)
            with self.path.open("a") as out:
                out.write(row + "\n")


# Settings

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if part.isdigit() and int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            value = None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(it) for it in value)
    return str(value)


def render(template, fields):
    """Fills in the template as DEPLOY.md tells, as far as the template of this project needs it."""
    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2) if value not in (None, False, "", []) else ""
    out = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: text_of(lookup(fields, it.group(1))), out)


def free_ports(addresses, count):
    """Ports that are free on every address."""
    out = []
    while len(out) < count:
        with socket.socket() as first:
            first.bind((addresses[0], 0))
            port = first.getsockname()[1]
        held = []
        try:
            for it in addresses:
                held.append(socket.socket())
                held[-1].bind((it, port))
            if port not in out:
                out.append(port)
        except OSError:
            pass
        for it in held:
            it.close()
    return out


BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2000, "GraceS": 8, "LostSlackMs": 200, "ConfigApplyMs": 2000,
          "RetryBudgetRatio": 0.9, "BudgetWindowS": 10, "RetryBudgetSlack": 58, "EvacuateMs": 5000,
          "RollbackMs": 5000, "RecoveryS": 12, "SessionS": 5}


class Host:
    """One machine of the system with its gateway process."""

    def __init__(self, site, number, has_disk):
        self.site, self.number, self.has_disk = site, number, has_disk
        self.ip = site.addresses[number]
        self.name = "edge-%d" % (number + 1)
        self.zone = "zone-%d" % (number % 3 + 1)
        self.process = None
        self.bootstrap = True

    @property
    def front(self):
        return (self.ip, self.site.ports[0])

    @property
    def ready(self):
        return (self.ip, self.site.ports[1])

    @property
    def control(self):
        return (self.ip, self.site.ports[2])

    def write_settings(self):
        front, ready, control, internal = self.site.ports
        data = str(self.site.folder / self.name) if self.has_disk else None
        fields = {"Node": self.name, "Zone": self.zone, "Ip": self.ip,
                  "Listen": {"Front": "%s:%d" % self.front, "Ready": "%s:%d" % self.ready,
                             "Control": "%s:%d" % self.control},
                  "InternalPortRange": [internal, internal], "DataDir": data,
                  "Seeds": self.site.seeds, "Bootstrap": self.bootstrap,
                  "FaultTolerance": {"Machines": 1}, "HeartbeatMs": int(HEARTBEAT_S * 1000),
                  "Bounds": BOUNDS, "Limits": {"MemoryMb": 260}}
        text = render((TOP / "deploy/gateway.ini.template").read_text(), fields)
        path = self.site.folder / (self.name + ".conf")
        path.write_text(text)
        return path

    def start(self):
        path = self.write_settings()
        self.bootstrap = False
        log = (self.site.folder / (self.name + ".log")).open("ab")
        self.process = subprocess.Popen(self.site.command, cwd=TOP, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL,
                                        env={"PATH": os.environ["PATH"], "HOME": str(self.site.folder),
                                             "LANG": "C", "HICKORYPOST_CONFIG": str(path)})
        log.close()
        self.site.record.add("%s starts" % self.name)

    def send_signal(self, number):
        self.site.record.add("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def runs(self):
        return self.process is not None and self.process.poll() is None


class Site:
    """The whole deployment. Ends all processes that it started."""

    def __init__(self, folder, disks=3, others=1, net=60):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        count = disks + others
        self.addresses = ["127.0.%d.%d" % (net, n + 1) for n in range(count)]
        self.ports = free_ports(self.addresses, 4)
        self.command = [str(TOP / "target/hickorypost"), "gateway"]
        self.hosts = [Host(self, n, n < disks) for n in range(count)]
        self.seeds = ["%s:%d" % it.control for it in self.hosts[:3]]
        self.replicas = []
        self.closing = False

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.closing = True
        for it in self.replicas:
            it.stop()
        for it in self.hosts:
            if it.runs():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        if not pathlib.Path(self.command[0]).exists():
            raise CannotRun("target/hickorypost is missing")
        for it in self.hosts:
            it.start()

    def is_ready(self, host):
        status, _, _ = call(host.ready, "GET", "/hickorypost/readyz")
        return status == 200

    def wait_ready(self, hosts=None, limit=20):
        for it in hosts or self.hosts:
            wait_for("%s to be ready" % it.name, lambda it=it: self.is_ready(it), limit)

    def log_text(self, host):
        return (self.folder / (host.name + ".log")).read_text(errors="replace")


def wait_for(what, check, limit=20.0):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CannotRun("gave up waiting for " + what)


# Clients and the operator

def call(address, method, path, fields=None, body=None, limit=1.0):
    """One call on a new connection. Returns status, fields and body; status 0 without a whole answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=limit)
    try:
        connection.request(method, path, body=body, headers=fields or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def order(site, hosts, method, path, body=None, rounds=12):
    """An operator's call: to the next host after a failure, a 5xx, or a second without a response."""
    fields = {"Content-Type": "application/json"} if body is not None else {}
    for n in range(rounds):
        host = hosts[n % len(hosts)]
        site.record.add("operator sends %s %s to %s" % (method, path, host.name))
        status, _, text = call(host.control, method, path, fields, body)
        site.record.add("operator gets %s from %s %s" % (status or "no response", host.name,
                                                         text[:200].decode(errors="replace")))
        if 200 <= status < 500 and status not in (408, 429):
            return status, text
        time.sleep(min(0.05 * 2 ** n, 1.0))
    raise CannotRun("no host answers %s %s" % (method, path))


# Replicas

class Replica:
    """A replica that serves requests and sends heartbeats. `answer` may replace its behaviour."""

    def __init__(self, site, name, service, zone="zone-1", version="v1", work_s=0.02, born=None,
                 answer=None, ip=None, slots=64):
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.version, self.work_s, self.born, self.answer = version, work_s, born, answer
        self.slots = slots
        self.sequence = 0
        self.state = "ready"
        self.alive = True
        self.runs = []  # (time, request id, path, head)
        self.lock = threading.Lock()
        self.open = set()
        self.listener = socket.socket()
        self.listener.bind((ip or "127.0.0.1", 0))
        self.listener.listen(256)
        self.address = "%s:%d" % self.listener.getsockname()
        self.first_host = len(site.replicas)
        site.replicas.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.heartbeats, daemon=True).start()

    def stop(self):
        """Ends as a crash does: all sockets close and no heartbeat follows."""
        self.alive = False
        with self.lock:
            sockets = list(self.open) + [self.listener]
        for it in sockets:
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            it.close()

    def body(self):
        self.sequence += 1
        out = {"Service": self.service, "Address": self.address, "Zone": self.zone,
               "Version": self.version, "Slots": self.slots, "State": self.state,
               "ColdRemainingMs": 0, "Sequence": self.sequence}
        if self.born is not None:
            out["born"] = self.born
        return json.dumps(out).encode()

    def beat(self):
        """One heartbeat; to the next host if one doesn't acknowledge it within a second."""
        hosts = self.site.hosts
        for n in range(len(hosts)):
            host = hosts[(self.first_host + n) % len(hosts)]
            status, _, _ = call(host.control, "PUT", "/hickorypost/instances/" + self.name,
                                {"Content-Type": "application/json"}, self.body())
            if 200 <= status < 300:
                self.first_host += n
                return True
        return False

    def heartbeats(self):
        while self.alive and not self.site.closing:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def accept(self):
        while self.alive:
            try:
                fd, _ = self.listener.accept()
            except OSError:
                return
            fd.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.add(fd)
            threading.Thread(target=self.serve, args=(fd,), daemon=True).start()

    def serve(self, fd):
        try:
            stream = fd.makefile("rb")
            while self.alive and self.serve_one(fd, stream):
                pass
        except (OSError, ValueError):
            pass
        with self.lock:
            self.open.discard(fd)
        fd.close()

    def serve_one(self, fd, stream):
        line = stream.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        fields = {}
        while True:
            row = stream.readline().decode("latin-1").rstrip("\r\n")
            if not row:
                break
            name, _, value = row.partition(":")
            fields[name.strip().lower()] = value.strip()
        body = stream.read(int(fields.get("content-length", "0")))
        return self.respond(fd, method, path, fields, body)

    def reply(self, fd, status, fields, body=b"", request=""):
        reason = http.client.responses.get(status, "Status")
        head = "HTTP/1.1 %d %s\r\n" % (status, reason)
        if request:
            head += "Request-Id: %s\r\n" % request
        for name, value in fields.items():
            head += "%s: %s\r\n" % (name, value)
        head += "Content-Length: %d\r\n\r\n" % len(body)
        fd.sendall(head.encode() + body)
        return True

    def note_run(self, request, path, fields):
        self.runs.append((now(), request, path, fields))
        self.site.record.add("%s runs %s %s" % (self.name, request, path))

    def respond(self, fd, method, path, fields, body):
        request = fields.get("request-id", "")
        expected = fields.get("expect-instance")
        if expected is not None and expected != self.name:
            return self.reply(fd, 421, {"Instance-Id": self.name}, request=request)
        if path == "/hickorypost/report":
            return self.reply(fd, 200, {"Content-Type": "application/json"}, json.dumps(
                {"Stage": "both", "Models": [], "Busy": False, "Sequence": 0, "Queued": 0,
                 "Running": 0, "KvUsed": 0, "KvTotal": 90000, "Handles": 0}).encode())
        if path == "/healthz":
            return self.reply(fd, 200, {"Instance-Id": self.name})
        if self.answer is not None:
            return self.answer(self, fd, method, path, fields, body)
        return self.run_plain(fd, path, fields)

    def run_plain(self, fd, path, fields):
        request = fields.get("request-id", "")
        self.note_run(request, path, fields)
        time.sleep(self.work_s)
        return self.reply(fd, 200, {"Response-Signature": "s." + request},
                          ("answer to " + request).encode(), request)


    def run_stream(self, fd, path, fields, events=6, gap_s=0.02):
        """A stream of events with increasing ids, from Last-Event-Id on."""
        request = fields.get("request-id", "")
        self.note_run(request, path, fields)
        fd.sendall(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n"
                    "Content-Type: text/event-stream\r\nRoute-Confidence: 95\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n" % (request, request)).encode())
        for n in range(int(fields.get("last-event-id", "0")) + 1, events + 1):
            time.sleep(gap_s)
            event = ("id: %d\ndata: part %d of %s\n\n" % (n, n, request)).encode()
            fd.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        fd.sendall(b"0\r\n\r\n")
        return True


class Traffic:
    """Clients that send requests at a steady pace to the given hosts, each on a new connection."""

    def __init__(self, site, hosts, make, per_s, name="t"):
        self.site, self.hosts, self.make, self.name = site, hosts, make, name
        self.gap = 1.0 / per_s
        self.ends = False
        self.answers = []  # (time sent, host name, request id, status)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        n = 0
        due = time.monotonic()
        while not self.ends:
            n += 1
            host = self.hosts[n % len(self.hosts)]
            threading.Thread(target=self.one, args=(host, "%s-%d" % (self.name, n)),
                             daemon=True).start()
            due += self.gap
            time.sleep(max(0.0, due - time.monotonic()))

    def one(self, host, request):
        method, path, fields, body = self.make(request)
        sent = now()
        status, _, _ = call(host.front, method, path, dict(fields, **{"Request-Id": request}), body,
                            limit=4.0)
        self.site.record.add("client gets %s for %s from %s, sent at %.3f" % (status, request,
                                                                              host.name, sent))
        self.answers.append((sent, host.name, request, status))

    def stop(self):
        self.ends = True
        self.thread.join()
        time.sleep(0.3)


def run_case(body):
    """Runs a case and ends with its exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken, text = body(trouble)
    except Exception as it:  # a fault of the script isn't one of the system
        print("could not run: %s: %s" % (type(it).__name__, it))
        sys.exit(COULD_NOT_RUN)
    print(("broken: " if broken else "held: ") + str(text))
    sys.exit(BROKEN if broken else HELD)
