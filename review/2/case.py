"""A replica answers a long request early, without a length, and its connection is reset on the way.

The gateway is still sending the rest of the request. Its send takes the error of the reset from the
socket, so that the next read looks like the orderly end of the answer: the client gets the part of
the body as a complete answer with the replica's signature.
"""

import os
import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from peers import Operator, Replica, call  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 960
SPOIL_EVERY = 25  # two replicas of four break off 1 in 25 of their answers, as `garble` does
BODY_BYTES = 4_000_000  # below the limit MaxBodyBytes (4,194,304)
READ_BEFORE_ANSWER = 65_536


class EarlyReplica(Replica):
    """Answers each request, without a length, before it has read all of a long one."""

    def __init__(self, *args):
        super().__init__(*args)
        self.spoils = False
        # Inherited by accepted connections. Without it the kernel takes the whole request.
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.broken_off = {}  # Request-Id: bytes of the body that were sent
        self.whole = {}

    def _serve(self, it):
        with self.lock:
            self.open.add(it)
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                got = it.recv(4096)
                if not got:
                    return
                head += got
            head, _, rest = head.partition(b"\r\n\r\n")
            fields = {}
            for line in head.decode("latin-1").split("\r\n")[1:]:
                name, _, value = line.partition(":")
                fields[name.lower()] = value.strip()
            length = int(fields.get("content-length", 0))
            read = len(rest)
            while read < min(length, READ_BEFORE_ANSWER):
                read += len(it.recv(65536))
            request = fields.get("request-id", "")
            body = ("answer to " + request).ljust(1000, ".").encode()
            answer = (f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Signature: "
                      f"s.{self.name}\r\nConnection: close\r\n\r\n").encode()
            with self.lock:
                self.runs.append((time.monotonic(), request))
                spoil = self.spoils and len(self.runs) % SPOIL_EVERY == 0
                if spoil:
                    self.broken_off[request] = len(body) // 2
                else:
                    self.whole[request] = len(body)
            if spoil:
                it.sendall(answer + body[:len(body) // 2])
                time.sleep(0.02)
                # Closed with unread bytes, as if the process had crashed: the kernel resets it.
                return
            it.sendall(answer + body)
            while read < length:  # reads on later
                got = it.recv(1 << 20)
                if not got:
                    return
                read += len(got)
            it.shutdown(socket.SHUT_WR)
            it.settimeout(2.0)
            it.recv(1)
        except OSError:
            pass
        finally:
            with self.lock:
                self.open.discard(it)
            it.close()


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=4)
    operator = Operator(record, site)
    now = time.monotonic
    replicas = []
    try:
        for host in site.hosts:
            host.start(True, site.hosts[:3])
        if not operator.put(10, site.hosts, 20, now):
            return 2
        replicas = [EarlyReplica(record, f"i-app{n}", "app") for n in (1, 2, 3, 4)]
        replicas[0].spoils = replicas[1].spoils = TROUBLE
        for it in replicas:
            it.start_beats([host.control for host in site.hosts])
        time.sleep(2.5)
        fields = {"Host": "a.example", "Api-Key": "review-key", "Request-Deadline": "2500"}
        body = b"b" * BODY_BYTES
        answers, lock = {}, threading.Lock()

        def client(number):
            host = site.hosts[number % len(site.hosts)]
            for n in range(REQUESTS // 4):
                request = f"c{number}-{n}"
                got = call(host.front, "POST", "/once/x", body,
                           {**fields, "Request-Id": request}, 4.0)
                with lock:
                    answers[request] = got

        threads = [threading.Thread(target=client, args=(n,)) for n in range(4)]
        for it in threads:
            it.start()
        for it in threads:
            it.join()
        broken_off = {k: v for it in replicas for k, v in it.broken_off.items()}
        whole = {k: v for it in replicas for k, v in it.whole.items()}
        statuses = {}
        for status, _ in answers.values():
            statuses[str(status)] = statuses.get(str(status), 0) + 1
        record(f"{len(answers)} requests, statuses {statuses}; "
               f"{len(broken_off)} answers were reset on the way by the replica")
        wrong = 0
        for request, (status, text) in sorted(answers.items()):
            if request in broken_off:
                record(f"  {request}: the replica sent {broken_off[request]} of 1000 bytes and was "
                       f"reset; the client got {status}, {len(text)} bytes, complete")
            if status == 200 and len(text) != whole.get(request, -1):
                wrong += 1
        if TROUBLE and not broken_off:
            return 2
        record(f"{wrong} clients got a success with a part of the replica's body")
        record("the rule was broken" if wrong else "the rule held")
        return 1 if wrong else 0
    finally:
        for it in replicas:
            it.exit()
        if os.environ.get("KEEP_LOGS"):
            for host in site.hosts:
                print(f"--- {host.name}\n" + host.log.read_text())
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
