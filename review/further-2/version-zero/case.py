"""A first configuration with the version 0 is acknowledged and kept nowhere."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "common-2"))
from deployment import *  # noqa: E402,F403


def config(version):
    return json.dumps({
        "Version": version,
        "Routes": [{"Name": "read", "Host": "a.example", "PathPrefix": "/read/", "Kind": "safe",
                    "TimeoutMs": 1500, "TargetLatencyMs": 150, "Service": "app", "MaxAttempts": 2}],
        "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConnections": 240}]}).encode()


def body(trouble):
    with Site(pathlib.Path(__file__).parent, net=72) as site:
        site.start()
        sent = config(0 if trouble else 1)
        status, _ = order(site, site.hosts, "PUT", "/hickorypost/config", sent)
        time.sleep(BOUNDS["ConfigApplyMs"] / 1000)
        reads = []
        end = now() + BOUNDS["ContactMs"] / 1000 + 1
        while now() < end:
            reads.append(order(site, site.hosts, "GET", "/hickorypost/config"))
            time.sleep(0.5)
        text = "acknowledged with %d; read back: %s" % (status, [it[0] for it in reads])
        site.record.add(text)
        return status == 200 and all(it != (200, sent) for it in reads), text


run_case(body)
