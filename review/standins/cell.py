"""A small deployment on loopback: the project's entries as processes, and stand-ins.

Entries are started with the run command of the deploy file, with settings made from
the deploy file's template.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from http_server import HttpServer
from store import Store
from worker import Worker

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "cell.example"
PREFIX = "/jobs/"
GRACE_S = 6
CELL_UP_S = 15
LIMIT_S = 95
ZONES = ("z1", "z2", "z3")


class CannotRun(Exception):
    pass


def free_port(taken=set()):
    """Returns a free port below those that the system gives to outgoing connections,
    which could otherwise take it before the entry listens."""
    while True:
        port = random.randrange(10000, 30000)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port


def lookup(fields, path):
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)] if int(part) < len(fields) else None
        else:
            fields = fields.get(part) if isinstance(fields, dict) else None
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Fills in a settings template: values, JSON values and sections."""

    def section(match):
        value = lookup(fields, match.group(1))
        return match.group(2) if value else ""

    def value(match):
        found = lookup(fields, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def deploy_commands():
    """Returns the run command and the template of the deploy file's role."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        text = file.read()
    run = re.search(r'^run = "(.*)"$', text, re.M).group(1)
    template = re.search(r'^template = "(.*)"$', text, re.M).group(1)
    with open(os.path.join(ROOT, template), encoding="utf-8") as file:
        return run.split(" "), file.read()


class Entry:
    def __init__(self, cell, number):
        self.cell = cell
        self.number = number
        self.name = "edge-%s-%d" % (ZONES[number % len(ZONES)], number)
        self.front = "127.0.0.1:%d" % free_port()
        self.ready = "127.0.0.1:%d" % free_port()
        self.control = "127.0.0.1:%d" % free_port()
        self.metrics_port = free_port()
        self.process = None

    def write_settings(self):
        fields = {
            "node": self.name, "zone": ZONES[self.number % len(ZONES)], "ip": "127.0.0.1",
            "listen": {"front": self.front, "readyAddr": self.ready, "control": self.control},
            "portRange": [self.metrics_port, self.metrics_port],
            "platform": {"addr": self.cell.store.http.address},
            "advisor": self.cell.silent.address,
            "cloudApi": {"addr": self.cell.machines.address, "ratePerS": 60.0, "dutyPerS": 60.0},
            "bounds": {"maintenanceS": 2, "leaseMs": 3000},
            "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
            "seeds": [e.control for e in self.cell.entries[:3]],
        }
        self.settings = os.path.join(self.cell.folder, self.name + ".json")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(self.cell.template, fields))

    def start(self):
        self.write_settings()
        command = [self.settings if "/etc/" in word else word for word in self.cell.command]
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.cell.record("entry %s starts" % self.name)

    def signal(self, number):
        self.cell.record("%s to entry %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)


class Cell:
    """Entries, a store, workers and a client. `record` writes to record.txt."""

    def __init__(self, case_folder, entries=7, workers=8, cores=16, of_kind_b=0):
        self.file = open(os.path.join(case_folder, "record.txt"), "w", encoding="utf-8",
                         buffering=1)
        self.began = time.monotonic()
        self.entry_count = entries
        self.worker_count = workers
        self.cores = cores
        self.of_kind_b = of_kind_b  # so many workers, the last ones, have this label
        self.entries = []
        self.workers = []
        self.tries = {}
        self.starts = []
        self.lives = 0
        self.folder = tempfile.mkdtemp(prefix="mimosarail-review-")

    def record(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))

    def elapsed(self):
        return time.monotonic() - self.began

    async def start(self):
        self.command, self.template = deploy_commands()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun("not built: " + self.command[0])
        self.store = Store()
        await self.store.start()
        self.silent = HttpServer(self._no_advice)
        await self.silent.start()
        self.machines = HttpServer(self._machines)
        await self.machines.start()
        config = {
            "version": 3,
            "routes": [{"name": "jobs", "host": HOST, "prefix": PREFIX, "service": "svc",
                        "priority": 1, "maxAttempts": 4, "slackFactor": 4.0,
                        "targetDurationMs": 1000}],
            "services": [{"name": "svc", "enforceLimits": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        for number in range(self.worker_count):
            self.workers.append(await self.new_worker(number))
        self.entries = [Entry(self, n) for n in range(self.entry_count)]
        for entry in self.entries:
            entry.start()
        await self._await_ready()

    async def new_worker(self, slot, port=0):
        """Starts a new life of a worker in this slot, with a new id."""
        self.lives += 1
        kind = "b" if slot >= self.worker_count - self.of_kind_b else "a"
        worker = Worker("i-%06x" % (0xa000 + self.lives), self.store, self.record, self.tries,
                        self.starts, rack="r%d" % (slot // 4), cores=self.cores, kind=kind)
        await worker.start(port)
        return worker

    async def _no_advice(self, request):
        return 503, {}

    async def _machines(self, request):
        rows = [{"machine": "m-%d" % n, "pool": "svc", "state": "up", "zone": "z1",
                 "labels": [], "capacity": {}, "id": worker.id}
                for n, worker in enumerate(self.workers)]
        return 200, {"machines": rows, "nextToken": ""}

    async def _await_ready(self):
        for entry in self.entries:
            while (await self.call(entry.ready, "GET", "/readyz"))[0] != 200:
                if self.elapsed() > CELL_UP_S:
                    raise CannotRun("entry %s does not become ready" % entry.name)
                if entry.process.poll() is not None:
                    raise CannotRun("entry %s has ended" % entry.name)
                await asyncio.sleep(0.1)
        self.record("all entries are ready")

    async def call(self, address, method, path, body=None, timeout=3.0):
        """Sends one request; returns (status, body). Status 0: no answer."""
        host, port = address.split(":")
        payload = b"" if body is None else json.dumps(body).encode()
        writer = None

        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(host, int(port))
            head = "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n" % (
                method, path, HOST)
            head += "X-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (timeout * 1000,
                                                                       len(payload))
            writer.write(head.encode() + payload)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = 0
            for line in lines:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            data = await reader.readexactly(length)
            return int(lines[0].split(" ")[1]), data

        try:
            return await asyncio.wait_for(exchange(), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def submit(self, job, spec, steps, entry=0):
        """Hands a job in, again at other entries after no answer, until it is accepted."""
        for attempt in range(8):
            target = self.entries[(entry + attempt) % len(self.entries)]
            status, _ = await self.call(target.front, "POST", PREFIX + job,
                                        {"spec": json.dumps(spec), "steps": steps})
            self.record("POST %s at %s: %s" % (job, target.name, status or "no answer"))
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, entry=0):
        target = self.entries[entry % len(self.entries)]
        status, data = await self.call(target.front, "GET", PREFIX + job)
        state = json.loads(data).get("state", "") if status == 200 else str(status)
        self.record("GET %s at %s: %s" % (job, target.name, state))
        return state

    def running(self, job):
        """Returns the tasks of the job that run now, with their workers."""
        return sorted((task, worker.id) for worker in self.workers if worker.alive
                      for task in worker.running if task.startswith(job + "."))

    def free_workers(self, cores_of, needed, kind=None):
        """Returns the workers, of this kind if one is named, with `needed` cores free,
        and the share of all cores in use. `cores_of` names the cores that a task of
        each job takes."""
        free = []
        used_by_all = 0
        for worker in self.workers:
            used = sum(cores_of.get(task.split(".")[0], 0) for task in worker.running)
            used_by_all += used
            if kind is not None and worker.kind != kind:
                continue
            if worker.alive and worker.cores - used >= needed:
                free.append(worker.id)
        return free, used_by_all / sum(worker.cores for worker in self.workers)

    def leader(self):
        """Returns the entry that led last, by the entries' logs."""
        best = (0, None)
        for entry in self.entries:
            path = os.path.join(self.folder, entry.name + ".log")
            with open(path, encoding="utf-8", errors="replace") as log:
                for line in log:
                    if '"event":"leading"' in line:
                        term = int(line.split('"term":"')[1].split('"')[0])
                        if term > best[0]:
                            best = (term, entry)
        return best[1]

    def stop(self):
        """Ends every process that this object started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.terminate()
        limit = time.monotonic() + GRACE_S
        for entry in self.entries:
            if entry.process is None:
                continue
            try:
                entry.process.wait(max(0.05, limit - time.monotonic()))
            except subprocess.TimeoutExpired:
                entry.process.kill()
                entry.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, scenario, **options):
    """Runs `scenario(cell, trouble)`; exits 1 if it returns a broken rule, 0 if it
    returns an empty text, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def interrupted(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)

    async def main():
        # Connections that are open at the end are of no interest.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cell = Cell(case_folder, **options)
        try:
            cell.record("TROUBLE=%d" % trouble)
            await cell.start()
            broken = await asyncio.wait_for(scenario(cell, trouble), LIMIT_S)
            cell.record("BROKEN: " + broken if broken else "HELD")
            return 1 if broken else 0
        except CannotRun as error:
            cell.record("CANNOT RUN: %s" % error)
            return 2
        except (Exception, asyncio.CancelledError) as error:  # the harness has failed
            cell.record("CANNOT RUN: %r" % error)
            return 2
        finally:
            cell.stop()

    code = asyncio.run(main())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
