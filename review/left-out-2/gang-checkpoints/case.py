"""Left out: after the crash of one worker, the members of a gang are started
with different checkpoints."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "parts-2"))
from cell import main  # noqa: E402

SERVICE = "screen-sched"
HOST = "push.example"
PREFIX = "/proof/"
MEMBERS = 4
WORK_MS = 20000
GANGS = 6
AT_S = (3.3, 9.1, 14.7, 20.4)  # one worker crashes; seconds from the start
DOWN_S = 2.0


async def case(cell):
    for i in range(8):
        cell.add_place(f"w{i}", SERVICE, ["a", f"r{i // 4}"])
    cell.configure(1, [{"name": "proof", "host": HOST, "prefix": PREFIX,
                        "kind": "non_idempotent", "timeoutMs": 3000,
                        "targetDurationMs": 1000, "priority": 1,
                        "service": SERVICE, "maxAttempts": 4,
                        "slackFactor": 2.2}], [SERVICE])
    await cell.start()
    jobs = [f"{0xf000000000000000 + n:016x}" for n in range(GANGS)]
    for job in jobs:
        if not await cell.submit(HOST, PREFIX + job, {
                "spec": f"gang {MEMBERS} {WORK_MS}", "steps": [
                    {"count": MEMBERS, "cpu": 4500, "memMb": 6400,
                     "estMs": WORK_MS, "gang": True, "savesProgress": True,
                     "maxPerServer": 1}]}):
            return []
    waited = 0.0
    for at in AT_S:
        await asyncio.sleep(at - waited)
        waited = at
        busy = [p for p in cell.places if p.life and p.life.running]
        if cell.trouble and busy:
            place = busy[0]
            place.crash()

            async def back(place=place):
                await asyncio.sleep(DOWN_S)
                await place.start()

            asyncio.ensure_future(back())
    for _ in range(50):
        await asyncio.sleep(1)
        states = [await cell.state(HOST, PREFIX + j, quiet=True) for j in jobs]
        if all(s in ("complete", "failed") for s in states):
            break
    cell.record.line(f"states of the jobs: {states}")
    findings = []
    for (step, attempt), gang in cell.gangs.items():
        values = {c for _, c in gang.members.values()}
        if len(values) > 1:
            findings.append(
                f"UNASKED: members of run {attempt} of gang {step} were started "
                f"with different checkpoints: {sorted(values)}")
    return findings


main(FOLDER, case)
