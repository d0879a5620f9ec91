"""Discovery is slow: its answers take 1 s. A sender that is started again never gets ready, and ends nothing that it took on."""

import asyncio
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "rig-2"))
import rig

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
DESTINATIONS = 3
ANSWER_S = 1.0
READY_WITHIN_S = 30.0
# From SIGKILL until 1.5 s after the sender is ready again no notice is overdue; it has to be ready after 30 s.
EXCUSED_S = 1.5
NOTICE_WITHIN_S = 0.5 + 0.05


async def main(record):
    taken, delivered = {}, {}
    slots = asyncio.Semaphore(2)

    async def answer(call):
        # A receiver that takes few calls at once; the others wait in its queue.
        async with slots:
            await asyncio.sleep(0.2)
        for item in call["items"]:
            delivered.setdefault(item["id"], time.monotonic())
        return 200, (), b""

    endpoints = [rig.Endpoint(record, f"s-{dest}", dest, answer) for dest in range(1, DESTINATIONS + 1)]
    for e in endpoints:
        await e.start()
    discovery = rig.Discovery(record, [rig.line(e.name, e.port, e.group, weight=10.0) for e in endpoints])
    await discovery.start()
    # The configuration of a first start: the sender has had no list before.
    content = {"index": 0, "snapshot": True, "endpoints": []}
    sender = rig.Sender(record, discovery.port, content, rig.settings(), LIMITS)
    sent = 0

    async def hand_in(class_name, time_left_ms, wait=0.4):
        nonlocal sent
        sent += 1
        request_id, dest, begun = f"{sent:016x}", sent % DESTINATIONS + 1, time.monotonic()
        key = request_id if class_name == "response-push" else None
        reply = await rig.ask(sender.port, rig.put(request_id, class_name, dest, time_left_ms, key=key), wait)
        record(f"message {request_id} of {class_name} to {dest}: {reply}")
        if reply == "+OK":
            taken[request_id] = begun + time_left_ms / 1000
        return reply

    try:
        await sender.start()
        if not await sender.ready():
            record.say("the sender was not ready")
            return rig.COULD_NOT_RUN
        await asyncio.gather(*(hand_in("response-push", 24000) for _ in range(40)))
        discovery.delay = ANSWER_S if rig.TROUBLE else 0.0
        record(f"from now on discovery answers after {discovery.delay} s")
        sender.signal(signal.SIGKILL)
        killed = time.monotonic()
        await sender.process.wait()
        owed = {i: d for i, d in taken.items() if i not in delivered and i not in discovery.notices}
        record.say(f"{len(taken)} messages taken on, {len(owed)} of them not ended at SIGKILL")
        if not owed:
            return rig.COULD_NOT_RUN
        await asyncio.sleep(0.6)
        await sender.start()
        begun = time.monotonic()
        pong = asyncio.ensure_future(sender.ready(READY_WITHIN_S))
        ready = await pong
        took = time.monotonic() - begun
        excused_until = time.monotonic() + EXCUSED_S
        record.say(f"the sender was started again; ready: {ready}, after {took:.1f} s, {discovery.polls} polls in all")
        overdue_from = max(max(owed.values()) + NOTICE_WITHIN_S, excused_until)
        await asyncio.sleep(max(0.0, overdue_from - time.monotonic()))
        lost = []
        for request_id, deadline in owed.items():
            notice = discovery.notices.get(request_id)
            if request_id not in delivered and not notice:
                lost.append(request_id)
                record(f"message {request_id}: no end, its time was up {time.monotonic() - deadline:.1f} s ago")
        record.say(f"{len(lost)} of the {len(owed)} messages owed have no end when the last one's time has been up for "
                   f"{time.monotonic() - max(owed.values()):.1f} s; the sender runs: {sender.process.returncode is None}")
        return rig.BROKEN if lost else rig.HELD
    finally:
        await sender.end()
        record(sender.log_text())


rig.run(CASE, main)
