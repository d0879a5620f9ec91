"""The process is replaced by the next one under load: for half a second nobody ends messages whose time is up."""

import os
import sys

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "rig-2"))
import rig

HELD_PORT = rig.held_socket()

import asyncio
import signal
import time

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
NOTICE_WITHIN_S = 0.3 + 0.05
# Calls a second that the destination takes: all of the usual traffic, which jumps to 2.5 times as much for BURST_S.
LIMIT = 24.0
BURST = 2.5
BURST_S = 9.0
TIME_LEFT_MS = 2000
CLASS = {"Effect": "free", "Group": "all", "HardLimitUs": TIME_LEFT_MS * 1000, "LateShare": 0.0, "Name": "status-sync",
         "ObjectiveUs": 1000000, "Streamed": False, "WindowUs": 5000000, "Worth": 2.0}


async def main(record):
    taken, delivered = {}, {}
    spans = []

    async def answer(call):
        # A plain rate: calls above it are turned away.
        now = time.monotonic()
        spans[:] = [t for t in spans if t > now - 1.0]
        if len(spans) >= LIMIT:
            return 503, (), b""
        spans.append(now)
        await asyncio.sleep(0.1)
        for item in call["items"]:
            delivered.setdefault(item["id"], time.monotonic())
        return 200, (), b""

    endpoint = rig.Endpoint(record, "s-1", 1, answer)
    await endpoint.start()
    known = [rig.line("s-1", endpoint.port, 1, weight=LIMIT)]
    discovery = rig.Discovery(record, known)
    await discovery.start()
    content = {"index": 41, "snapshot": True, "endpoints": known}
    sender = rig.Sender(record, discovery.port, content, rig.settings(Profiles=[CLASS]), LIMITS, held_port=HELD_PORT)
    sent, running, rate = 0, True, LIMIT
    processes = []

    async def hand_in():
        nonlocal sent
        sent += 1
        request_id, begun = f"{sent:016x}", time.monotonic()
        reply = await rig.ask(sender.port, rig.put(request_id, "status-sync", 1, TIME_LEFT_MS), 0.4)
        if reply == "+OK":
            taken[request_id] = begun + TIME_LEFT_MS / 1000
        record(f"message {request_id}: {reply}")

    async def traffic():
        while running:
            asyncio.ensure_future(hand_in())
            await asyncio.sleep(1 / rate)

    try:
        first, second = rig.free_ports(2)
        await sender.start(first)
        processes.append(sender.process)
        if not await sender.says_yes(first, 30):
            record.say("the sender was not ready")
            return rig.COULD_NOT_RUN
        load = asyncio.ensure_future(traffic())
        await asyncio.sleep(4)
        rate = LIMIT * BURST
        record(f"the traffic jumps to {BURST} times the usual")
        burst = time.monotonic()
        await asyncio.sleep(4)
        replaced = time.monotonic()
        yes, term = replaced, float("inf")
        if rig.TROUBLE:
            old = sender.process
            await sender.start(second)
            processes.append(sender.process)
            if not await sender.says_yes(second, 6):
                record.say("the new process was not ready within 6 s")
                return rig.COULD_NOT_RUN
            yes = time.monotonic()
            await asyncio.sleep(0.5)
            term = time.monotonic()
            if old.returncode is None:
                record("SIGTERM to the old process")
                old.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(old.wait(), 3.7)
            except asyncio.TimeoutError:
                old.kill()
                await old.wait()
        await asyncio.sleep(max(0.0, burst + BURST_S - time.monotonic()))
        rate = LIMIT
        await asyncio.sleep(1)
        running = False
        await load
        await asyncio.sleep(TIME_LEFT_MS / 1000 + 1)
        late, ended = [], 0
        for request_id, deadline in taken.items():
            notice = discovery.notices.get(request_id)
            times = [t for t in (delivered.get(request_id), notice and notice[1]) if t]
            at = min(times, default=float("inf"))
            ended += bool(notice)
            # From SIGTERM on no notice is overdue until 1.5 s after the sender is ready again.
            if at > deadline + NOTICE_WITHIN_S and not term <= deadline + NOTICE_WITHIN_S <= term + 5.2:
                late.append((request_id, at - deadline, deadline - replaced))
        for request_id, after, when in late:
            record(f"message {request_id}: its time was up {when:.3f} s after the new process's start, its end came {after:.3f} s later")
        new = f"; the new process said yes {yes - replaced:.2f} s after its start" if rig.TROUBLE else ""
        record.say(f"{len(taken)} messages taken on, {ended} ended by a notice; {len(late)} ended later than "
                   f"{NOTICE_WITHIN_S} s after their time, before SIGTERM"
                   + (f" (up to {max(l[1] for l in late):.2f} s)" if late else "") + new)
        return rig.BROKEN if late else rig.HELD
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        record(sender.log_text())


rig.run(CASE, main)
