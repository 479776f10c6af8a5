#!/usr/bin/env python3
"""Runs the build line of deploy/system.toml and compares what it uses with the packages listed there.

usage: package_check.py [TREE]

The line runs on a copy of the files of TREE, without variables of the caller. The build fails the check if it
- uses a file of a package that neither `packages` nor a dependency of those brings, or of no package;
- includes a header or starts a program of a package that `packages` does not name itself;
- names a package that it does not use;
- writes outside target/ and the folder for temporary files, or opens a network socket.
"""
import collections
import dataclasses
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib

# Needed by the program when it runs, not by the build: GLib loads its TLS back end as a plugin.
RUN_TIME_PACKAGES = {"glib-networking"}
# Programs whose children are started by the build itself; a compiler's children are its own matter.
BUILD_DRIVERS = {"sh", "dash", "bash", "cmake", "ninja"}
# Made by the system's own tools, and owned by no package.
GENERATED = re.compile(r"/(etc|proc|sys|dev)/|/usr/lib/locale/locale-archive$|.*/gconv-modules\.cache$")
# Folders in which the linker and the C library read whatever is installed: extensions, not dependencies.
EXTENSIONS = re.compile(r"/etc/ld\.so\.conf\.d/|/usr/lib/bfd-plugins/|/usr/share/locale/")
ENVIRONMENT = {"PATH": "/usr/sbin:/usr/bin:/sbin:/bin", "HOME": "/nonexistent", "LANG": "C.UTF-8"}


class PackageDatabase:
    """Debian's installed packages: which owns a file, and which brings which others."""

    def __init__(self, root=pathlib.Path("/var/lib/dpkg")):
        self.owners, self.depends, self.provides = {}, {}, collections.defaultdict(list)
        self.essential = set()
        self._read_status(root / "status")
        for it in (root / "info").glob("*.list"):
            name = it.stem.split(":")[0]
            for line in it.read_text().splitlines():
                self.owners.setdefault(merged_usr(line), name)

    def _read_status(self, path):
        for paragraph in path.read_text().split("\n\n"):
            fields = dict(re.findall(r"^([A-Za-z-]+): (.*)$", paragraph, re.M))
            if not fields.get("Status", "").endswith(" installed"):
                continue
            name = fields["Package"]
            text = ", ".join(fields[it] for it in ("Pre-Depends", "Depends") if it in fields)
            self.depends[name] = [re.findall(r"(?:^|\|)\s*([a-z0-9][a-z0-9+.-]*)", group)
                                  for group in text.split(",") if group.strip()]
            for it in re.findall(r"(?:^|,)\s*([a-z0-9][a-z0-9+.-]*)", fields.get("Provides", "")):
                self.provides[it].append(name)
            if fields.get("Essential") == "yes":
                self.essential.add(name)

    def owner(self, path):
        """The package that owns `path`, or the first of the links from it that has an owner."""
        for _ in range(16):
            path = os.path.join(os.path.realpath(os.path.dirname(path)), os.path.basename(path))
            if owner := self.owners.get(merged_usr(path)):
                return owner
            if not os.path.islink(path):
                return None
            path = os.path.join(os.path.dirname(path), os.readlink(path))
        return None

    def closure(self, names):
        """`names` with the essential packages and all that these depend on, without recommendations."""
        due, known = [*names, *self.essential], set()
        while due:
            name = due.pop()
            if name in known:
                continue
            known.add(name)
            for alternatives in self.depends.get(name, []):
                installed = [it for name in alternatives
                             for it in ([name] if name in self.depends else self.provides[name])]
                due += installed[:1]
        return known


def merged_usr(path):
    return re.sub(r"^/(bin|sbin|lib\w*)/", r"/usr/\1/", path)


@dataclasses.dataclass
class Usage:
    """What the processes of a build did."""

    read: set = dataclasses.field(default_factory=set)
    written: set = dataclasses.field(default_factory=set)
    started: set = dataclasses.field(default_factory=set)  # by the build itself
    sockets: set = dataclasses.field(default_factory=set)  # programs that open one for a network


CALL = re.compile(r'^(\d+) +(\w+)\((.*)\) += (\d+)')
FOLDER = re.compile(r"\w+<([^>]*)>, ")
QUOTED = re.compile(r'"((?:[^"\\]|\\.)*)"')


def parse_trace(lines):
    """Reads the output of strace -f."""
    usage, calls = Usage(), [it.groups() for it in map(CALL.match, lines) if it]
    parents = {child: pid for pid, name, _, child in calls if name in ("clone", "clone3", "fork", "vfork")}
    programs = {}
    for pid, name, arguments, _ in calls:
        quoted = QUOTED.search(arguments)
        path = quoted.group(1) if quoted else ""
        if name == "socket":
            if "AF_INET" in arguments:
                usage.sockets.add(programs.get(pid, "sh"))
        elif name == "execve":
            ancestor = pid
            while ancestor not in programs and ancestor in parents:
                ancestor = parents[ancestor]
            if os.path.basename(programs.get(ancestor, "sh")) in BUILD_DRIVERS:
                usage.started.add(path)
            programs[pid] = path
            usage.read.add(path)
        elif name in ("open", "openat", "creat"):
            if folder := FOLDER.match(arguments):
                path = os.path.join(folder.group(1), path)
            is_written = name == "creat" or re.search(r"O_(WRONLY|RDWR|CREAT)", arguments)
            (usage.written if is_written else usage.read).add(os.path.normpath(path))
    return usage


def run_traced(line, tree):
    """Runs a build line in `tree`; returns its usage. Raises CalledProcessError if it fails."""
    with tempfile.NamedTemporaryFile(suffix=".trace") as trace:
        subprocess.run(["strace", "-f", "-y", "-qq", "--seccomp-bpf", "-s", "4096", "-e", "status=successful",
                        "-e", "signal=none", "-o", trace.name, "-e",
                        "trace=execve,open,openat,creat,socket,clone,clone3,fork,vfork",
                        "/bin/sh", "-c", line],
                       cwd=tree, env=ENVIRONMENT, check=True)
        with open(trace.name, errors="replace") as lines:
            return parse_trace(lines)


def included_headers(tree, usage):
    """Headers outside `tree` that its sources include by name, but those of the standard C++ library."""
    outside = [it for it in usage.read if not it.startswith(f"{tree}/")]
    names = set()
    for it in usage.read:
        if it.startswith(f"{tree}/") and it.endswith((".cpp", ".h")):
            names.update(re.findall(r"^\s*#\s*include\s*<([^>]+)>", pathlib.Path(it).read_text(), re.M))
    for name in sorted(names):
        found = [it for it in outside if it.endswith(f"/{name}")]
        if found and re.search(r"[./]", name):
            yield name, min(found, key=len)


def find_faults(packages, tree, usage, database):
    """The reasons why a build of `tree` with `usage` is not served by `packages`; none if it is."""
    tree, temporary = os.path.realpath(tree), os.path.realpath(tempfile.gettempdir())
    extensions = {database.owner(it) for it in usage.read if EXTENSIONS.match(it)} - {None}
    brought = database.closure(packages) | database.closure(extensions)
    faults, used = [], set()
    for path in sorted(usage.read):
        if path.startswith(f"{tree}/") or not os.path.isfile(path):
            continue
        owner = database.owner(path)
        used.add(owner)
        if owner is None and not GENERATED.match(path):
            faults.append(f"{path} belongs to no package")
        elif owner is not None and owner not in brought:
            faults.append(f"{path} comes from {owner}, which nothing listed brings")
    for name, path in included_headers(tree, usage):
        if (owner := database.owner(path)) and owner not in packages:
            faults.append(f"<{name}> is included, but its package {owner} is not listed")
    for path in sorted(usage.started):
        owner = database.owner(path)
        if owner not in packages and owner not in database.essential:
            faults.append(f"{path} is started, but its package {owner} is not listed")
    for name in packages:
        if name not in used and name not in RUN_TIME_PACKAGES:
            faults.append(f"{name} is listed, but the build uses no file of it")
    for path in sorted(usage.written):
        inside = path.startswith(f"{tree}/")
        if not path.startswith(f"{tree}/target/" if inside else (f"{temporary}/", "/dev/")):
            faults.append(f"{path} is written, outside target/")
    faults += [f"{it} opens a network socket" for it in sorted(usage.sockets)]
    return faults


def copy_files(source, target):
    """Copies the files of a work tree that git tracks or would add."""
    names = subprocess.run(["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard",
                            "--", ":!journal"], cwd=source, check=True, capture_output=True, text=True)
    for name in filter(None, names.stdout.split("\0")):
        if (source / name).is_file():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source / name, target / name)


def main():
    top = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else pathlib.Path(__file__).parents[2]).resolve()
    with tempfile.TemporaryDirectory() as folder:
        tree = pathlib.Path(folder).resolve()
        copy_files(top, tree)
        deploy = tomllib.loads((tree / "deploy/system.toml").read_text())
        try:
            usage = run_traced(deploy["build"], tree)
        except subprocess.CalledProcessError as error:
            print(f"build: failed with exit code {error.returncode}")
            return 1
        database = PackageDatabase()
        owners = collections.Counter(database.owner(it) for it in usage.read if os.path.isfile(it))
        for name, n in sorted((name, n) for name, n in owners.items() if name):
            print(f"build: {n:5} files of {name}")
        faults = find_faults(deploy["packages"], tree, usage, database)
    for it in faults:
        print(f"build: {it}")
    print(f"build: {len(faults)} faults in the list of packages")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
