"""The leader freezes for less than half a second; meanwhile a gateway without a disk is killed.

The gateway had passed one configuration on to the leader before it was killed. Once the leader runs
again, its reply for that configuration reaches the restarted gateway, which takes it for the reply
to another configuration and acknowledges that one, though the leader has never seen it.
"""

import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from peers import Operator, call, config  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FREEZE_S = 0.45  # shorter than any election timeout, so that the leader stays the leader
KILL_AFTER_S = 0.05
SECOND_ORDER_AFTER_S = 0.35
CONTACT_S = 3.0  # bound ContactMs
CONFIG_APPLY_S = 2.0  # bound ConfigApplyMs


def leader_of(site):
    """The host that the logs name as the leader of the newest term."""
    found, newest = None, -1
    for host in site.hosts[:4]:
        for line in host.log.read_text(errors="replace").splitlines():
            if "leader of the control log in term " in line:
                term, name = line.split("in term ")[1].split('"')[0].split(": ")
                if int(term) >= newest and name != "none":
                    newest, found = int(term), name
    return next((it for it in site.hosts if it.ip == found), None)


def put(record, host, version, label):
    status, text = call(host.control, "PUT", "/hickorypost/config", config(version),
                        {"Content-Type": "application/json"})
    record(f"  {label}: PUT version {version} to {host.name}: {status or text}")
    return status == 200


def main():
    record = Record(FOLDER)
    site = Site(disks=4, plain=4)
    operator = Operator(record, site)
    now = time.monotonic
    try:
        seeds = site.hosts[:3]
        other = site.hosts[4]
        readers = site.hosts[:5]
        for host in site.hosts:
            host.start(True, seeds)
        version = 10
        if not operator.put(version, [other], 20, now):
            return 2
        time.sleep(1.5)
        # Each round takes another machine without a disk, to which the operators have sent nothing.
        for number, victim in enumerate(site.hosts[5:]):
            leader = leader_of(site)
            if leader is None:
                record("no leader is known")
                return 2
            first, second = version + 10, version + 20
            version = second
            acknowledged = set()
            if not TROUBLE:
                record(f"round {number}: no disruption")
            else:
                leader.signal(signal.SIGSTOP)
                record(f"round {number}: {leader.name}, the leader, freezes")
            frozen_at = now()

            def one():
                """The first operator: on to another node after a failure."""
                for host in (victim, other, other, other):
                    if put(record, host, first, "operator 1"):
                        acknowledged.add(first)
                        return
                    time.sleep(0.1)

            def two():
                """The second operator."""
                time.sleep(SECOND_ORDER_AFTER_S)
                if put(record, victim, second, "operator 2"):
                    acknowledged.add(second)

            threads = [threading.Thread(target=it) for it in (one, two)]
            for it in threads:
                it.start()
            if TROUBLE:
                time.sleep(KILL_AFTER_S)
                victim.kill()
                victim.start(False, seeds)
                record(f"  {victim.name} killed and started again")
                time.sleep(max(0.0, frozen_at + FREEZE_S - now()))
                leader.signal(signal.SIGCONT)
                record(f"  {leader.name} runs again after {now() - frozen_at:.2f} s")
            for it in threads:
                it.join()
            if not acknowledged:
                continue
            newest = max(acknowledged)
            time.sleep(CONFIG_APPLY_S + 0.1)
            reads = {it.name: operator.get(it) for it in readers}
            if all(status != 200 or read >= newest for status, read in reads.values()):
                continue
            record(f"version {newest} was acknowledged; read back: {reads}")
            time.sleep(CONTACT_S)
            reads = {it.name: operator.get(it) for it in site.hosts}
            record(f"read back after ContactMs more: {reads}")
            record("the rule was broken")
            return 1
        record("the rule held")
        return 0
    finally:
        if os.environ.get("KEEP_LOGS"):
            for host in site.hosts:
                print(f"--- {host.name}\n" + host.log.read_text())
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
