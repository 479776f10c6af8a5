"""A frozen host wakes and withdraws an evacuation that was ordered and acknowledged meanwhile."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from deployment import *  # noqa: E402,F403

FREEZE_S = 4.5
EVACUATE_S = BOUNDS["EvacuateMs"] / 1000
EVACUATED = "zone-2"


def config():
    return json.dumps({
        "Version": 1,
        "Routes": [{"Name": "read", "Host": "a.example", "PathPrefix": "/read/", "Kind": "safe",
                    "TimeoutMs": 1500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 240}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                   "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "office", "ApiKeys": ["key-1"]}]}).encode()


def request(_):
    return ("GET", "/read/sheet", {"Host": "a.example", "Api-Key": "key-1",
                                   "Request-Deadline": "1500"}, None)


def body(trouble):
    with Site(pathlib.Path(__file__).parent, disks=3, others=4, net=65) as site:
        site.start()
        others, frozen = site.hosts[:-1], site.hosts[-1]
        path = "/hickorypost/evacuations/" + EVACUATED
        order(site, others, "PUT", "/hickorypost/config", config())
        site.wait_ready()
        for n in range(4):
            Replica(site, "i-%d" % n, "app", zone="zone-%d" % (n % 2 + 1))
        time.sleep(4)
        traffic = Traffic(site, others, request, 30)
        order(site, others, "POST", path)
        time.sleep(2)

        # The zone is taken back. The first order goes to a host that is frozen, and after a second
        # to the next one. Then the zone is emptied again.
        froze_at = now()
        if trouble:
            frozen.send_signal(signal.SIGSTOP)
        order(site, [frozen] + others, "DELETE", path)
        time.sleep(1.5)
        order(site, others, "POST", path)
        acknowledged = now()
        time.sleep(max(0.0, froze_at + FREEZE_S - now()))
        if trouble:
            frozen.send_signal(signal.SIGCONT)
        time.sleep(max(0.0, acknowledged + EVACUATE_S + 6 - now()))
        traffic.stop()

        taken_by_others = {it[2] for it in traffic.answers}
        late = [run for it in site.replicas if it.zone == EVACUATED for run in it.runs
                if run[0] > acknowledged + EVACUATE_S and run[1] in taken_by_others]
        zones = order(site, others, "GET", "/hickorypost/evacuations")[1].decode()
        site.record.add("evacuation acknowledged at %.3f and not taken back; requests that reached "
                        "the zone later than EvacuateMs after: %d; evacuations as listed: %s" %
                        (acknowledged, len(late), zones))
        return len(late) > 0, "%d requests reached the evacuated zone" % len(late)


run_case(body)
