"""Starts the project's gateway as separate processes on loopback addresses, as the deploy file says.

The settings come from the deploy file's template, filled in with the fields of DEPLOY.md. Stand-ins
for replicas, clients and the operator are in `peers.py`.
"""

import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

LIMIT_S = 115  # of a whole case
ROOT = pathlib.Path(__file__).resolve().parents[2]


def render(template, fields):
    """Fills in the part of the template language that the project's template uses."""

    def lookup(name):
        value = fields
        for step in name.split("."):
            if isinstance(value, list):
                value = value[int(step)] if int(step) < len(value) else None
            else:
                value = value.get(step) if isinstance(value, dict) else None
            if value is None:
                return None
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(it) for it in value)
        return str(value)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    out = section.sub(lambda m: m.group(2) if lookup(m.group(1)) not in (None, False) else "",
                      template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text_of(lookup(m.group(1))), out)


def free_ports(ips, count):
    """Returns `count` ports that are free on all addresses."""
    out = []
    while len(out) < count:
        port = random.randint(20000, 32000)
        held = []
        try:
            for ip in ips:
                it = socket.socket()
                held.append(it)
                it.bind((ip, port))
            if port not in out:
                out.append(port)
        except OSError:
            pass
        finally:
            for it in held:
                it.close()
    return out


class Host:
    """One machine that runs the gateway role."""

    def __init__(self, site, name, ip, zone, has_disk):
        self.site, self.name, self.ip, self.zone = site, name, ip, zone
        self.data = str(site.tmp / ("disk-" + name)) if has_disk else ""
        self.settings = site.tmp / (name + ".conf")
        self.log = site.tmp / (name + ".log")
        self.process = None

    @property
    def front(self):
        return (self.ip, self.site.ports[0])

    @property
    def ready(self):
        return (self.ip, self.site.ports[1])

    @property
    def control(self):
        return (self.ip, self.site.ports[2])

    def start(self, bootstrap, seeds):
        port = self.site.ports
        fields = {
            "Node": self.name, "Ip": self.ip, "Zone": self.zone,
            "Listen": {"Front": f"{self.ip}:{port[0]}", "Ready": f"{self.ip}:{port[1]}",
                       "Control": f"{self.ip}:{port[2]}"},
            "InternalPortRange": [port[3], port[3] + 15],
            "Seeds": [f"{it.ip}:{port[2]}" for it in seeds],
            "Bootstrap": bootstrap, "DataDir": self.data, "HeartbeatMs": 1200,
            "Limits": {"MemoryMb": int(os.environ.get("MEMORY_MB", "110"))},
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {"DrainMs": 2000, "GraceS": 8, "ConfigApplyMs": 2000,
                       "RetryBudgetRatio": 0.9, "BudgetWindowS": 10, "RetryBudgetSlack": 58,
                       "SessionS": 5},
        }
        # The metrics port of the template is the same on all machines; each has its own address.
        text = render((ROOT / self.site.role["template"]).read_text(), fields)
        self.settings.write_text(text)
        if self.data:
            os.makedirs(self.data, exist_ok=True)
        env = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.site.tmp),
               "HICKORYPOST_CONFIG": str(self.settings)}
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(self.site.role["run"].split(), cwd=ROOT, env=env,
                                            stdin=subprocess.DEVNULL, stdout=out, stderr=out)

    def signal(self, which):
        if self.process and self.process.poll() is None:
            self.process.send_signal(which)

    def kill(self):
        if self.process:
            self.signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def wipe(self):
        shutil.rmtree(self.data)


class Site:
    """Hosts with a disk, hosts without one, and a folder that ends with the test."""

    def __init__(self, disks, plain):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["gateway"]
        self.tmp = pathlib.Path(tempfile.mkdtemp(prefix="hickorypost-review-"))
        net = random.randint(30, 250)
        ips = [f"127.{net}.0.{n + 1}" for n in range(disks + plain)]
        self.ports = free_ports(ips, 4)
        self.hosts = [Host(self, f"edge-{n + 1}", ip, f"zone-{n % 4}", n < disks)
                      for n, ip in enumerate(ips)]

    def close(self):
        for it in self.hosts:
            it.signal(signal.SIGCONT)
            it.kill()
        shutil.rmtree(self.tmp, ignore_errors=True)


class Record:
    """Writes what was sent, answered and run to the file that run.sh names: record.txt."""

    def __init__(self, folder):
        name = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
        self.file = open(pathlib.Path(folder) / name, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self.began:7.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def run_case(main):
    """Runs a case; 2 is its exit code if it could not run, took too long or was stopped."""
    for which in (signal.SIGTERM, signal.SIGALRM):
        signal.signal(which, lambda *_: sys.exit(2))
    signal.alarm(LIMIT_S)
    try:
        return main()
    except Exception:  # pylint: disable=broad-except
        traceback.print_exc()
        return 2
