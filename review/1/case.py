"""Final fault: all machines lose power and one loses its disk, which is back before the others.

The machine with the empty disk must not accept a configuration on its own: its acknowledgement is
worth nothing once the others are back.
"""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from peers import Operator  # noqa: E402
from site_hosts import Record, Site  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DARK_S = 10.0  # the others are without power for this long after the first is back
RECOVERY_S = 12.0  # bound RecoveryS
CONTACT_S = 3.0  # bound ContactMs
CONFIG_APPLY_S = 2.0  # bound ConfigApplyMs


def check_reads(record, operator, hosts, acknowledged):
    """Reads the configuration at all machines for over ContactMs. True if the rule holds."""
    older, newest = 0, 0
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
        time.sleep(0.2)
    record(f"read back: {newest} times version {acknowledged}, {older} times an older one")
    return older == 0 and newest > 0


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=1)
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
            if operator.put(30, [first], DARK_S - 1.0, now):
                acknowledged = 30
            while now() < back + DARK_S:
                time.sleep(0.05)
            for host in site.hosts[1:]:
                host.start(False, seeds)
            record("the other machines are back with their disks")
            time.sleep(RECOVERY_S)
        elif operator.put(30, site.hosts, 20, now):
            acknowledged = 30
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
    sys.exit(main())
