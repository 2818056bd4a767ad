"""Stand-in of the platform's metadata store: a log with keyed topics."""

import asyncio
import base64
import struct

from http_server import HttpServer

PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20
KEPT_REPLIES = 5
APPEND_S = 0.004
OPERATOR_TOPICS = ("keyed.op", "keyed.servers")


class Writer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.last = None
        self.replies = []


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.changed = asyncio.Event()


def parse_records(body):
    """Returns the records of an append, or None if the body is malformed."""
    out = []
    at = 0
    while at < len(body):
        if at + 4 > len(body):
            return None
        (length,) = struct.unpack_from(">I", body, at)
        at += 4
        if at + length > len(body):
            return None
        out.append(body[at:at + length])
        at += length
    return out


class Store:
    def __init__(self):
        self.topics = {}
        self.http = HttpServer(self._handle)

    async def start(self):
        return await self.http.start()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic_name, key, value):
        """Writes a record on behalf of the operator or of a worker."""
        key_bytes = key.encode()
        self._add(self.topic(topic_name), bytes([len(key_bytes)]) + key_bytes + value)

    def _add(self, topic, record):
        length = record[0]
        key = record[1:1 + length]
        topic.newest.pop(key, None)
        if len(record) > 1 + length:
            topic.newest[key] = len(topic.records)
        topic.records.append(record)
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def _handle(self, request):
        call = request.method + " " + request.path
        if call == "POST /log-append":
            await asyncio.sleep(APPEND_S)
            return self._append(request)
        if call == "GET /log-read":
            return await self._read(request)
        if call == "GET /log-newest":
            return self._newest(request)
        return 404, {}

    def _append(self, request):
        name = request.query.get("topic", "")
        if name in OPERATOR_TOPICS:
            return 403, {}
        records = parse_records(request.body)
        if records is None:
            return 400, {}
        topic = self.topic(name)
        end = len(topic.records)
        writer = None
        sequence = 0
        if "producer" in request.query:
            epoch = int(request.query["epoch"])
            sequence = int(request.query.get("sequence", "0"))
            writer = topic.writers.get(request.query["producer"])
            if writer is not None and epoch < writer.epoch:
                return 409, {"reason": "fenced"}
            if writer is None or epoch > writer.epoch:
                writer = topic.writers[request.query["producer"]] = Writer(epoch)
            for number, reply in writer.replies:
                if number == sequence and records:
                    return reply
            if records and writer.last is not None and sequence != writer.last + 1:
                return 409, {"reason": "seq", "sequence": writer.last + 1}
        if "at" in request.query and int(request.query["at"]) != end:
            return 412, {"endOffset": end}
        for record in records:
            self._add(topic, record)
        reply = (200, {"offset": end, "endOffset": len(topic.records)})
        if writer is not None and records:
            writer.last = sequence
            writer.replies = (writer.replies + [(sequence, reply)])[-KEPT_REPLIES:]
        return reply

    async def _read(self, request):
        topic = self.topic(request.query.get("topic", ""))
        start = int(request.query.get("from", "0"))
        wait_s = min(int(request.query.get("waitMs", "0")), 30000) / 1000
        deadline = asyncio.get_running_loop().time() + wait_s
        while start >= len(topic.records):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            if len(out) > PAGE_BYTES:
                break
            out += struct.pack(">I", len(record)) + record
        return 200, out

    def _newest(self, request):
        topic = self.topic(request.query.get("topic", ""))
        after = request.query.get("dependsOn", "").encode()
        items = []
        size = 0
        more = False
        for key in sorted(topic.newest):
            if key <= after:
                continue
            if len(items) >= PAGE_ITEMS or size >= PAGE_BYTES:
                more = True
                break
            offset = topic.newest[key]
            value = topic.records[offset][1 + len(key):]
            size += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(),
                          "offset": offset})
        return 200, {"items": items, "hasMore": more, "endOffset": len(topic.records)}
