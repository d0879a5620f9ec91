"""A restart while discovery is down: the sender calls endpoints that it had been told to drain."""

import asyncio
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "rig-2"))
import rig

LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}
DESTINATIONS = 320
PER_DESTINATION = 3
REPLACED = 556  # of 960: 58%
STEPS = 6
STEP_S = 4.0
DRAIN_S = 3.0
DISCOVERY_DOWN_S = 8.0
GRACE_S = 1.0
SLACK_S = 0.05 + 0.15
# Destinations that get messages; the others have endpoints to which nobody sends.
USED = 60


def name(dest, n, generation):
    return f"s-{generation}{dest:04x}{n}"


async def main(record):
    used_port = {}
    endpoints = {}
    order = [(dest, n) for dest in range(1, DESTINATIONS + 1) for n in range(PER_DESTINATION)]
    replaced = order[:REPLACED]

    async def draining(call):
        # A sound endpoint that drains turns new calls away.
        e = endpoints[call["endpoint"]]
        if e.name in told:
            return 503, (), b""
        await asyncio.sleep(0.1)
        return 200, (), b""

    told = {}
    for dest, n in order:
        if dest > USED:
            continue
        for generation in "ab":
            if generation == "b" and (dest, n) not in replaced:
                continue
            e = rig.Endpoint(record, name(dest, n, generation), dest, draining)
            await e.start()
            endpoints[e.name] = e
            used_port[e.name] = e.port
    unused = iter(rig.free_ports(len(order) + len(replaced) - len(endpoints)))

    def entry(dest, n, generation, status="Ready"):
        key = name(dest, n, generation)
        if key not in used_port:
            used_port[key] = next(unused)
        return rig.line(key, used_port[key], dest, status, weight=10.0)

    known = [entry(dest, n, "a") for dest, n in order]
    discovery = rig.Discovery(record, known)
    await discovery.start()
    told = discovery.told
    content = {"index": 41, "snapshot": True, "endpoints": known}
    sender = rig.Sender(record, discovery.port, content, rig.settings(), LIMITS)
    sent = 0

    async def hand_in(dest):
        nonlocal sent
        sent += 1
        request_id = f"{sent:016x}"
        answer = await rig.ask(sender.port, rig.put(request_id, "status-sync", dest, 5000), 0.4)
        record(f"message {request_id} to {dest}: {answer}")

    async def traffic(seconds):
        until = time.monotonic() + seconds
        dest = 0
        while time.monotonic() < until:
            dest = dest % USED + 1
            asyncio.ensure_future(hand_in(dest))
            await asyncio.sleep(0.05)

    try:
        await sender.start()
        if not await sender.ready():
            record.say("the sender was not ready")
            return rig.COULD_NOT_RUN
        load = asyncio.ensure_future(traffic(STEPS * STEP_S + 2))
        step = -(-len(replaced) // STEPS)
        for at in range(0, len(replaced), step):
            batch = replaced[at:at + step]
            await discovery.change([entry(d, n, "a", "Terminating") for d, n in batch] + [entry(d, n, "b") for d, n in batch])
            record(f"{len(batch)} endpoints are replaced")
            await asyncio.sleep(DRAIN_S)
            await discovery.change([entry(d, n, "a", "Gone") for d, n in batch])
            await asyncio.sleep(STEP_S - DRAIN_S)
        await load
        record.say(f"{len(told)} endpoints drained and replaced, all told to the sender")
        if rig.TROUBLE:
            discovery.down = True
            record("discovery is down")
            down = time.monotonic()
            sender.signal(signal.SIGKILL)
            await sender.process.wait()
            await asyncio.sleep(0.6)
            await sender.start()
            if not await sender.ready():
                record.say("the sender was not ready after the restart")
                return rig.COULD_NOT_RUN
            await traffic(down + DISCOVERY_DOWN_S - time.monotonic())
            discovery.down = False
            record("discovery is back")
            await asyncio.sleep(6)
        else:
            await traffic(DISCOVERY_DOWN_S)
            await asyncio.sleep(6)
        late = [(e.name, call["first"] - told[e.name]) for e in endpoints.values() if e.name in told
                for call in e.calls if call["first"] > told[e.name] + GRACE_S + SLACK_S]
        for endpoint, after in sorted(late, key=lambda l: l[1]):
            record(f"call at {endpoint}, {after:.2f} s after the sender was told that it drains")
        calls = sum(len(e.calls) for e in endpoints.values())
        earliest = min((after for _, after in late), default=0)
        record.say(f"{calls} calls, {len(late)} of them to {len({n for n, _ in late})} endpoints later than "
                   f"{GRACE_S + SLACK_S} s after the sender was told of their drain (the earliest {earliest:.1f} s after)")
        return rig.BROKEN if late else rig.HELD
    finally:
        await sender.end()
        record(sender.log_text())


rig.run(CASE, main)
