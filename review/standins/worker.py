"""Stand-in of one worker of the platform.

A job's `spec` holds a JSON object that says how long its tasks take:
`run_ms` for a task that ends well. The first `fail_runs` runs of each task, or of
task `fail_index` only, fail after `fail_run_ms`, and `fail_step_ms` later for each
further index. A task of a job with `lasts` ends only by a failure or a stop.
"""

import asyncio
import json

from http_server import HttpServer

MAX_HOLD_MS = 6000
KILL_GRACE_S = 0.05
STARTUP_S = 0.5
LEASE_CHECK_S = 0.02
MAX_WAIT_MS = 2000


class Run:
    def __init__(self, task, attempt, plan, now):
        self.task = task
        self.attempt = attempt
        self.plan = plan
        self.began = now
        self.timer = None
        self.stopping = False

    def percent(self, now):
        if self.plan.get("lasts"):
            return 100 if now - self.began >= STARTUP_S else 20
        whole = max(0.001, self.plan.get("run_ms", 1000) / 1000)
        return min(99, int(100 * (now - self.began) / whole))


class Worker:
    """One life of a worker. `record(text)` notes what it did."""

    def __init__(self, worker_id, store, record, tries, starts, service="svc", rack="r1",
                 cores=16, kind="a"):
        self.id = worker_id
        self.store = store
        self.record = record
        self.tries = tries  # number of runs begun so far, by task; shared
        self.starts = starts  # times and tasks of all runs begun; shared
        self.service = service
        self.rack = rack
        self.kind = kind
        self.cores = cores
        self.http = HttpServer(self._handle)
        self.fence = 0
        self.lease_end = 0.0
        self.running = {}
        self.finished = []
        self.next_number = 1
        self.highest_ended = {}
        self.changed = asyncio.Event()
        self.alive = False
        self.sequence = 0
        self.loop = asyncio.get_running_loop()
        self.base = self.loop.time() - 100

    def clock_ms(self):
        return int((self.loop.time() - self.base) * 1000)

    async def start(self, port=0):
        await self.http.start(port)
        self.alive = True
        self.loop.create_task(self._watch_lease())
        self.loop.create_task(self._beat())
        self.record("worker %s up at %s" % (self.id, self.http.address))

    def port(self):
        return int(self.http.address.split(":")[1])

    def crash(self):
        """The process ends at once, with all that it runs; it sends nothing more."""
        self.alive = False
        self.http.stop()
        runs = sorted("%s/%d" % (r.task, r.attempt) for r in self.running.values())
        for run in self.running.values():
            if run.timer is not None:
                run.timer.cancel()
        self.running = {}
        self.record("worker %s crashes with %s" % (self.id, " ".join(runs) or "no task"))

    def leave_list(self):
        self.store.put("keyed.servers", self.id, b"")

    async def _beat(self):
        while self.alive:
            self.sequence += 1
            entry = {"service": self.service, "addr": self.http.address, "zone": "z1",
                     "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
                     "sequence": self.sequence,
                     "capacity": {"cpu": self.cores * 1000, "memMb": 32768, "gpu": 0},
                     "labels": [self.kind, self.rack]}
            self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(1.5)

    async def _watch_lease(self):
        while self.alive:
            if self.running and self.clock_ms() >= self.lease_end:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")
            await asyncio.sleep(LEASE_CHECK_S)

    def _grant(self, body):
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_end = max(self.lease_end, min(body.get("deadlineMs", 0), limit))

    def _answer(self, status, **fields):
        fields["clockMs"] = self.clock_ms()
        return status, fields

    async def _handle(self, request):
        if request.path == "/healthz":
            return 200, {}
        body = request.json()
        if body is None:
            return self._answer(400)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return self._answer(421)
        if request.path not in ("/hold", "/run-start", "/run-stop", "/pace"):
            return 404, {}
        fence = body.get("fenceToken", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        return self._answer(200)

    async def _hold(self, body):
        if "deadlineMs" in body:
            self._grant(body)
        cursor = body.get("ackCursor", 0)
        self.finished = [row for row in self.finished if row[0] > cursor]
        deadline = self.loop.time() + min(body.get("waitMs", 0), MAX_WAIT_MS) / 1000
        while not self.finished and self.loop.time() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - self.loop.time())
            except asyncio.TimeoutError:
                break
        now = self.loop.time()
        running = [[run.task, run.attempt, "", run.percent(now), 0]
                   for run in self.running.values()]
        return self._answer(200, running=running, finished=self.finished[:500])

    def _start(self, body):
        task, attempt = body.get("task", ""), body.get("attempt", 0)
        if body.get("deadlineMs", 0) <= self.clock_ms():
            return self._answer(409, reason="late")
        present = self.running.get(task)
        if present is not None and present.attempt == attempt:
            return self._answer(200)
        self._grant(body)
        if attempt <= self.highest_ended.get(task, 0):
            return self._answer(409, reason="old")
        if present is not None:
            return self._answer(409, reason="room")
        try:
            plan = json.loads(body.get("spec", ""))
        except ValueError:
            plan = {}
        self.tries[task] = self.tries.get(task, 0) + 1
        run = Run(task, attempt, plan, self.loop.time())
        self.running[task] = run
        self.starts.append((self.loop.time(), task))
        self.record("worker %s runs %s/%d" % (self.id, task, attempt))
        index = int(task.split(".")[3])
        fails = plan.get("fail_index", index) == index
        if fails and self.tries[task] <= plan.get("fail_runs", 0):
            delay_ms = plan["fail_run_ms"] + index * plan.get("fail_step_ms", 0)
            run.timer = self.loop.call_later(delay_ms / 1000, self._end, run, "failed")
        elif not plan.get("lasts"):
            run.timer = self.loop.call_later(plan.get("run_ms", 1000) / 1000, self._end, run,
                                             "done")
        return self._answer(200)

    def _stop(self, body):
        task, attempt = body.get("task", ""), body.get("attempt", 0)
        run = self.running.get(task)
        if run is not None and run.attempt == attempt and not run.stopping:
            run.stopping = True
            self.loop.call_later(KILL_GRACE_S, self._end, run, "stopped")
        elif run is None:
            self.highest_ended[task] = max(self.highest_ended.get(task, 0), attempt)
        return self._answer(200)

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        if run.timer is not None:
            run.timer.cancel()
        del self.running[run.task]
        self.highest_ended[run.task] = max(self.highest_ended.get(run.task, 0), run.attempt)
        self.finished.append([self.next_number, run.task, run.attempt, how, ""])
        self.next_number += 1
        self.record("worker %s ends %s/%d %s" % (self.id, run.task, run.attempt, how))
        self.changed.set()
        self.changed = asyncio.Event()
