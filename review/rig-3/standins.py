"""Stand-ins for the cases of the third review: the platform's store, workers, a
cloud API, clients, and entries as separate processes. Python's standard library only."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join(ROOT, "target", "src", "app", "mimosaraild")


def now_ms():
    return int(time.monotonic() * 1000)


def free_port():
    """A port below those of outgoing connections, which could take it before a daemon listens."""
    while True:
        port = random.randint(15000, 30000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP request; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def response(status, body=b"", kind="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return (f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class HttpServer:
    """Serves `handle(method, target, headers, body)`, a coroutine that returns the bytes of
    the response, or None to give no answer and close the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.connections = set()
        self.server = None
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ", 2)
                out = await self.handle(method, target, headers, body)
                if out is None:
                    break
                writer.write(out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """As if the process had been killed: the port refuses, connections break."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class Store:
    """The platform's store, form `log`: the calls that the entries use."""

    def __init__(self, append_s=0.003):
        self.topics = {}
        self.append_s = append_s
        self.changed = asyncio.Condition()
        self.lock = asyncio.Lock()
        self.http = HttpServer(self.handle)

    def topic(self, name):
        return self.topics.setdefault(name, {"records": [], "newest": {}, "writers": {}})

    async def start(self):
        await self.http.start()
        return self.http.address

    @staticmethod
    def add(topic, record):
        size = record[0]
        key, value = record[1:1 + size], record[1 + size:]
        topic["newest"].pop(key, None)
        if value:
            topic["newest"][key] = len(topic["records"])
        topic["records"].append(record)

    async def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self.add(self.topic(topic), bytes([len(key)]) + key.encode() + data)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        q = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}
        topic = self.topic(q.get("topic", ""))
        if (method, path) == ("POST", "/log-append"):
            return await self.append(topic, q, body)
        if (method, path) == ("GET", "/log-newest"):
            return self.newest(topic, q)
        if (method, path) == ("GET", "/log-read"):
            return await self.read(topic, q)
        return response(404, {})

    async def append(self, topic, q, body):
        records, at = [], 0
        while at < len(body):
            size = struct.unpack(">I", body[at:at + 4])[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        async with self.lock:
            await asyncio.sleep(self.append_s)
            end = len(topic["records"])
            writer = None
            if "producer" in q:
                epoch, sequence = int(q["epoch"]), int(q["sequence"])
                writer = topic["writers"].setdefault(
                    q["producer"], {"epoch": -1, "last": None, "replies": []})
                if epoch < writer["epoch"]:
                    return response(409, {"reason": "fenced"})
                if epoch > writer["epoch"]:
                    writer.update(epoch=epoch, last=None, replies=[])
                for number, reply in writer["replies"]:
                    if number == sequence:
                        return reply
                if writer["last"] is not None and sequence != writer["last"] + 1:
                    return response(409, {"reason": "seq", "sequence": writer["last"] + 1})
            if "at" in q and int(q["at"]) != end:
                return response(412, {"endOffset": end})
            for record in records:
                self.add(topic, record)
            out = response(200, {"offset": end, "endOffset": len(topic["records"])})
            if writer is not None and records:
                writer["last"] = sequence
                writer["replies"] = (writer["replies"] + [(sequence, out)])[-5:]
        async with self.changed:
            self.changed.notify_all()
        return out

    def newest(self, topic, q):
        after = q.get("dependsOn", "").encode()
        items, size, more = [], 0, False
        for key in sorted(k for k in topic["newest"] if k > after):
            if len(items) >= 500 or size >= 1 << 20:
                more = True
                break
            offset = topic["newest"][key]
            value = topic["records"][offset][1 + len(key):]
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return response(200, {"items": items, "hasMore": more,
                              "endOffset": len(topic["records"])})

    async def read(self, topic, q):
        start = int(q["from"])
        limit = time.monotonic() + min(int(q.get("waitMs", "0")), 30000) / 1000
        while len(topic["records"]) <= start and time.monotonic() < limit:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), limit - time.monotonic())
                except asyncio.TimeoutError:
                    break
        out = struct.pack(">QQ", len(topic["records"]), 0)
        for record in topic["records"][start:]:
            if len(out) > 1 << 20:
                break
            out += struct.pack(">I", len(record)) + record
        return response(200, out, "application/octet-stream")


class Worker:
    """One worker. A task runs for as many ms as its `spec` says (`ms=N`)."""

    def __init__(self, store, record, name, service, labels, cpu=16000, mem=32000,
                 max_hold_ms=6000):
        self.store, self.record = store, record
        self.id, self.service, self.labels = name, service, labels
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": 0}
        self.max_hold_ms = max_hold_ms
        self.began = now_ms()
        self.running = {}
        self.finished = []
        self.last_number = 0
        self.highest = {}
        self.fence = 0
        self.lease_end = 0
        self.up = True
        self.ended = asyncio.Condition()
        self.starts = []
        self.http = HttpServer(self.handle)

    def clock(self):
        return now_ms() - self.began + 1000

    async def start(self):
        await self.http.start()
        await self.list(True)
        asyncio.create_task(self.watch())

    async def list(self, listed):
        entry = {"service": self.service, "addr": self.http.address, "zone": "zone-a",
                 "version": "1", "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 1,
                 "capacity": self.capacity, "labels": self.labels}
        await self.store.put("keyed.servers", self.id, entry if listed else None)

    async def lose(self):
        """The worker is lost for good: it refuses connections, and its entry is removed after
        three heartbeat intervals of 1.5 s."""
        self.up = False
        self.record.line(f"worker {self.id} is lost for good, running {len(self.running)}")
        self.running = {}
        self.http.stop()
        await asyncio.sleep(4.5)
        await self.list(False)

    async def end(self, task, how):
        attempt, _, _ = self.running.pop(task)
        self.last_number += 1
        self.finished.append([self.last_number, task, attempt, how, ""])
        self.record.line(f"worker {self.id} ended {task} run {attempt} {how}")
        async with self.ended:
            self.ended.notify_all()

    async def watch(self):
        while self.up:
            await asyncio.sleep(0.01)
            for task, (_, since, duration) in list(self.running.items()):
                if self.clock() >= since + duration:
                    await self.end(task, "done")
            if self.running and self.clock() >= self.lease_end:
                for task in list(self.running):
                    await self.end(task, "lapsed")

    def answer(self, status, body):
        return response(status, dict(body, clockMs=self.clock()))

    def extend(self, call):
        wanted = min(call.get("deadlineMs", 0), self.clock() + self.max_hold_ms)
        self.lease_end = max(self.lease_end, wanted)

    async def handle(self, method, target, headers, body):
        if headers.get("x-expect-instance") != self.id:
            return self.answer(421, {})
        call = json.loads(body)
        fence = call.get("fenceToken", 0)
        if fence < self.fence:
            return self.answer(409, {"reason": "fence"})
        self.fence = fence
        if target == "/run-start":
            return self.run_start(call)
        if target == "/run-stop":
            return await self.run_stop(call)
        if target == "/hold":
            return await self.hold(call)
        return self.answer(404, {})

    def run_start(self, call):
        task, attempt = call["task"], call["attempt"]
        if call["deadlineMs"] <= self.clock():
            return self.answer(409, {"reason": "late"})
        self.extend(call)
        if task in self.running and self.running[task][0] == attempt:
            return self.answer(200, {})
        if attempt <= self.highest.get(task, 0) or task in self.running:
            return self.answer(409, {"reason": "old"})
        self.highest[task] = attempt
        spec = call["spec"]
        self.running[task] = (attempt, self.clock(), int(spec.split("ms=")[1].split()[0]))
        self.starts.append((time.monotonic(), task))
        self.record.line(f"worker {self.id} started {task} run {attempt}")
        return self.answer(200, {})

    async def run_stop(self, call):
        task, attempt = call["task"], call["attempt"]
        self.highest[task] = max(self.highest.get(task, 0), attempt)
        if task in self.running and self.running[task][0] <= attempt:
            await self.end(task, "stopped")
        return self.answer(200, {})

    async def hold(self, call):
        self.extend(call)
        self.finished = [row for row in self.finished if row[0] > call.get("ackCursor", 0)]
        limit = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < limit:
            async with self.ended:
                try:
                    await asyncio.wait_for(self.ended.wait(), limit - time.monotonic())
                except asyncio.TimeoutError:
                    break
        rows = [[task, attempt, "", min(99, int(100 * (self.clock() - since) / duration)), 0]
                for task, (attempt, since, duration) in self.running.items()]
        return self.answer(200, {"running": rows, "finished": self.finished[:500]})


class Cloud:
    """GET /machines of the cloud API; no wave is ever requested."""

    def __init__(self, workers):
        self.workers = workers
        self.http = HttpServer(self.handle)

    async def handle(self, method, target, headers, body):
        rows = [{"machine": "m-" + w.id, "pool": w.service, "state": "up" if w.up else "down",
                 "zone": "zone-a", "labels": w.labels, "capacity": w.capacity, "id": w.id}
                for w in self.workers]
        return response(200, {"machines": rows, "nextToken": ""})


class Entry:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, folder, name, store, cloud):
        self.folder, self.name = folder, name
        self.store, self.cloud = store, cloud
        ports = [free_port() for _ in range(4)]
        self.front, self.ready, self.peer, self.metrics = ("127.0.0.1:%d" % p for p in ports)
        self.process = None

    def write_settings(self, seeds):
        # As made from deploy/settings.tmpl for a machine of a small deployment.
        settings = {
            "name": self.name, "failure_domain": "zone-a", "front_address": self.front,
            "ready_address": self.ready, "peer_address": self.peer,
            "metrics_address": self.metrics, "store_address": self.store,
            "adviser_address": "127.0.0.1:9", "hosts_address": self.cloud,
            "host_lists_per_s": 60, "host_orders_per_s": 60, "upkeep_s": 2,
            "max_lease_ms": 6000, "holder_lease_ms": 3000, "cpu_share": 0.25,
            "link_mbps": 1000, "memory_mb": 260, "upstream_speed_spread": 2, "seeds": seeds}
        with open(os.path.join(self.folder, self.name + ".json"), "w", encoding="utf-8") as f:
            json.dump(settings, f)

    def start(self):
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [DAEMON, "jobs", "--settings", os.path.join(self.folder, self.name + ".json")],
            cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


async def call(address, method, path, host, body=None, timeout=3.0):
    """One call of a client; returns (status, body), or (0, "") without an answer."""
    async def talk():
        ip, port = address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                          f"Content-Type: application/json\r\nX-Deadline-Ms: "
                          f"{int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n")
                         .encode() + data)
            await writer.drain()
            start, _, out = await read_message(reader)
            return int(start.split(" ")[1]), out.decode()
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, ""


async def submit(record, fronts, host, prefix, job_id, job, tries=5):
    """Hands a job in; repeats it at another entry without an answer, or after 502 or 504.
    Returns the last status."""
    status = 0
    for n in range(tries):
        front = fronts[(int(job_id, 16) + n) % len(fronts)]
        status, _ = await call(front, "POST", prefix + job_id, host, job)
        record.line(f"client POST {job_id} at {front}: {status or 'no answer'}")
        if status not in (0, 502, 504):
            break
    return status


async def state(record, fronts, host, prefix, job_id, tries=4):
    for n in range(tries):
        front = fronts[(int(job_id, 16) + n) % len(fronts)]
        status, body = await call(front, "GET", prefix + job_id, host)
        record.line(f"client GET {job_id} at {front}: {status or 'no answer'} {body}")
        if status == 200:
            return json.loads(body)["state"]
        if status == 410:
            return "410"
    return "no answer"


async def ready(entries, limit_s=15):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        answers = [await call(e.ready, "GET", "/readyz", "x", timeout=1.0) for e in entries]
        if all(status == 200 for status, _ in answers):
            return True
        await asyncio.sleep(0.2)
    return False
