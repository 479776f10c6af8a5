"""A replica leaves with DELETE, a gateway is killed and restarted, and a heartbeat arrives late.

The restarted gateway is told by the others that the replica is gone, but takes the late heartbeat
for that of a running replica and sends it requests, also after DrainMs.
"""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "common"))

from peers import Operator, Replica, call  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # bound DrainMs
CONTACT_S = 3.0  # bound ContactMs
LATE_S = 2.0  # how late the heartbeat arrives
SERVES_S = 6.5  # the leaving replica serves for this long after the acknowledgement
WORK_S = 0.2


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=1)
    operator = Operator(record, site)
    now = time.monotonic
    replicas = []
    try:
        seeds = site.hosts[:3]
        for host in site.hosts:
            host.start(True, seeds)
        if not operator.put(10, site.hosts, 20, now):
            return 2
        controls = [it.control for it in site.hosts]
        replicas = [Replica(record, f"i-app{n}", "app", WORK_S) for n in (1, 2)]
        for it in replicas:
            it.start_beats(controls[:3])
        leaving, staying = replicas
        time.sleep(3.0)
        target = site.hosts[3]
        fields = {"Host": "a.example", "Api-Key": "review-key", "Request-Deadline": "2500"}
        status, _ = call(target.front, "POST", "/once/x", "b", {**fields, "Request-Id": "warm"}, 3)
        if status != 200:
            record(f"no service before the disruption: {status}")
            return 2

        late_beat = leaving.beat_body()  # sent now, arrives late
        sent_at = now()
        first_ack = leaving.leave(site.hosts[0].control)
        left_at = now()
        record(f"{leaving.name}: DELETE acknowledged by {site.hosts[0].name}: {first_ack}")
        if not first_ack:
            return 2
        if TROUBLE:
            target.kill()
            target.start(False, seeds)
            record(f"{target.name} killed and started again")
            while now() < sent_at + LATE_S:
                time.sleep(0.01)
            status, text = leaving.beat(target.control, late_beat)
            record(f"{leaving.name}: heartbeat sent {now() - sent_at:.1f} s ago arrives at "
                   f"{target.name}: {status} {text}")
        answers = []
        lock = threading.Lock()

        def client(number):
            n = 0
            while now() < left_at + SERVES_S + 1.0:
                n += 1
                request = f"c{number}-{n}"
                sent = now()
                status, text = call(target.front, "POST", "/once/x", "b",
                                    {**fields, "Request-Id": request}, 3)
                with lock:
                    answers.append((sent, request, status, text))
                time.sleep(0.1)

        while now() < left_at + CONTACT_S + 1.0:  # the gateway is in touch again
            time.sleep(0.05)
        clients = [threading.Thread(target=client, args=(n,)) for n in range(4)]
        for it in clients:
            it.start()
        while now() < left_at + SERVES_S:
            time.sleep(0.05)
        leaving.exit()
        record(f"{leaving.name}: exits {now() - left_at:.1f} s after the acknowledgement")
        for it in clients:
            it.join()
        late = [(at - left_at, request) for at, request in leaving.runs
                if at > left_at + DRAIN_S]
        lost = [(request, status) for _, request, status, _ in answers if status != 200]
        record(f"{len(answers)} requests; {len(late)} reached {leaving.name} later than DrainMs "
               f"after the acknowledgement; {len(lost)} had no success: {lost}")
        for at, request in late[:10]:
            record(f"  {request} ran at {leaving.name} {at:.2f} s after the acknowledgement")
        if leaving.cut:
            record(f"requests that were at work at {leaving.name} when it exited: {leaving.cut}")
        record("the rule was broken" if late else "the rule held")
        return 1 if late else 0
    finally:
        for it in replicas:
            it.exit()
        if os.environ.get("KEEP_LOGS"):
            for host in site.hosts:
                print(f"--- {host.name}\n" + host.log.read_text())
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
