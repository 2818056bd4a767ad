"""A small HTTP/1.1 server on asyncio: keep-alive, Content-Length bodies."""

import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 503: "Service Unavailable"}


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        try:
            value = json.loads(self.body)
        except ValueError:
            return None
        return value if isinstance(value, dict) else None


async def read_request(reader):
    """Returns the next request, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


class HttpServer:
    """Serves `handler(request)`, which returns (status, body bytes or object)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port,
                                                 limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    def stop(self):
        """Closes the listener and resets all connections, as a killed process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                status, body = await self.handler(request)
                kind = "application/octet-stream"
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                    kind = "application/json"
                head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
                    status, REASONS.get(status, "Status"), kind, len(body))
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
