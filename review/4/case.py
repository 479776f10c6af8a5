"""A frozen host wakes and carries out a roll-out order that the operator has long replaced."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import *  # noqa: E402,F403

FREEZE_S = 4.5  # as long as in the site file
DOWN_S = 1.0
PER_S = 150


def config(version):
    return json.dumps({
        "Version": version,
        "Routes": [{"Name": "read", "Host": "a.example", "PathPrefix": "/read/", "Kind": "safe",
                    "TimeoutMs": 2500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "planner", "ApiKeys": ["key-1"]}]}).encode()


def rollout(target):
    return json.dumps({"Service": "app", "Target": target, "DurationS": 12}).encode()


def request(_):
    return ("GET", "/read/plan", {"Host": "a.example", "Api-Key": "key-1",
                                  "Request-Deadline": "2500"}, None)


def half_bad(replica, fd, _method, path, fields, _body):
    """Half of the answers of this version are failures, as of a bad version."""
    replica.turn = not getattr(replica, "turn", False)
    if not replica.turn:
        return replica.run_plain(fd, path, fields)
    name = fields.get("request-id", "")
    replica.note_run(name, path, fields)
    time.sleep(replica.work_s)
    return replica.reply(fd, 500, {"Response-Signature": "s." + name}, b"failed", name)


def state_of(site, hosts):
    return json.loads(order(site, hosts, "GET", "/hickorypost/rollouts/app")[1])


def body(trouble):
    with Site(pathlib.Path(__file__).parent, disks=4, others=4, net=64) as site:
        site.start()
        others, frozen = site.hosts[:-1], site.hosts[-1]
        order(site, others, "PUT", "/hickorypost/config", config(1))
        site.wait_ready()
        for n in range(2):
            Replica(site, "old-%d" % n, "app")
        time.sleep(3)
        for n in range(2):
            Replica(site, "bad-%d" % n, "app", version="v2", answer=half_bad)
        traffic = Traffic(site, others, request, PER_S)
        time.sleep(2)

        # The first order goes to a host that is frozen, and after a second to the next one.
        froze_at = now()
        if trouble:
            frozen.send_signal(signal.SIGSTOP)
        order(site, [frozen] + others, "POST", "/hickorypost/rollouts", rollout("v2"))
        while state_of(site, others)["State"] == "running" and now() < froze_at + FREEZE_S - 0.8:
            time.sleep(0.2)
        for n in range(2):
            Replica(site, "new-%d" % n, "app", version="v3")
        order(site, others, "POST", "/hickorypost/rollouts", rollout("v3"))
        time.sleep(max(0.0, froze_at + FREEZE_S - now()))
        if trouble:
            frozen.send_signal(signal.SIGCONT)
        time.sleep(4)
        before = state_of(site, others)
        traffic.stop()

        # The final fault: all processes are killed right after an acknowledgement.
        order(site, others, "PUT", "/hickorypost/config", config(2))
        if trouble:
            for it in site.hosts:
                it.kill()
            time.sleep(DOWN_S)
            for it in site.hosts:
                it.start()
            site.wait_ready()
        after = state_of(site, others)
        site.record.add("last acknowledged roll-out: v3; before the final fault %s, after it %s" %
                        (before, after))
        return after["Target"] != "v3", ("the roll-out to v3 was acknowledged last; read back: %s" %
                                         after)


run_case(body)
