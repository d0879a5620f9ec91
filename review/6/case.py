"""Clients that send much at once and go; then the sender answers no message of any client any more."""

import asyncio
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "rig-2"))
import rig

LIMITS = {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 3}
BAD_CLIENTS = 148
PROCESSES = 4
COMMANDS = 800
TIME_LEFT_MS = 5000
CLIENT_WAIT_S = 0.4


async def bad_clients(record, port):
    """Clients that send much at once and go, in processes of their own. Returns how many answers they got."""
    share = BAD_CLIENTS // PROCESSES
    processes = [await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(CASE, "bad_clients.py"), str(port), str(n * share), str(share),
        stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE) for n in range(PROCESSES)]
    try:
        for p in processes:
            await p.stdout.readline()
        record(f"{BAD_CLIENTS} clients send {COMMANDS} messages each at once")
        for p in processes:
            p.stdin.write(b"go\n")
        answered = sum([int(await p.stdout.readline()) for p in processes])
    finally:
        for p in processes:
            if p.returncode is None:
                try:
                    await asyncio.wait_for(p.wait(), 5)
                except asyncio.TimeoutError:
                    p.kill()
                    await p.wait()
    return answered


async def sound_client(record, port, number, results):
    """Hands one message in, and again after 400 ms without an answer, until its time and 0.5 s more have passed."""
    begun = time.monotonic()
    tries, answers = 0, []
    while (left := TIME_LEFT_MS / 1000 - (time.monotonic() - begun)) > 0:
        request_id = f"c0{number:06x}{tries:08x}"
        more = ",again=1" if tries else ""
        command = rig.put(request_id, "status-sync", 1, left * 1000, b"x", more=more)
        tries += 1
        # The last try waits until half a second after the message's time.
        answer = await rig.ask(port, command, CLIENT_WAIT_S if left > 2 * CLIENT_WAIT_S else left + 0.5)
        record(f"sound message {number}, try {tries}: {answer}")
        if answer is not None:
            answers.append(answer)
            break
    results.append((number, tries, answers))


async def main(record):
    endpoint = rig.Endpoint(record, "s-1", 1)
    await endpoint.start()
    known = [rig.line("s-1", endpoint.port, 1, weight=40.0)]
    discovery = rig.Discovery(record, known)
    await discovery.start()
    sender = rig.Sender(record, discovery.port, {"index": 41, "snapshot": True, "endpoints": known}, rig.settings(), LIMITS)
    try:
        await sender.start()
        if not await sender.ready():
            record.say("the sender was not ready")
            return rig.COULD_NOT_RUN
        before, after = [], []
        await asyncio.gather(*(sound_client(record, sender.port, n, before) for n in range(5)))
        if not all(answers for _, _, answers in before):
            record.say("no answer before the disruption")
            return rig.COULD_NOT_RUN
        if rig.TROUBLE:
            answered = await bad_clients(record, sender.port)
            record.say(f"{BAD_CLIENTS} clients sent {COMMANDS} messages each, {answered} answers; all have gone")
        await asyncio.sleep(10)
        for n in range(100, 103):
            await sound_client(record, sender.port, n, after)
        lost = [n for n, _, answers in after if not answers]
        pong = await rig.ask(sender.port, rig.PING, 1.0)
        alive = sender.process.returncode is None
        record.say(f"from 10 s after the last of them had gone: {len(after)} messages of sound clients, {len(lost)} without "
                   f"any answer until 0.5 s after their time; the sender runs: {alive}, PING: {pong}")
        return rig.BROKEN if lost else rig.HELD
    finally:
        await sender.end()
        record(sender.log_text())


rig.run(CASE, main)
