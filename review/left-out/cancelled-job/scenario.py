"""A job runs after its cancelling was acknowledged."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))

from cell import PREFIX, run_case  # noqa: E402

JOB = "0c00000000000003"
CALM_S = 4  # all machines are in touch by then
FREEZE_S = 4.0
DEADLINE_S = 3.0
CANCEL_S = 3.0  # `cancel_ms`
WATCH_S = 15


async def scenario(cell, trouble):
    await asyncio.sleep(CALM_S)
    leader = cell.leader()
    cell.record("leader: " + leader.name)
    frozen, other = [entry for entry in cell.entries if entry is not leader][:2]
    body = {"spec": '{"run_ms": 5000}',
            "steps": [{"count": 2, "cpu": 1000, "memMb": 256, "estMs": 5000},
                      {"count": 1, "cpu": 1000, "memMb": 256, "estMs": 5000,
                       "dependsOn": [0]}]}
    began = cell.elapsed()
    if trouble:
        frozen.signal(signal.SIGSTOP)
    status, _ = await cell.call(frozen.front, "POST", PREFIX + JOB, body, DEADLINE_S)
    cell.record("POST %s at %s: %s" % (JOB, frozen.name, status or "no answer in 3 s"))
    status, _ = await cell.call(other.front, "DELETE", PREFIX + JOB, None, DEADLINE_S)
    acknowledged = asyncio.get_running_loop().time()
    cell.record("DELETE %s at %s: %s" % (JOB, other.name, status))
    if trouble:
        await asyncio.sleep(max(0, FREEZE_S - (cell.elapsed() - began)))
        frozen.signal(signal.SIGCONT)
    if status not in (200, 410):
        return ""
    await asyncio.sleep(WATCH_S)
    await cell.state(JOB)
    late = ["%s %.1f s after the acknowledgement" % (task, at - acknowledged)
            for at, task in cell.starts if at - acknowledged > CANCEL_S]
    return "UNASKED: a task of the cancelled job starts: " + ", ".join(late) if late else ""


run_case(FOLDER, scenario)
