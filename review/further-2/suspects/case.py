"""A replica with a name that isn't UTF-8 crashes; asking for suspects ends each host that is asked."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common-2"))
from deployment import *  # noqa: E402,F403

ROUNDS = 3
ASKED = 2  # of four machines


def config():
    return json.dumps({
        "Version": 1,
        "Routes": [{"Name": "approve", "Host": "a.example", "PathPrefix": "/approve/", "Kind": "unsafe",
                    "TimeoutMs": 1500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 1}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 240}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "office", "ApiKeys": ["key-1"]}]}).encode()


def request(name):
    return ("POST", "/approve/" + name, {"Host": "a.example", "Api-Key": "key-1",
                                     "Request-Deadline": "1500"}, b"{}")


class OddlyNamed(Replica):
    """A replica whose name has a byte that can't be read as UTF-8."""

    def beat(self):
        host = self.site.hosts[self.sequence % len(self.site.hosts)]
        text = self.body()
        head = b"PUT /hickorypost/instances/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json" \
               b"\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (
                   self.name.encode("latin-1"), host.ip.encode(), len(text))
        try:
            with socket.create_connection(host.control, 1) as it:
                it.settimeout(1)
                it.sendall(head + text)
                reply = it.recv(64)
        except OSError:
            reply = b""
        self.site.record.add("heartbeat of %r to %s: %r" % (self.name, host.name, reply[:15]))

    def respond(self, fd, method, path, fields, body):
        fields.pop("expect-instance", None)  # the name, as sent, is this one's
        return super().respond(fd, method, path, fields, body)


def ends_by_itself(site, host):
    """Asks for the suspects as an operator does. Restarts the process if that has ended it."""
    url = "http://%s:%d" % host.control
    try:
        asked = subprocess.run([site.command[0], "suspects", "--control", url], check=False,
                               capture_output=True, timeout=2, cwd=TOP).stdout
    except subprocess.TimeoutExpired:
        asked = b"no answer"
    ended = host.process.poll()
    site.record.add("operator asks %s for suspects: %r; the process %s" %
                    (host.name, asked[:200],
                     "runs" if ended is None else "has ended with %d" % ended))
    if ended is None:
        return False
    host.start()
    return True


def body(trouble):
    with Site(pathlib.Path(__file__).parent, net=69) as site:
        site.start()
        order(site, site.hosts, "PUT", "/hickorypost/config", config())
        site.wait_ready()
        Replica(site, "app-0", "app", work_s=0.3)
        odd = OddlyNamed(site, "app-gr\u00fcn" if trouble else "app-grun", "app", work_s=0.3)
        time.sleep(4)
        traffic = Traffic(site, site.hosts, request, 30)
        time.sleep(3)
        ran = len(odd.runs)
        site.record.add("%r crashes, having run %d requests" % (odd.name, ran))
        odd.stop()
        time.sleep(2)
        ends = {it.name: 0 for it in site.hosts[:ASKED]}
        for _ in range(ROUNDS):
            for it in site.hosts[:ASKED]:
                ends[it.name] += 1 if ends_by_itself(site, it) else 0
            time.sleep(4)
            site.wait_ready()
        traffic.stop()
        text = "ends of processes by themselves: %s" % ends
        site.record.add(text)
        if ran == 0:
            raise CannotRun("the replica got no request")
        return sum(1 for n in ends.values() if n >= 3) >= 2, text


run_case(body)
