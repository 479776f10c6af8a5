"""The machines without a disk are lost, the seeds among them; all processes of the core are killed.

All machines with a disk are back within a second with their disks, but none of them finds the
others: each dials only the seeds that its settings name, not the members of its group that its disk
names. No request is served, and no configuration can be read or changed, until a seed is back.
"""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "common"))

from peers import Operator, Replica, call  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECOVERY_S = 12.0  # bound RecoveryS
CONTACT_S = 3.0  # bound ContactMs
READ_S = 20.0  # the operator reads for much longer than ContactMs


def ask(host, number):
    """One client request, as to a node that the platform has chosen. Returns its status."""
    fields = {"Host": "a.example", "Api-Key": "review-key", "Request-Deadline": "2500",
              "Request-Id": f"c{number}"}
    return call(host.front, "POST", "/safe/x", "body", fields, 3.0)[0]


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=4)
    operator = Operator(record, site)
    now = time.monotonic
    replicas = []
    try:
        core, plain = site.hosts[:3], site.hosts[3:]
        seeds = plain[:3]
        for host in site.hosts:
            host.start(True, seeds)
        for version in (10, 20):
            if not operator.put(version, site.hosts, 20, now):
                record("no acknowledgement before the disruption")
                return 2
        replicas = [Replica(record, f"i-app{n}", "app") for n in (1, 2)]
        for it in replicas:
            it.start_beats([host.control for host in site.hosts])
        time.sleep(5.0)
        number, answers = 0, []
        for _ in range(10):
            for host in core:
                number += 1
                answers.append(ask(host, number))
        before = answers.count(200)
        record(f"before: {before} of {len(answers)} requests served")
        if before < len(answers) / 2:
            return 2
        if TROUBLE:
            for host in plain:
                host.kill()
            record("lost: " + ", ".join(it.name for it in plain) + ", none of which has a disk")
            time.sleep(CONTACT_S + 1.0)
            for host in core:
                reads = operator.get(host)
                record(f"operator: GET at {host.name}: {reads[0]}, version {reads[1]}")
            for host in core:
                host.kill()
            for host in core:
                host.start(False, seeds)
            record("all processes of the core killed and started again, disks preserved")
        time.sleep(RECOVERY_S)
        up = [it for it in site.hosts if it.process]
        good, last, answers, end = 0, {}, [], now() + READ_S
        while now() < end:
            for host in up:
                status, version = operator.get(host)
                if last.get(host.name) != (status, version):
                    record(f"operator: GET at {host.name}: {status}, version {version}")
                    last[host.name] = (status, version)
                good += status == 200 and version == 20
                if host in core:
                    number += 1
                    answers.append(ask(host, number))
            time.sleep(0.2)
        record(f"the configuration was read {good} times in {READ_S:.0f} s")
        record(f"after: {answers.count(200)} of {len(answers)} requests served; statuses: "
               f"{sorted(set(map(str, answers)))}")
        operator.put(30, up, 5.0, now)
        if TROUBLE:
            seeds[0].start(False, seeds)
            time.sleep(3.0)
            reads = {it.name: operator.get(it) for it in core}
            record(f"for comparison, 3 s after the first seed is back: {reads}; requests: "
                   f"{[ask(it, 'x') for it in core]}")
        record("the rule held" if good else "the rule was broken: the configuration doesn't come")
        return 0 if good else 1
    finally:
        for it in replicas:
            it.exit()
        if os.environ.get("KEEP_LOGS"):
            for host in site.hosts:
                print(f"--- {host.name}\n" + host.log.read_text())
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
