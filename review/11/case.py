"""See claim.txt."""

import asyncio
import glob
import os
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-3"))
import standins as s  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST, PREFIX = "jobs.example", "/jobs/"
FREEZE_S = 4.0
CANCEL_S, KILL_GRACE_S = 3.0, 0.9
JOBS = ["%016x" % (0xabc00 + n) for n in range(6)]
CONFIG = {
    "version": 7,
    "routes": [
        {"name": "work", "host": HOST, "prefix": PREFIX, "kind": "non_idempotent",
         "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 1, "service": "svc",
         "maxAttempts": 2, "slackFactor": 2.2}],
    "services": [{"name": "svc", "maxConns": 64, "enforceLimits": False, "standby": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000}}
# Two steps: the second begins over cancel_ms after the first has begun.
BODY = {"spec": "ms=4500 ", "steps": [
    {"count": 1, "cpu": 1000, "memMb": 256, "estMs": 4500},
    {"count": 1, "cpu": 1000, "memMb": 256, "estMs": 4500, "dependsOn": [0]}]}


def leader(folder, entries):
    newest = (0, None)
    for path in glob.glob(os.path.join(folder, "*.log")):
        for line in open(path, encoding="utf-8", errors="replace"):
            if '"event":"leading"' in line:
                term = int(line.split('"term":"')[1].split('"')[0])
                newest = max(newest, (term, os.path.basename(path)[:-4]))
    return next((e for e in entries if e.name == newest[1]), None)


async def run(record, folder, entries):
    store = s.Store()
    store_address = await store.start()
    workers = [s.Worker(store, record, f"w-{n}", "svc", ["a", f"r1-{n}"]) for n in range(7)]
    cloud = s.Cloud(workers)
    await cloud.http.start()
    for worker in workers:
        await worker.start()
    await store.put("keyed.op", "config", CONFIG)
    for n in range(7):
        entries.append(s.Entry(folder, f"entry-{n}", store_address, cloud.http.address))
    for entry in entries:
        entry.write_settings([e.peer for e in entries[:3]])
        entry.start()
    if not await s.ready(entries):
        record.line("the entries did not get ready")
        return 2
    await asyncio.sleep(2)
    leads = leader(folder, entries)
    if leads is None:
        return 2
    others = [e for e in entries if e is not leads]
    frozen, sound = others[0], others[1]
    record.line(f"{leads.name} leads; {frozen.name} freezes" + ("" if TROUBLE else " not"))
    if TROUBLE:
        frozen.process.send_signal(signal.SIGSTOP)
    began = time.monotonic()

    async def client(job_id):
        """Hands a job in, gets no answer by its deadline, and cancels it elsewhere."""
        status, _ = await s.call(frozen.front, "POST", PREFIX + job_id, HOST, BODY)
        record.line(f"client POST {job_id} at {frozen.front}: {status or 'no answer'}")
        status, _ = await s.call(sound.front, "DELETE", PREFIX + job_id, HOST)
        record.line(f"client DELETE {job_id} at {sound.front}: {status or 'no answer'}")
        return (status // 100 == 2 or status == 410) and time.monotonic()

    calls = [asyncio.create_task(client(job_id)) for job_id in JOBS]
    if TROUBLE:
        await asyncio.sleep(FREEZE_S - (time.monotonic() - began))
        frozen.process.send_signal(signal.SIGCONT)
        record.line(f"{frozen.name} runs on")
    acknowledged = await asyncio.gather(*calls)
    if not all(acknowledged):
        record.line("a DELETE was not acknowledged")
        return 2
    await asyncio.sleep(14)
    broken = 0
    for job_id, at in zip(JOBS, acknowledged):
        late = [(t - at, task, w.id) for w in workers for t, task in w.starts
                if task.startswith(job_id) and t > at + CANCEL_S]
        for after, task, worker in late:
            record.line(f"UNASKED: {task} was started on {worker} {after:.3f} s after the "
                        f"cancelling of its job was acknowledged")
        broken += bool(late)
    record.line(f"jobs with a start later than cancel_ms after their cancelling: {broken} of "
                f"{len(JOBS)}")
    return 1 if broken else 0


async def main():
    record = s.Record(os.path.join(HERE, "record.txt"))
    record.line("with trouble" if TROUBLE else "without trouble")
    entries = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = await asyncio.wait_for(run(record, folder, entries), 100)
        except asyncio.TimeoutError:
            record.line("out of time")
            code = 2
        finally:
            for entry in entries:
                entry.kill()
    record.line(f"exit {code}")
    os._exit(code)


asyncio.run(main())
