"""Left out: after a worker and most entries are lost for good, the jobs that
ran on the worker do not start again for over half a minute."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "parts-2"))
from cell import BOUNDS, main, steady_ms  # noqa: E402

SERVICE = "screen-sched"
HOST = "push.example"
PREFIX = "/report/"
TRAFFIC_S = 12
LOST_WORKER_S = 8.0
LOST_ENTRIES_S = 9.5
OBSERVED_S = 4


async def case(cell):
    for i in range(8):
        cell.add_place(f"w{i}", SERVICE, ["a", f"r{i // 4}"])
    cell.configure(1, [{"name": "report", "host": HOST, "prefix": PREFIX,
                        "kind": "non_idempotent", "timeoutMs": 3000,
                        "targetDurationMs": 3000, "priority": 1,
                        "service": SERVICE, "maxAttempts": 4,
                        "slackFactor": 4.0}], [SERVICE])
    await cell.start()
    began = steady_ms()
    accepted, pending = [], []

    async def submit(number):
        job = f"{0xc000000000000000 + number:016x}"
        body = {"spec": "work 4000", "steps": [
            {"count": 4, "cpu": 3000, "memMb": 500, "estMs": 4000}]}
        if await cell.submit(HOST, PREFIX + job, body):
            accepted.append(job)

    async def traffic():
        number = 0
        while steady_ms() - began < TRAFFIC_S * 1000:
            number += 1
            pending.append(asyncio.ensure_future(submit(number)))
            await asyncio.sleep(0.8)

    async def trouble():
        await asyncio.sleep(LOST_WORKER_S)
        if not cell.trouble:
            return
        victim = max(cell.places, key=lambda p: len(p.life.running))
        victim.crash()  # lost for good: 1 of 8
        await asyncio.sleep(LOST_ENTRIES_S - LOST_WORKER_S)
        leader = cell.leader()
        others = [e for e in cell.entries if e is not leader]
        for entry in [leader] + others[:2]:  # lost for good: 3 of 5
            entry.send_signal(signal.SIGKILL)

    await asyncio.gather(traffic(), trouble())
    await asyncio.gather(*pending)
    cell.record.line(f"traffic ended; accepted {len(accepted)}")
    if len(accepted) < 5:
        return []
    await asyncio.sleep(BOUNDS["finish_s"])
    states = {j: await cell.state(HOST, PREFIX + j) for j in accepted}
    waiting = {j for j, s in states.items() if s in ("queued", "running")}
    used = 0
    for _ in range(OBSERVED_S * 10):
        lives = [p.life for p in cell.places if p.life]
        busy = sum(len(life.running) for life in lives) * 3000
        used = max(used, busy / (16000 * len(lives)))
        for life in lives:
            waiting -= {task[:16] for task in life.running}
        await asyncio.sleep(0.1)
    states = {j: await cell.state(HOST, PREFIX + j) for j in accepted}
    findings = []
    for job in accepted:
        if states[job] in (None, "410"):
            findings.append(f"LOST: job {job} isn't known: {states[job]}")
        elif job in waiting and used < 0.5 and states[job] != "complete":
            findings.append(
                f"LOST: job {job} is {states[job]} and has nothing running for "
                f"{OBSERVED_S} s although {1 - used:.2f} of the service is free")
    # How long it goes on; this doesn't change the verdict.
    limit = steady_ms() + 45000
    while findings and steady_ms() < limit:
        states = [await cell.state(HOST, PREFIX + j, quiet=True)
                  for j in accepted]
        if all(s == "complete" for s in states):
            cell.record.line("all jobs are complete")
            break
        await asyncio.sleep(1)
    return findings


main(FOLDER, case)
