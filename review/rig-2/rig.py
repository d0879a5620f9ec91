"""Stand-ins for the cases of the second review: clients, endpoints, discovery and the platform, all on loopback.

Only the standard library is used. A stand-in does what PROTOCOL describes and behaves soundly where it is silent.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, case):
        self.file = open(os.path.join(case, "record.txt"), "w", buffering=1)
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


def held_socket():
    """A listening socket that every process inherits as descriptor 5. To be called before anything else opens files."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    held.listen(512)
    port = held.getsockname()[1]
    if held.fileno() != 5:
        os.dup2(held.fileno(), 5, inheritable=True)
        held.close()
    else:
        os.set_inheritable(held.detach(), True)
    return port


def free_port(address="127.0.0.1"):
    with socket.socket() as s:
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind((address, 0))
        return s.getsockname()[1]


def free_ports(count):
    """Returns ports that are all free at the same time."""
    held = []
    for _ in range(count):
        s = socket.socket()
        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        s.bind(("127.0.0.1", 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def settings(**changes):
    """The settings of a small deployment, as WIRE shows them. `changes` replaces whole entries."""
    base = {
        "Azs": ["block-a", "block-b"], "Balancers": 2, "Clients": {"MarksRetry": False},
        "Customers": [{"Fraction": 1.0, "Name": "oduya-forms", "QuotaRps": 60.0}],
        "Discovery": "push", "Family": "deliver",
        "FamilyInfo": {"BatchByKind": [10, 1], "Carriage": [0.0, 0.0], "KindApart": [False, False],
                       "Late": "line", "RefusalCost": 0.05, "Workers": 13},
        "Layers": ["outbound-receivers"],
        "Limits": {"Cancel": True, "ConnectTimeoutUs": 1500000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 110000,
                   "IdleCloseUs": 5000000, "MaxAttempts": 6, "MaxOpen": 313, "MaxRetryAfterUs": 2000000,
                   "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": False,
                   "StreamsPerConn": 1},
        "Ordinal": 0, "OverShareWorth": 0.05,
        "Prices": {"Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.04, "LateFail": 0.02,
                   "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.03},
        "Profiles": [
            {"Effect": "guarded", "Group": "all", "HardLimitUs": 24000000, "LateShare": 0.5,
             "Name": "response-push", "ObjectiveUs": 2500000, "Streamed": False, "WindowUs": 10000000,
             "Worth": 1.0},
            {"Effect": "free", "Group": "all", "HardLimitUs": 5000000, "LateShare": 0.0, "Name": "status-sync",
             "ObjectiveUs": 1500000, "Streamed": False, "WindowUs": 5000000, "Worth": 2.0},
            {"Effect": "single_shot", "Group": "all", "HardLimitUs": 28000000, "LateShare": 0.4,
             "Name": "airtime-payout", "ObjectiveUs": 2500000, "Streamed": False, "WindowUs": 5000000,
             "Worth": 5.0}],
        "QuantumUs": 5000,
        "Rules": {"AnswerSlackUs": 20000, "AskEveryUs": 10000000, "ColdFrom": 0.19, "DrainGraceUs": 1000000,
                  "FallMultiple": 2.0, "FallUs": 2000000, "WarmUpUs": 10000000},
        "ScoreParts": {"Whole": 0.45, "WorstClass": 0.2, "WorstTenant": 0.1, "WorstWindow": 0.25},
        "Shapes": ["bulk-partner", "client-hook"], "Stage": 0, "Stats": {"Fields": [], "Source": "silent"},
        "ValueBy": "request", "Weights": "nominal", "Zone": 0,
    }
    base.update(changes)
    return base


def line(name, port, group, status="Ready", kind="client-hook", weight=20.0, zone="block-a"):
    """An endpoint as discovery lists it."""
    return {"name": name, "address": f"127.0.0.1:{port}", "zone": zone, "type": kind, "group": group,
            "status": status, "weight": weight, "since_ms": 0}


async def read_head(reader):
    """Reads the head of an HTTP message; returns its first line and its headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = dict((k.strip().lower(), v.strip()) for k, _, v in (l.partition(":") for l in lines[1:] if l))
    return lines[0], headers


def response(status, headers=(), body=b"", close=False):
    text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    text += "".join(f"{k}: {v}\r\n" for k, v in headers)
    return (text + ("Connection: close\r\n" if close else "") + "\r\n").encode() + body


class Discovery:
    """The agent on the sender's machine: the list of endpoints, its changes, and the platform's notices."""

    def __init__(self, record, endpoints, index=41):
        self.record, self.index, self.down = record, index, False
        self.entries = {e["name"]: e for e in endpoints}
        self.changed = {name: index for name in self.entries}
        self.news = asyncio.Condition()
        self.notices = {}
        self.told = {}
        # How long an answer to a question for the list takes, in seconds.
        self.delay = 0.0
        self.polls = 0
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def change(self, entries):
        """Publishes changed entries as the next version."""
        async with self.news:
            self.index += 1
            for e in entries:
                self.entries[e["name"]] = e
                self.changed[e["name"]] = self.index
            self.news.notify_all()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if first.startswith("POST /reports"):
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.setdefault(notice["id"], (notice, time.monotonic()))
                        self.record(f"notice {text}")
                    writer.write(response(204))
                    await writer.drain()
                    continue
                self.polls += 1
                await asyncio.sleep(self.delay)
                while self.down:
                    await asyncio.sleep(0.02)
                if "follow=1" in first:
                    await self.watch(writer, int(first.split("since=")[1].split()[0].split("&")[0]))
                    return
                listed = [e for e in self.entries.values() if e["status"] != "Gone"]
                text = json.dumps({"index": self.index, "snapshot": True, "endpoints": listed}).encode()
                writer.write(response(200, body=text))
                await writer.drain()
                self.note_told(self.entries.values())
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def note_told(self, entries):
        for e in entries:
            if e["status"] != "Ready":
                self.told.setdefault(e["name"], time.monotonic())

    async def watch(self, writer, since):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def chunk(text):
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")

        while True:
            while self.down:
                await asyncio.sleep(0.02)
            if self.index > since:
                fresh = [e for n, e in self.entries.items() if self.changed[n] > since]
                chunk(json.dumps({"index": self.index, "snapshot": False, "endpoints": fresh}).encode() + b"\n")
                since = self.index
                await writer.drain()
                self.note_told(fresh)
                continue
            async with self.news:
                try:
                    await asyncio.wait_for(self.news.wait_for(lambda: self.index > since), 2.0)
                    continue
                except asyncio.TimeoutError:
                    pass
            if not self.down:
                chunk(b"\n")
                await writer.drain()


class Endpoint:
    """An endpoint of a destination. `answer(call)` returns (status, headers, body) or None for no answer."""

    def __init__(self, record, name, group, answer=None):
        self.record, self.name, self.group = record, name, group
        self.answer = answer or self.usual
        self.calls = []
        self.port = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    @staticmethod
    async def usual(call):
        await asyncio.sleep(0.15)
        return 200, (), b""

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first_byte = time.monotonic()
                first, headers = head
                if first.startswith("GET"):
                    writer.write(response(200))
                    await writer.drain()
                    continue
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if ":batch" in first:
                    items = json.loads(body)
                else:
                    items = [{"id": headers["x-request-id"], "key": headers.get("idempotency-key"),
                              "body": base64.b64encode(body).decode()}]
                call = {"endpoint": self.name, "first": first_byte, "at": time.monotonic(), "items": items,
                        "batch": ":batch" in first, "writer": writer, "reader": reader}
                self.calls.append(call)
                self.record(f"call at {self.name}: {' '.join(i['id'] for i in items)}")
                answer = await self.answer(call)
                if answer is None:
                    return
                status, extra, text = answer
                if call["batch"] and status == 200 and not text:
                    text = json.dumps([{"id": i["id"], "state": "ok"} for i in items]).encode()
                writer.write(response(status, extra, text))
                await writer.drain()
                self.record(f"answer of {self.name}: {status} to {' '.join(i['id'] for i in items)}")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def put(request_id, class_name, dest, time_left_ms, body=b"x", key=None, tenant="oduya-forms", more=""):
    fields = f"c={class_name},t={tenant},d={int(time_left_ms)},dest={dest}"
    if key:
        fields += f",k={key}"
    fields += more
    parts = [b"MSG.PUT", b"0" * 16, request_id.encode(), fields.encode(), body]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


PING = b"*1\r\n$4\r\nPING\r\n"


class Sender:
    """The daemon, started as the deploy file's `run` says, from the repository's root."""

    def __init__(self, record, discovery_port, known, settings, limits, name="n1", held_port=None):
        self.record, self.name = record, name
        self.folder = tempfile.TemporaryDirectory(prefix="embershore-review-")
        self.state = os.path.join(self.folder.name, "state")
        os.mkdir(self.state)
        self.held = held_port is not None
        self.port = held_port if self.held else free_port()
        self.config = os.path.join(self.folder.name, "config.json")
        self.content = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery_port}",
                        "seed": "8c1f30d27a5be964", "limits": limits, "known": known, "settings": settings}
        self.write_config()
        self.process = None

    def write_config(self):
        with open(self.config + ".next", "w") as f:
            json.dump(self.content, f)
        os.replace(self.config + ".next", self.config)

    @staticmethod
    def run_command():
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            run = [l for l in f if l.startswith("run")][0]
        return run.split('"')[1]

    async def start(self, mgmt=None):
        """Starts a process; with `mgmt`, with that port as its second address."""
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment.update({"LB_NAME": self.name, "LB_LISTEN": self.content["listen"],
                            "LB_DISCOVERY": self.content["discovery"], "LB_STATE": self.state,
                            "LB_CONFIG": self.config})
        if mgmt:
            environment["LB_MGMT"] = f"127.0.0.1:{mgmt}"
        if self.held:
            environment["LB_SOCKET_FD"] = "5"
        log = open(os.path.join(self.folder.name, "log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log,
            pass_fds=(5,) if self.held else ())
        self.record(f"sender {self.name} started, process {self.process.pid}")

    async def ready(self, within=30.0):
        """Waits until the sender answers PING with +PONG, as the front does."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            answer = await ask(self.port, PING, 1.0)
            if answer == "+PONG":
                self.record(f"sender {self.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def says_yes(self, mgmt, within):
        """Waits until the process with the second address `mgmt` says yes to GET /_ready."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            answer = await ask(mgmt, b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
            if answer and answer.split()[1].startswith("2"):
                self.record("the new process says yes")
                return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, number):
        self.record(f"signal {signal.Signals(number).name} to sender {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
        if self.process:
            await self.process.wait()

    def log_text(self):
        with open(os.path.join(self.folder.name, "log"), errors="replace") as f:
            return f.read()


async def ask(port, command, wait):
    """Sends one command on a connection of its own; returns the first line of the answer, or None."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), wait)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        writer.write(command)
        answer = await asyncio.wait_for(reader.readline(), wait)
        return answer.decode("latin-1").strip() or None
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        writer.close()


def run(case, main):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run."""
    record = Record(case)
    record(f"TROUBLE={1 if TROUBLE else 0}")

    async def bounded():
        return await asyncio.wait_for(main(record), 115)

    try:
        code = asyncio.run(bounded())
    except Exception as e:  # the case could not run
        record.say(f"the case could not run: {type(e).__name__}: {e}")
        code = COULD_NOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was BROKEN"}.get(code, "no result"))
    sys.stdout.flush()
    sys.exit(code)
