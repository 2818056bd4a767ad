"""After one failure of each task of a lasting service, no worker gets new work."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from cell import run_case  # noqa: E402

SERVICE = "5e41ce0000000001"
JOBS = ["0b0000000000000%d" % n for n in (1, 2, 3)]
WORKERS = 16
FIRST_FAILURE_MS = 3000
FAILURE_GAP_MS = 100  # between the failures of one task and the next
SETTLED_S = 12  # all failures are over by then, and all tasks run again
FINISH_S = 14  # `finish_s`
IDLE_S = 3  # a job may have nothing running for less than this
CORES = {SERVICE: 1, **{job: 1 for job in JOBS}}


async def scenario(cell, trouble):
    # One task on each worker, as a service has that shall outlive any machine.
    spec = {"lasts": True, "fail_runs": 1 if trouble else 0,
            "fail_run_ms": FIRST_FAILURE_MS, "fail_step_ms": FAILURE_GAP_MS}
    steps = [{"count": WORKERS, "cpu": 1000, "memMb": 256, "estMs": 1000,
              "longRunning": True, "maxPerServer": 1}]
    if not await cell.submit(SERVICE, spec, steps):
        return ""
    await asyncio.sleep(SETTLED_S)
    cell.record("tasks of the service at work: %d" % len(cell.running(SERVICE)))
    accepted = []
    for number, job in enumerate(JOBS):
        steps = [{"count": 1, "cpu": 1000, "memMb": 256, "estMs": 500}]
        if await cell.submit(job, {"run_ms": 500}, steps, number):
            accepted.append(job)
        await asyncio.sleep(1)
    await asyncio.sleep(FINISH_S)
    idle_s = dict.fromkeys(accepted, 0)
    for second in range(IDLE_S + 2):
        await asyncio.sleep(1)
        free, share = cell.free_workers(CORES, needed=2)
        cell.record("workers with 2 cores free: %d, cores in use: %.0f %%" %
                    (len(free), 100 * share))
        for job in accepted:
            state = await cell.state(job, second)
            begun = any(task.startswith(job) for _, task in cell.starts)
            owed = state in ("queued", "running") and not begun and free and share < 0.5
            idle_s[job] = idle_s[job] + 1 if owed else 0
    cell.record("tasks of the service at work: %d" % len(cell.running(SERVICE)))
    stuck = [job for job in accepted if idle_s[job] > IDLE_S]
    return "LOST: accepted, and nothing of it has begun: " + " ".join(stuck) if stuck else ""


run_case(FOLDER, scenario, workers=WORKERS)
