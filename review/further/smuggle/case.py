"""A request with a transfer coding that the gateway does not know holds another request as its body.

The gateway takes the first request for one without a body, and runs what follows as a second request
of the same connection. It should answer 400 and close the connection.
"""

import os
import pathlib
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "common"))

from peers import Operator, Replica  # noqa: E402
from site_hosts import Record, Site, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def send(record, host, request, coding, body):
    """Sends one request and reads for a second. Returns the first line of the answer."""
    head = (f"POST /safe/x HTTP/1.1\r\nHost: a.example\r\nApi-Key: review-key\r\n"
            f"Request-Id: {request}\r\nRequest-Deadline: 2500\r\n{coding}\r\n\r\n")
    got = b""
    with socket.create_connection(host.front, timeout=1.0) as it:
        it.sendall(head.encode() + body)
        try:
            while chunk := it.recv(65536):
                got += chunk
        except OSError:
            pass
    line = got.split(b"\r\n")[0].decode("latin-1")
    record(f"request {request} with {coding!r}: {line}")


def main():
    record = Record(FOLDER)
    site = Site(disks=3, plain=1)
    operator = Operator(record, site)
    replicas = []
    try:
        for host in site.hosts:
            host.start(True, site.hosts[:3])
        if not operator.put(10, site.hosts, 20, time.monotonic):
            return 2
        replicas = [Replica(record, "i-app1", "app")]
        replicas[0].start_beats([host.control for host in site.hosts])
        time.sleep(2.5)
        for n, coding in enumerate(("gzip", "xchunked", "identity")):
            inner = (f"POST /once/inner HTTP/1.1\r\nHost: a.example\r\nApi-Key: review-key\r\n"
                     f"Request-Id: inner-{n}\r\nContent-Length: 0\r\n\r\n").encode()
            if TROUBLE:
                send(record, site.hosts[0], f"outer-{n}", f"Transfer-Encoding: {coding}", inner)
            else:
                send(record, site.hosts[0], f"outer-{n}", f"Content-Length: {len(inner)}", inner)
        ran = [request for _, request in replicas[0].runs]
        record(f"the replica ran: {ran}")
        wrong = [it for it in ran if it.startswith("inner")]
        record("the rule was broken" if wrong else "the rule held")
        return 1 if wrong else 0
    finally:
        for it in replicas:
            it.exit()
        site.close()


if __name__ == "__main__":
    sys.exit(run_case(main))
