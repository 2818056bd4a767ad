"""Stand-ins of the platform, its workers and its clients, and a runner that
starts the daemon with the commands of the deploy file. Loopback only, standard
library only. They follow the pages; where a page is silent they behave like a
sound store, worker or client."""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Bounds as in the settings of a small deployment (site ssm-sched).
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
    "configApplyMs": 2000, "maxHoldMs": 6000, "killGraceMs": 900,
    "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "maintenanceS": 2,
    "fencing": True, "leaseMs": 3000,
}
HEARTBEAT_MS = 1500


def free_port(taken=set()):
    """A free port below the range from which the kernel takes the ports of
    outgoing connections, so that none of these takes it meanwhile. Scripts
    that run side by side look in different parts of the range first."""
    first = 12000 + os.getpid() % 180 * 100
    ports = list(range(first, first + 100)) + random.sample(
        range(12000, 30000), 1000)
    for port in ports:
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise Skip("no free port")


def steady_ms():
    return int(time.monotonic() * 1000)


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


# --- HTTP -------------------------------------------------------------------


class HttpServer:
    """HTTP/1.1 server with keep-alive. `handle` is a coroutine that takes
    (method, target, headers, body) and returns (status, body bytes)."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self, port=0):
        port = port or free_port()
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, reuse_address=True)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def abort(self):
        """Ends like a killed process: connections are reset, the port closes."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                status, out = await self.handle(method, target, headers, body)
                writer.write(
                    (f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                     f"\r\nContent-Length: {len(out)}\r\n\r\n").encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


def to_json(value):
    return json.dumps(value, separators=(",", ":")).encode()


async def http_call(address, method, path, host, body=b"", deadline_ms=3000):
    """One request on a connection of its own. Returns (status, body), or
    (0, cause) if there was no complete answer in time."""
    ip, port = address.split(":")

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(
                (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                 f"X-Deadline-Ms: {deadline_ms}\r\n"
                 "Content-Type: application/json\r\n"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            length = 0
            for line in lines[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            return status, await reader.readexactly(length)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), deadline_ms / 1000)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as e:
        return 0, type(e).__name__.encode()


# --- The platform's store -----------------------------------------------------


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()

    def add(self, content):
        length = content[0]
        key, value = content[1:1 + length], content[1 + length:]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = len(self.records)
        self.records.append(content)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class Store:
    """The platform's metadata store in its log form, one partition a topic."""

    APPEND_S = 0.003

    def __init__(self):
        self.topics = {}
        self.server = HttpServer(self._handle)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker does."""
        raw = value if isinstance(value, bytes) else to_json(value)
        name = key.encode()
        self.topic(topic).add(bytes([len(name)]) + name + raw)

    async def _handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = self.topic(query.get("topic", ""))
        if (method, url.path) == ("POST", "/log-append"):
            async with topic.lock:
                await asyncio.sleep(self.APPEND_S)
                return self._append(topic, query, body)
        if (method, url.path) == ("GET", "/log-read"):
            return await self._read(topic, query)
        if (method, url.path) == ("GET", "/log-newest"):
            return self._newest(topic, query)
        return 404, b"{}"

    @staticmethod
    def _append(topic, query, body):
        records, at = [], 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4:at + 4 + length])
            at += 4 + length
        end = len(topic.records)
        producer = query.get("producer", "")
        if producer:
            epoch = int(query.get("epoch", "0"))
            sequence = int(query.get("sequence", "0"))
            state = topic.writers.setdefault(
                producer, {"epoch": -1, "last": None, "replies": []})
            if epoch < state["epoch"]:
                return 409, to_json({"reason": "fenced"})
            if epoch > state["epoch"]:
                state.update(epoch=epoch, last=None, replies=[])
            for number, reply in state["replies"]:
                if number == sequence and records:
                    return reply
            if records and state["last"] is not None and (
                    sequence != state["last"] + 1):
                return 409, to_json(
                    {"reason": "seq", "sequence": state["last"] + 1})
        if "at" in query and int(query["at"]) != end:
            return 412, to_json({"endOffset": end})
        for record in records:
            topic.add(record)
        reply = 200, to_json({"offset": end, "endOffset": len(topic.records)})
        if producer and records:
            state["last"] = sequence
            state["replies"] = (state["replies"] + [(sequence, reply)])[-5:]
        return reply

    @staticmethod
    async def _read(topic, query):
        start = int(query.get("from", "0"))
        limit = time.monotonic() + min(int(query.get("waitMs", "0")),
                                       30000) / 1000
        while start >= len(topic.records) and time.monotonic() < limit:
            changed = topic.changed
            try:
                await asyncio.wait_for(changed.wait(),
                                       limit - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(topic.records), 0)]
        size = 0
        for content in topic.records[start:]:
            if size >= 1 << 20:
                break
            out.append(struct.pack(">I", len(content)) + content)
            size += len(content)
        return 200, b"".join(out)

    @staticmethod
    def _newest(topic, query):
        after = query.get("dependsOn", "").encode()
        keys = sorted(k for k in topic.newest if k > after)
        items = []
        for key in keys[:500]:
            offset = topic.newest[key]
            value = topic.records[offset][1 + len(key):]
            items.append({"key": key.decode(),
                          "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, to_json({"items": items, "hasMore": len(keys) > 500,
                             "endOffset": len(topic.records)})


# --- A worker -----------------------------------------------------------------


class Gang:
    """One run of a gang that saves its progress. It works from the moment when
    all members are present; its members end together. Its saved value is the
    same for all members at any moment: progress in ms, then a digest of the
    step and the run."""

    SAVE_MS = 500  # bounds.checkpointS

    def __init__(self, step, attempt, size, work_ms):
        self.step, self.attempt = step, attempt
        self.size, self.work_ms = size, work_ms
        self.members = {}  # task -> (life, checkpoint of its start)
        self.created = steady_ms()
        self.began = None
        self.base = 0
        self.over = False

    def join(self, life, task, checkpoint):
        self.members[task] = (life, checkpoint)
        if len(self.members) == self.size:
            self.began = steady_ms()
            # Work goes on from the least advanced of the values.
            self.base = min(int(c[:8], 16) if c else 0
                            for _, c in self.members.values())

    def progress(self):
        if self.began is None:
            return 0
        return self.base + steady_ms() - self.began

    def percent(self):
        return min(100, 100 * self.progress() // self.work_ms)

    def saved(self, checkpoint):
        if self.began is None or self.progress() - self.base < self.SAVE_MS:
            return checkpoint
        at = self.progress() // self.SAVE_MS * self.SAVE_MS
        digest = zlib.crc32(f"{self.step} {self.attempt} {at}".encode())
        return f"{at:08x}{digest:08x}"

    def end(self, how, but=None):
        """Ends all members, but for one that has ended already."""
        if self.over:
            return
        self.over = True
        for task, (life, _) in self.members.items():
            if task != but and life.alive and task in life.running:
                life._end(task, how)


class Life:
    """One life of a worker. What it runs follows from `spec`: "work MS" ends
    done after MS ms of work, "fail MS" ends failed, "last" runs until it is
    stopped, "last MS" does so too, but that its first run ends failed after MS
    ms, "gang N MS" is a member of a gang of N."""

    STOP_S = 0.05
    STARTUP_MS = 400

    def __init__(self, cell, place, number):
        self.cell = cell
        self.place = place
        self.id = f"i-{place.name}-{number}"
        self.born = steady_ms()
        self.fence = 0
        self.lease_end = 0
        self.running = {}
        self.last_attempt = {}
        self.finished = []
        self.last_number = 0
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        self.alive = True

    def clock(self):
        return steady_ms() - self.born + 1000

    def entry(self):
        place = self.place
        return {"service": place.service, "addr": self.server.address,
                "zone": place.zone, "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": place.capacity,
                "labels": place.labels, "clockMs": self.clock(),
                "sequence": 1}

    async def start(self):
        await self.server.start(self.place.port)
        asyncio.ensure_future(self._watch())

    def crash(self):
        self.alive = False
        lost, self.running = self.running, {}
        for task, run in lost.items():
            self.cell.record.line(
                f"worker {self.id} crashed under {task} run {run['attempt']}")
        self.server.abort()
        for task, run in lost.items():
            if run["gang"]:
                run["gang"].end("broken", but=task)

    async def _watch(self):
        while self.alive:
            await asyncio.sleep(0.01)
            now = self.clock()
            if self.running and now >= self.lease_end:
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run["stop_at"] is not None and now >= run["stop_at"]:
                    self._end(task, "stopped")
                elif run["end"] is not None and now >= run["end"]:
                    self._end(task, run["how"])
                elif run["gang"] and run["gang"].progress() >= (
                        run["gang"].work_ms):
                    run["gang"].end("done")
                elif run["gang"] and run["gang"].began is None and (
                        steady_ms() - run["gang"].created >
                        BOUNDS["gangTimeoutMs"]):
                    run["gang"].end("alone")

    def _end(self, task, how):
        run = self.running.pop(task, None)
        if run is None:
            return
        saved = "" if how == "done" else self._saved(run)
        self.last_number += 1
        self.finished.append(
            [self.last_number, task, run["attempt"], how, saved])
        if run["gang"] and how != "done":
            run["gang"].end("broken", but=task)
        self.cell.on_end(self, task, run["attempt"], how)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _answer(self, status, **more):
        return status, to_json({"clockMs": self.clock(), **more})

    @staticmethod
    def _saved(run):
        return run["gang"].saved(run["checkpoint"]) if run["gang"] else ""

    def _percent(self, run):
        if run["gang"]:
            return run["gang"].percent()
        worked = self.clock() - run["start"]
        if run["end"] is None:
            return 100 if worked >= self.STARTUP_MS else 50
        return min(100, int(100 * worked / max(1, run["end"] - run["start"])))

    async def _handle(self, method, target, headers, body):
        try:
            call = json.loads(body or b"{}")
        except ValueError:
            return self._answer(400)
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._answer(421)
        if target == "/healthz":
            return self._answer(200)
        if call.get("fenceToken", 0) < self.fence:
            return self._answer(409, reason="fence")
        self.fence = call.get("fenceToken", 0)
        now = self.clock()
        deadline = call.get("deadlineMs", 0)
        self.lease_end = max(self.lease_end,
                             min(deadline, now + BOUNDS["maxHoldMs"]))
        if target == "/run-start":
            return self._start(call, now, deadline)
        if target == "/run-stop":
            return self._stop(call, now)
        if target == "/hold":
            return await self._hold(call)
        return self._answer(404)

    def _start(self, call, now, deadline):
        task, attempt = call["task"], call["attempt"]
        run = self.running.get(task)
        if run and run["attempt"] == attempt:
            return self._answer(200)
        if attempt <= self.last_attempt.get(task, 0):
            return self._answer(409, reason="old")
        if deadline <= now:
            return self._answer(409, reason="late")
        self.last_attempt[task] = attempt
        work = call["spec"].split()
        first = task not in self.cell.started
        self.cell.started.add(task)
        ends = work[0] in ("work", "fail") or (
            work[0] == "last" and len(work) > 1 and first)
        end = now + int(work[1]) if ends else None
        gang = None
        checkpoint = call.get("checkpoint", "")
        if work[0] == "gang":
            step = task.rsplit(".", 1)[0]
            gang = self.cell.gangs.setdefault(
                (step, attempt), Gang(step, attempt, int(work[1]),
                                      int(work[2])))
        self.running[task] = {"attempt": attempt, "start": now, "end": end,
                              "stop_at": None, "gang": gang,
                              "how": "done" if work[0] == "work" else "failed",
                              "checkpoint": checkpoint}
        self.cell.on_start(self, task, attempt)
        if gang:
            self.cell.record.line(
                f"  {task} run {attempt} carries checkpoint '{checkpoint}'")
            gang.join(self, task, checkpoint)
        return self._answer(200)

    def _stop(self, call, now):
        task, attempt = call["task"], call["attempt"]
        self.last_attempt[task] = max(self.last_attempt.get(task, 0), attempt)
        run = self.running.get(task)
        if run and run["attempt"] == attempt and run["stop_at"] is None:
            run["stop_at"] = now + int(self.STOP_S * 1000)
        return self._answer(200)

    async def _hold(self, call):
        ack = call.get("ackCursor", 0)
        self.finished = [f for f in self.finished if f[0] > ack]
        limit = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < limit:
            try:
                await asyncio.wait_for(self.changed.wait(),
                                       limit - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[t, r["attempt"], self._saved(r), self._percent(r)]
                   for t, r in self.running.items()]
        return self._answer(200, running=running, finished=self.finished[:500])


class Place:
    """The machine of a worker: address, kind, rack and room stay with it."""

    def __init__(self, cell, name, service, labels, cpu=16000, zone="z1"):
        self.cell = cell
        self.name = name
        self.service = service
        self.labels = labels
        self.zone = zone
        self.capacity = {"cpu": cpu, "memMb": 32768, "gpu": 0}
        self.port = free_port()
        self.lives = 0
        self.life = None

    async def start(self):
        self.lives += 1
        life = Life(self.cell, self, self.lives)
        for _ in range(50):  # the port may be in use for a moment
            try:
                await life.start()
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.life = life
        self.cell.store.put("keyed.servers", life.id, life.entry())
        self.cell.record.line(f"worker {life.id} ready, labels {self.labels}")

    def crash(self):
        """The worker crashes: it sends nothing, and its entry is removed after
        three heartbeat intervals of silence."""
        life, self.life = self.life, None
        self.cell.record.line(f"TROUBLE: worker {life.id} crashes")
        life.crash()

        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_MS / 1000)
            self.cell.store.put("keyed.servers", life.id, b"")

        asyncio.ensure_future(expire())


# --- The daemon's processes ---------------------------------------------------


def render(template, fields):
    """Fills in a template of settings as the pages tell it."""

    def look(scope, name):
        if name == ".":
            return scope[-1]
        for level in reversed(scope):
            value = level
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit():
                    index = int(part)
                    value = value[index] if index < len(value) else None
                elif isinstance(value, dict):
                    value = value.get(part)
                else:
                    value = None
            if value is not None:
                return value
        return None

    def text(value, as_json):
        if as_json:
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(v, False) for v in value)
        if isinstance(value, (dict, bool)):
            return json.dumps(value)
        return str(value)

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill(part, scope):
        def on_section(match):
            kind, name, inner = match.groups()
            value = look(scope, name)
            if kind == "^":
                return "" if value else fill(inner, scope)
            if not value:
                return ""
            return fill(inner, scope + [value])

        part = section.sub(on_section, part)
        return re.sub(
            r"\{\{([\w.]+)(\|json)?\}\}",
            lambda m: text(look(scope, m.group(1)), m.group(2) is not None),
            part)

    return fill(template, [fields])


def deploy_role():
    """The command, the template and the build's folder of the deploy file."""
    import tomllib
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
        roles = tomllib.load(f)["roles"]
    return next(iter(roles.values()))


class Entry:
    def __init__(self, cell, name, seeds, control):
        self.cell = cell
        self.name = name
        self.front = f"127.0.0.1:{free_port()}"
        self.ready_address = f"127.0.0.1:{free_port()}"
        self.control = control
        self.seeds = seeds
        self.process = None
        self.ready = False
        self.log_path = os.path.join(cell.folder, name + ".log")

    def start(self):
        role = deploy_role()
        fields = {
            "node": self.name, "zone": "z1", "ip": "127.0.0.1",
            "listen": {"front": self.front, "readyAddr": self.ready_address,
                       "control": self.control},
            "portRange": [free_port()], "seeds": self.seeds,
            "platform": {"addr": self.cell.store.server.address},
            "advisor": self.cell.advisor.address,
            "cloudApi": {"addr": self.cell.cloud.address, "ratePerS": 60.0,
                         "dutyPerS": 60.0},
            "bounds": BOUNDS,
            "limits": {"cpuShare": 0.25, "linkMbps": 1000.0},
        }
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as f:
            settings = render(f.read(), fields)
        path = os.path.join(self.cell.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as f:
            f.write(settings)
        command = [path if word == "/etc/mimosarail/local.json" else word
                   for word in role["run"].split()]
        command[0] = os.path.join(ROOT, command[0])
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "LANG": "C", "MIMOSARAIL_BOOT": path})
        self.cell.record.line(f"entry {self.name} started")

    def send_signal(self, number):
        self.cell.record.line(
            f"TROUBLE: signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def watch_ready(self):
        misses = 0
        while True:
            status, _ = await http_call(self.ready_address, "GET", "/readyz",
                                        "x", deadline_ms=1000)
            misses = 0 if status == 200 else misses + 1
            if status == 200:
                self.ready = True
            elif misses >= 2:
                self.ready = False
            await asyncio.sleep(1 if self.ready else 0.2)


class Skip(Exception):
    """The case could not run."""


class Cell:
    """A whole small deployment; a case is a coroutine that takes it."""

    def __init__(self, case_folder, entries=5):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.advisor = HttpServer(self._advise)
        self.cloud = HttpServer(self._list_machines)
        controls = [f"127.0.0.1:{free_port()}" for _ in range(entries)]
        self.controls = controls
        self.entries = []
        self.places = []
        self.starts = []  # (time, worker id, task, attempt)
        self.ends = []  # (time, worker id, task, attempt, how)
        self.gangs = {}  # (step, attempt) -> Gang
        self.started = set()  # tasks that have run
        self.turn = 0

    async def _advise(self, method, target, headers, body):
        workers = json.loads(body or b"{}").get("workers", [])
        return 200, to_json({"allowed": [[w, "t-" + w] for w in workers],
                             "validMs": 3000})

    async def _list_machines(self, method, target, headers, body):
        return 200, to_json({"machines": [], "nextToken": None})

    def on_start(self, life, task, attempt):
        self.starts.append((self.record.now(), life.id, task, attempt))
        self.record.line(f"worker {life.id} runs {task} run {attempt}")

    def on_end(self, life, task, attempt, how):
        self.ends.append((self.record.now(), life.id, task, attempt, how))
        self.record.line(f"worker {life.id} ended {task} run {attempt}: {how}")

    def add_place(self, *args, **named):
        place = Place(self, *args, **named)
        self.places.append(place)
        return place

    def configure(self, version, routes, services):
        self.store.put("keyed.op", "config", {
            "version": version,
            "routes": routes,
            "services": [{"name": s, "healthPath": "/healthz", "maxConns": 64,
                          "proto": "h1", "tls": False, "enforceLimits": False,
                          "standby": False} for s in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}})

    async def start(self):
        await self.store.server.start()
        await self.advisor.start()
        await self.cloud.start()
        for place in self.places:
            await place.start()
        for i, control in enumerate(self.controls):
            self.entries.append(
                Entry(self, f"edge-{i + 1}", self.controls[:3], control))
        for entry in self.entries:
            entry.start()
            asyncio.ensure_future(entry.watch_ready())
        limit = time.monotonic() + 10
        while not all(e.ready for e in self.entries):
            if time.monotonic() > limit:
                raise Skip("not all entries became ready within 10 s")
            if any(e.process.poll() is not None for e in self.entries):
                raise Skip("an entry ended at its start")
            await asyncio.sleep(0.1)
        self.record.line("all entries are ready: traffic may start")
        await asyncio.sleep(2)

    def pick(self, avoid=None):
        """The balancer: a ready entry; retries reach other entries."""
        ready = [e for e in self.entries if e.ready and e is not avoid]
        ready = ready or self.entries
        self.turn += 1
        return ready[self.turn % len(ready)]

    async def call(self, method, path, host, body=b"", entry=None,
                   quiet=False, deadline_ms=3000):
        entry = entry or self.pick()
        began = self.record.now()
        status, out = await http_call(entry.front, method, path, host, body,
                                      deadline_ms)
        if not quiet:
            self.record.line(
                f"client {method} {path} at {entry.name} sent {began:.3f}: "
                f"{status} {out[:80].decode('latin-1')}")
        return status, out

    async def submit(self, host, path, job, tries=5, quiet=False):
        """Hands a job in like a client: again after no answer, 502, 503, 504
        or 429. Returns whether it was accepted."""
        body = to_json(job)
        entry = None
        for attempt in range(tries):
            entry = self.pick(avoid=entry)
            status, _ = await self.call("POST", path, host, body, entry, quiet)
            if 200 <= status < 300:
                return True
            if status in (400, 404, 409):
                return False
            await asyncio.sleep(1.0 if status in (429, 503) else 0.1)
        return False

    async def state(self, host, path, quiet=False):
        """Asks for a job's state; None if there is no answer."""
        entry = None
        for _ in range(3):
            entry = self.pick(avoid=entry)
            status, out = await self.call("GET", path, host, b"", entry, quiet)
            if status == 200:
                return json.loads(out)["state"]
            if status == 410:
                return "410"
            await asyncio.sleep(0.2)
        return None

    def leader(self):
        """The entry that has taken over last, by the processes' logs."""
        best, term = None, 0
        for entry in self.entries:
            if entry.process.poll() is not None:
                continue
            with open(entry.log_path, encoding="utf-8", errors="replace") as f:
                for line in f:
                    if '"event":"leading"' not in line:
                        continue
                    at = int(json.loads(line)["term"])
                    if at > term:
                        best, term = entry, at
        return best

    def stop(self):
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
        for entry in self.entries:
            if entry.process:
                entry.process.wait()
        self.record.line("all processes ended")


def main(case_folder, case, seconds=115, entries=5):
    """Runs the case; exits with 1 if it returns findings, 0 if it returns
    none, and 2 if it could not run."""

    async def run():
        # Connections that are open when the case ends are no news.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        cell = Cell(case_folder, entries)
        try:
            findings = await asyncio.wait_for(case(cell), seconds)
        except (Exception, asyncio.CancelledError) as e:
            # Whatever ends the case before its verdict is no broken rule.
            cell.record.line(f"could not run: {type(e).__name__} {e}")
            print(f"could not run: {type(e).__name__} {e}")
            return 2
        finally:
            cell.stop()
        for finding in findings:
            cell.record.line("BROKEN: " + finding)
            print("BROKEN: " + finding)
        cell.record.line("rule broken" if findings else "rule held")
        print("rule broken" if findings else "rule held")
        print("logs: " + cell.folder)
        return 1 if findings else 0

    sys.exit(asyncio.run(run()))
