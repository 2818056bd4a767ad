"""Case 5: a few hundred accepted recurring jobs take more memory than a
machine has, so that every leader is killed, one after the other."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "parts-2"))
from cell import BOUNDS, main, steady_ms  # noqa: E402

SERVICE = "screen-sched"
HOST = "push.example"
PREFIX = "/push/"
MEMORY_MB = 260  # limits.memoryMb of the site
RECURRING = 600
PER_S = 38  # as many as the site's playlist pushes
TIMES = 1008  # once an hour for six weeks
RESTART_S = 0.5


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as f:
            for line in f:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def restart(entry):
    await asyncio.sleep(RESTART_S)
    entry.start()


async def enforce_memory(cell, kills):
    """The platform kills a process that exceeds its memory, and starts it
    again after a short delay."""
    while True:
        await asyncio.sleep(0.02)
        for entry in cell.entries:
            if entry.process.poll() is not None:
                continue
            used = resident_mb(entry.process.pid)
            if used <= MEMORY_MB:
                continue
            cell.record.line(f"platform kills {entry.name}: {used:.0f} MB")
            kills.append(entry.name)
            entry.process.send_signal(signal.SIGKILL)
            entry.process.wait()
            asyncio.ensure_future(restart(entry))


async def case(cell):
    for i in range(8):
        cell.add_place(f"w{i}", SERVICE, ["a", f"r{i // 4}"])
    cell.configure(1, [{"name": "push", "host": HOST, "prefix": PREFIX,
                        "kind": "non_idempotent", "timeoutMs": 3000,
                        "targetDurationMs": 250, "priority": 0,
                        "service": SERVICE, "maxAttempts": 4,
                        "slackFactor": 1.5}], [SERVICE])
    await cell.start()
    kills = []
    guard = asyncio.ensure_future(enforce_memory(cell, kills))
    recurring, once, pending = [], [], []

    async def submit(out, number, job):
        job_id = f"{0xd000000000000000 + number:016x}"
        if await cell.submit(HOST, PREFIX + job_id, job):
            out.append(job_id)

    began = steady_ms()
    for number in range(RECURRING):
        job = {"spec": "work 300", "steps": [
            {"count": 2, "cpu": 1400, "memMb": 500, "estMs": 300}]}
        if cell.trouble:  # without it, the same jobs run once each
            job.update(times=TIMES, intervalMs=3600000,
                       startAtMs=int(time.time() * 1000) + 1800000)
        pending.append(asyncio.ensure_future(submit(recurring, number, job)))
        if number % PER_S == 0:  # one ordinary job a second
            pending.append(asyncio.ensure_future(submit(
                once, 100000 + number,
                {"spec": "work 300", "steps": [
                    {"count": 2, "cpu": 1400, "memMb": 500,
                     "estMs": 300}]})))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*pending)
    cell.record.line(
        f"traffic ended after {(steady_ms() - began) / 1000:.0f} s; accepted "
        f"{len(recurring)} recurring and {len(once)} ordinary jobs; "
        f"{len(kills)} processes killed so far")
    await asyncio.sleep(BOUNDS["finish_s"])
    findings = []
    asked = once + recurring[::20]
    states = await asyncio.gather(*[cell.state(HOST, PREFIX + j)
                                    for j in asked])
    by_machine = {name: kills.count(name) for name in set(kills)}
    if sum(1 for n in by_machine.values() if n >= 3) >= 2:
        findings.append(
            "Fault: processes ended over their memory three times and more on "
            f"{sum(1 for n in by_machine.values() if n >= 3)} of "
            f"{len(cell.entries)} machines: {by_machine}")
    began_running = {task[:16] for _, _, task, _ in cell.starts}
    never = [j for j in once if j not in began_running]
    if never:
        findings.append(f"LOST: {len(never)} accepted ordinary jobs have never "
                        "run, although every worker is idle")
    for job, state in zip(asked, states):
        if state in (None, "410"):
            kind = "ordinary" if job in once else "recurring"
            findings.append(f"LOST: the accepted {kind} job {job} "
                            f"{'gets no answer' if state is None else '410'}")
    guard.cancel()
    await asyncio.sleep(RESTART_S + 0.1)  # pending restarts
    cell.record.line(f"killed for memory: {len(kills)} times, {kills}")
    if kills:
        cell.record.line("resident MB now: " + ", ".join(
            f"{e.name} {resident_mb(e.process.pid):.0f}" for e in cell.entries))
    return findings


main(FOLDER, case)
