"""A replica that asks for nothing during 100 s gets requests from that machine after 60 s."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common-2"))
from deployment import *  # noqa: E402,F403

ASKED_S = 100


def config():
    return json.dumps({
        "Version": 1,
        "Routes": [{"Name": "read", "Host": "a.example", "PathPrefix": "/read/", "Kind": "safe",
                    "TimeoutMs": 1500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 240}],
        "Tenants": [{"Name": "office", "ApiKeys": ["key-1"]}]}).encode()


def request(_):
    return ("GET", "/read/sheet", {"Host": "a.example", "Api-Key": "key-1",
                                   "Request-Deadline": "1500"}, None)


class Tired:
    """Turns one request away and serves all others."""

    def __init__(self):
        self.said = None
        self.after = 0.0

    def __call__(self, replica, fd, _method, path, fields, _body):
        if self.said is None and now() > self.after > 0:
            self.said = now()
            replica.site.record.add("%s answers 503 with Retry-After: %d" % (replica.name, ASKED_S))
            return replica.reply(fd, 503, {"Not-Executed": "1", "Retry-After": str(ASKED_S)},
                                 request=fields.get("request-id", ""))
        return replica.run_plain(fd, path, fields)


def body(trouble):
    with Site(pathlib.Path(__file__).parent, net=73) as site:
        site.start()
        order(site, site.hosts, "PUT", "/hickorypost/config", config())
        site.wait_ready()
        tired = Tired()
        asks = Replica(site, "app-0", "app", answer=tired)
        Replica(site, "app-1", "app")
        time.sleep(3)
        traffic = Traffic(site, site.hosts[:1], request, 20)
        time.sleep(2)
        if trouble:
            tired.after = now()
        time.sleep(70)
        traffic.stop()
        since = tired.said
        late = [it[0] - since for it in asks.runs if since + 0.5 < it[0] < since + ASKED_S] \
            if since else []
        text = "%d requests reached the replica in that time, the first after %s s" % (
            len(late), "%.1f" % late[0] if late else "-")
        site.record.add(text)
        return len(late) > 2, text


run_case(body)
