"""One client with a model name that no replica has takes all replicas of a service out of use."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common-2"))
from deployment import *  # noqa: E402,F403

MODELS = ["small", "medium", "large"]
CALM_S = 3
WATCH_S = 25


def config(version):
    routes = [{"Name": "read", "Host": "a.example", "PathPrefix": "/read/", "Kind": "safe",
               "TimeoutMs": 2500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 2}]
    if version > 1:
        routes.append({"Name": "plan", "Host": "a.example", "PathPrefix": "/plan/",
                       "Kind": "streaming", "TimeoutMs": 15000, "TargetLatencyMs": 2000,
                       "Service": "llm", "MaxAttempts": 3, "Sticky": True, "Resumable": True,
                       "GapTargetMs": 1000, "Sizes": MODELS})
    return json.dumps({
        "Version": version, "Routes": routes,
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110},
                     {"Name": "llm", "HealthPath": "/healthz", "MaxConnections": 370,
                      "Engine": {"Slots": 64, "KvCapacity": 444000, "Stride": 8, "Models": [
                          {"Name": it, "Cost": 0.02 * (n + 1)} for n, it in enumerate(MODELS)]}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "planner", "ApiKeys": ["key-1"]}]}).encode()


def first_route(_):
    return ("GET", "/read/plan", {"Host": "a.example", "Api-Key": "key-1",
                                  "Request-Deadline": "2500"}, None)


def later_route(name, model="*"):
    fields = {"Host": "a.example", "Api-Key": "key-1", "Request-Deadline": "15000",
              "Model-Name": model, "Token-Usage": "60,40",
              "Prompt-Prefix": "5c1e07a2:40,%x:20" % (hash(name) & 0xFFFFFFFF)}
    return ("POST", "/plan/draft", fields, b"{}")


def engine(replica, fd, _method, path, fields, _body):
    """A replica of the models: any other model name receives 421, and the request doesn't run."""
    if fields.get("model-name") not in MODELS:
        replica.site.record.add("%s answers 421 to %s, model %s" %
                                (replica.name, fields.get("request-id"), fields.get("model-name")))
        return replica.reply(fd, 421, {"Instance-Id": replica.name},
                             request=fields.get("request-id", ""))
    return replica.run_stream(fd, path, fields)


def served(traffic, since):
    asked = [it for it in traffic.answers if it[0] > since]
    return sum(1 for it in asked if it[3] == 200), len(asked)


def body(trouble):
    with Site(pathlib.Path(__file__).parent, disks=4, others=4, net=76) as site:
        site.start()
        order(site, site.hosts, "PUT", "/hickorypost/config", config(1))
        site.wait_ready()
        for n in range(4):
            Replica(site, "app-%d" % n, "app")
        for n in range(12):
            Replica(site, "llm-%d" % n, "llm", zone="zone-%d" % (n % 3 + 1), answer=engine)
        time.sleep(2)
        order(site, site.hosts, "PUT", "/hickorypost/config", config(2))
        time.sleep(4)
        first = Traffic(site, site.hosts, first_route, 10, "first")
        later = Traffic(site, site.hosts, later_route, 10, "later")
        time.sleep(CALM_S)
        calm = served(later, 0)
        for n, host in enumerate(site.hosts):
            name = "outdated-%d" % n
            method, path, fields, text = later_route(name, "retired" if trouble else "*")
            status, _, _ = call(host.front, method, path, dict(fields, **{"Request-Id": name}), text,
                                limit=5.0)
            site.record.add("client gets %s for %s, model %s, from %s" %
                            (status, name, fields["Model-Name"], host.name))
        since = now()
        time.sleep(WATCH_S)
        first.stop()
        later.stop()
        on_first, asked_first = served(first, since)
        on_later, asked_later = served(later, since)
        text = ("calm: %d of %d on the later route; after %d requests with another model name: "
                "%d of %d on the first route, %d of %d on the later one" %
                (*calm, len(site.hosts), on_first, asked_first, on_later, asked_later))
        site.record.add(text)
        if calm[0] < calm[1] or asked_later < 20 or on_first < asked_first * 0.9:
            raise CannotRun(text)
        # The rule counts the whole of the steady state, the calm seconds included.
        shares = [good / asked for good, asked in (served(first, 0), served(later, 0))]
        return shares[1] < 0.25 * shares[0], text


run_case(body)
