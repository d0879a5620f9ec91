"""Discovery is slow: its answers take 1 s. The sender never learns of a drain, and goes on calling the endpoint."""

import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "rig-2"))
import rig

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
DESTINATIONS = 4
PER_DESTINATION = 3
ANSWER_S = 1.0
COUNTS_AS_TOLD_S = 6.0
GRACE_S = 1.0
SLACK_S = 0.05 + 0.15


async def main(record):
    draining, endpoints = set(), {}

    async def answer(call):
        # A sound endpoint that drains turns new calls away.
        if call["endpoint"] in draining:
            return 503, (), b""
        await asyncio.sleep(0.12)
        return 200, (), b""

    for dest in range(1, DESTINATIONS + 1):
        for n in range(PER_DESTINATION):
            e = rig.Endpoint(record, f"s-{dest}{n}", dest, answer)
            await e.start()
            endpoints[e.name] = e

    def entry(name, status="Ready"):
        return rig.line(name, endpoints[name].port, endpoints[name].group, status, weight=20.0)

    known = [entry(name) for name in endpoints]
    discovery = rig.Discovery(record, known)
    discovery.delay = ANSWER_S if rig.TROUBLE else 0.0
    await discovery.start()
    content = {"index": 41, "snapshot": True, "endpoints": known}
    sender = rig.Sender(record, discovery.port, content, rig.settings(), LIMITS)
    sent, running = 0, True

    async def hand_in():
        nonlocal sent
        sent += 1
        request_id, dest = f"{sent:016x}", sent % DESTINATIONS + 1
        reply = await rig.ask(sender.port, rig.put(request_id, "status-sync", dest, 5000), 0.4)
        record(f"message {request_id} to {dest}: {reply}")

    async def traffic():
        while running:
            asyncio.ensure_future(hand_in())
            await asyncio.sleep(0.05)

    try:
        await sender.start()
        if not await sender.ready():
            record.say("the sender was not ready")
            return rig.COULD_NOT_RUN
        load = asyncio.ensure_future(traffic())
        await asyncio.sleep(5)
        draining.update(f"s-{dest}0" for dest in range(1, DESTINATIONS + 1))
        await discovery.change([entry(name, "Terminating") for name in sorted(draining)])
        changed = time.monotonic()
        record.say(f"discovery has version {discovery.index}, in which {len(draining)} endpoints drain; each poll is answered "
                   f"after {discovery.delay} s")
        await asyncio.sleep(25)
        running = False
        await load
        await asyncio.sleep(1)
        from_then = changed + COUNTS_AS_TOLD_S + GRACE_S + SLACK_S
        late = sorted((call["first"] - changed, e.name) for e in endpoints.values() if e.name in draining
                      for call in e.calls if call["first"] > from_then)
        for after, endpoint in late:
            record(f"call at {endpoint}, {after:.2f} s after discovery had its drain")
        calls = sum(len(e.calls) for e in endpoints.values())
        record.say(f"{discovery.polls} polls, {calls} calls, {len(late)} of them to draining endpoints later than "
                   f"{COUNTS_AS_TOLD_S + GRACE_S + SLACK_S} s after discovery had the drain"
                   + (f" (up to {late[-1][0]:.1f} s after)" if late else ""))
        return rig.BROKEN if late else rig.HELD
    finally:
        await sender.end()
        record(sender.log_text())


rig.run(CASE, main)
