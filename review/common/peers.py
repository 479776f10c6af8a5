"""Stand-ins for the operator, clients and replicas, as PROTOCOL.md describes them."""

import http.client
import json
import socket
import threading
import time


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """One HTTP call. Returns (status, body), or (None, reason) if there was no answer."""
    it = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        it.request(method, path, body=body, headers=headers or {})
        answer = it.getresponse()
        return answer.status, answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        it.close()


def config(version, timeout_ms=3000):
    """A small valid configuration."""
    return json.dumps({
        "Version": version,
        "Routes": [{"Name": "safe", "Host": "a.example", "PathPrefix": "/safe/", "Kind": "safe",
                    "TimeoutMs": timeout_ms, "TargetLatencyMs": 500, "Service": "app",
                    "MaxAttempts": 2},
                   {"Name": "once", "Host": "a.example", "PathPrefix": "/once/", "Kind": "unsafe",
                    "TimeoutMs": timeout_ms, "TargetLatencyMs": 500, "Service": "app",
                    "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 100}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "kuzgun", "ApiKeys": ["review-key"]}]})


class Operator:
    """Sends orders as the pages say: on to another node after a failure, a 5xx or a silent second."""

    def __init__(self, record, site):
        self.record, self.site = record, site

    def put(self, version, hosts, for_s, now):
        """Sends a configuration to `hosts` in turn until it is acknowledged. True if it was."""
        end = now() + for_s
        turn = 0
        last = None
        while now() < end:
            host = hosts[turn % len(hosts)]
            turn += 1
            status, text = call(host.control, "PUT", "/hickorypost/config", config(version),
                                {"Content-Type": "application/json"})
            if (host.name, status) != last:
                self.record(f"operator: PUT version {version} to {host.name}: {status or text}")
                last = (host.name, status)
            if status == 200:
                return True
            if status is not None and 400 <= status < 500:
                return False
            time.sleep(0.2)
        return False

    def get(self, host):
        """Reads the configuration. Returns (status, version or None)."""
        status, text = call(host.control, "GET", "/hickorypost/config")
        return status, json.loads(text)["Version"] if status == 200 else None


class Replica:
    """A replica of one service: serves one request at a time on a connection, sends heartbeats."""

    def __init__(self, record, name, service, work_s=0.0, version="v1"):
        self.record, self.name, self.service, self.work_s = record, name, service, work_s
        self.version = version
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beating = True
        self.ended = False
        self.runs = []  # (monotonic time, Request-Id)
        self.working = set()
        self.cut = []  # requests at work when it exited
        self.lock = threading.Lock()
        self.open = set()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def beat_body(self):
        with self.lock:
            self.sequence += 1
            return json.dumps({
                "Service": self.service, "Address": self.address, "Zone": "zone-0",
                "Version": self.version, "Slots": 8, "State": self.state, "ColdRemainingMs": 0,
                "Sequence": self.sequence, "born": self.born})

    def beat(self, address, body=None):
        return call(address, "PUT", "/hickorypost/instances/" + self.name, body or self.beat_body(),
                    {"Content-Type": "application/json"})

    def start_beats(self, addresses, period_s=1.2):
        def run():
            turn = 0
            while self.beating and not self.ended:
                for _ in addresses:  # on to the next node if this one doesn't acknowledge
                    status, _ = self.beat(addresses[turn % len(addresses)])
                    turn += 1
                    if status == 200 or not self.beating:
                        break
                time.sleep(period_s)
        threading.Thread(target=run, daemon=True).start()

    def leave(self, address):
        """Announces the end without `draining` before it. True if acknowledged."""
        self.beating = False
        status, _ = call(address, "DELETE", "/hickorypost/instances/" + self.name)
        return status == 200

    def exit(self):
        self.ended = True
        self.beating = False
        self.listener.close()
        with self.lock:
            self.cut = sorted(self.working)
            for it in list(self.open):
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def _accept(self):
        while not self.ended:
            try:
                it, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(it,), daemon=True).start()

    def _serve(self, it):
        with self.lock:
            self.open.add(it)
        it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = it.makefile("rb")
        try:
            while not self.ended:
                line = stream.readline()
                if not line:
                    return
                fields = {}
                while True:
                    field = stream.readline().decode("latin-1").strip()
                    if not field:
                        break
                    name, _, value = field.partition(":")
                    fields[name.lower()] = value.strip()
                stream.read(int(fields.get("content-length", 0)))
                it.sendall(self._answer(line.decode("latin-1"), fields))
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(it)
            it.close()

    def _answer(self, line, fields):
        request = fields.get("request-id", "")
        expected = fields.get("expect-instance", self.name)
        if expected != self.name:
            return ("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nRequest-Id: %s\r\n"
                    "Content-Length: 0\r\n\r\n" % (self.name, request)).encode()
        if line.split()[1] == "/healthz":
            return ("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                    % self.name).encode()
        with self.lock:
            self.runs.append((time.monotonic(), request))
            self.working.add(request)
        time.sleep(self.work_s)
        with self.lock:
            self.working.discard(request)
        body = "answer to " + request
        return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\n"
                "Content-Length: %d\r\n\r\n%s" % (request, self.name, len(body), body)).encode()
