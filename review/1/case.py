"""Final fault: all machines lose power and one loses its disk, which is back before the others.

The machine with the empty disk founds a group of its own and acknowledges configurations that the
others, once they are back, do not know. From then on two leaders answer for the same system.
"""

import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from peers import Operator, call  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CHANGES = (30, 40, 50)  # versions that the operator sends while the others are dark
DARK_S = 10.0  # the others are without power for this long after the first is back
RECOVERY_S = 12.0  # bound RecoveryS
CONTACT_S = 3.0  # bound ContactMs
CONFIG_APPLY_S = 2.0  # bound ConfigApplyMs


def check_reads(record, operator, hosts, acknowledged):
    """Reads what was acknowledged at all machines for over ContactMs. True if the rule holds."""
    older, newest, gone, kept = 0, 0, 0, 0
    end = time.monotonic() + CONTACT_S + 1.0
    last = {}
    while time.monotonic() < end:
        for host in hosts:
            status, version = operator.get(host)
            if last.get(host.name) != (status, version):
                record(f"operator: GET at {host.name}: {status}, version {version}")
                last[host.name] = (status, version)
            newest += status == 200 and version == acknowledged
            older += status == 200 and version < acknowledged
            status, text = call(host.control, "GET", "/hickorypost/rollouts/app")
            if last.get(host.name + " rollout") != status:
                record(f"operator: GET of the rollout at {host.name}: {status} {text}")
                last[host.name + " rollout"] = status
            kept += status == 200
            gone += status == 404
        time.sleep(0.2)
    record(f"read back: {newest} times version {acknowledged}, {older} times an older one")
    record(f"the rollout was read {kept} times and unknown {gone} times")
    return older == 0 and newest > 0 and gone == 0 and kept > 0


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=4)
    operator = Operator(record, site)
    now = time.monotonic
    try:
        seeds = site.hosts[:3]
        for host in site.hosts:
            host.start(True, seeds)
        for version in (10, 20):
            if not operator.put(version, site.hosts, 20, now):
                record("no acknowledgement before the disruption")
                return 2
        acknowledged = 20
        status, _ = call(site.hosts[3].control, "POST", "/hickorypost/rollouts",
                         json.dumps({"Service": "app", "Target": "v2", "DurationS": 12}),
                         {"Content-Type": "application/json"})
        record(f"operator: POST rollout of app to v2 at {site.hosts[3].name}: {status}")
        if status != 200:
            return 2
        if TROUBLE:
            for host in site.hosts:
                host.kill()
            first = site.hosts[0]
            first.wipe()
            record(f"all machines have lost power, {first.name} its disk too")
            time.sleep(1.0)
            first.start(False, seeds)
            back = now()
            record(f"{first.name} is back with an empty disk")
            for version in CHANGES:
                if operator.put(version, [first], back + DARK_S - 1.0 - now(), now):
                    acknowledged = version
            while now() < back + DARK_S:
                time.sleep(0.05)
            for host in site.hosts[1:]:
                host.start(False, seeds)
            record("the other machines are back with their disks")
            time.sleep(RECOVERY_S)
        else:
            for version in CHANGES:
                if operator.put(version, site.hosts, 10, now):
                    acknowledged = version
            time.sleep(CONFIG_APPLY_S)
        held = check_reads(record, operator, site.hosts, acknowledged)
        if TROUBLE and acknowledged == 20:
            record("the machine with the empty disk has acknowledged nothing")
        record("the rule held" if held else "the rule was broken")
        return 0 if held else 1
    finally:
        if os.environ.get("KEEP_LOGS"):
            for host in site.hosts:
                print(f"--- {host.name}\n" + host.log.read_text())
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
