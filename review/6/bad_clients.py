"""Clients that send much at once and go: `bad_clients.py PORT FIRST COUNT`. Starts to send at a line on standard input."""

import os
import select
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "rig-2"))
import rig

COMMANDS = 800
GO_AFTER_S = 1.5
TIME_LEFT_MS = 5000


def much(number, long):
    """What one client sends at once: valid messages, none longer than the 64 KiB of a body."""
    sizes = [65536 if long and n % 64 == 0 else 900 if long else 1 for n in range(COMMANDS)]
    return b"".join(rig.put(f"{number:08x}{n:08x}", "status-sync", 1, TIME_LEFT_MS, b"a" * size)
                    for n, size in enumerate(sizes))


port, first, count = map(int, sys.argv[1:4])
left, open_sockets = {}, []
for number in range(first, first + count):
    s = socket.create_connection(("127.0.0.1", port), 5)
    s.setblocking(False)
    open_sockets.append(s)
    left[s] = memoryview(much(number, number - first < 0.4 * count))
print("connected", flush=True)
sys.stdin.readline()
end, answered = time.monotonic() + GO_AFTER_S, 0
while time.monotonic() < end:
    readable, writable, _ = select.select(open_sockets, list(left), [], 0.02)
    for s in writable:
        try:
            left[s] = left[s][s.send(left[s]):]
            if not left[s]:
                del left[s]
        except BlockingIOError:
            pass
        except OSError:
            del left[s]
    for s in readable:
        try:
            text = s.recv(65536)
        except OSError:
            text = b""
        answered += text.count(b"\n")
        if not text:
            open_sockets.remove(s)
            left.pop(s, None)
for s in open_sockets:
    s.close()
print(answered, flush=True)
