"""Fake of the store whose responses can be disturbed by entry, connection and kind of request."""

import asyncio
import base64
import collections
import json
from urllib.parse import unquote

from fakes import PAGE_SIZE, FakeStore, parse_request_target, read_head

RANGE_PATH, WATCH_PATH = "/-/kv-range", "/-/kv-watch"
# Texts in responses that are not valid JSON, by the character that stands for each in a key.
UNREADABLE_TEXTS = {"\ue000": "\x01", "\ue001": "\\ud800", "\ue002": "\\q"}
# An entry that requested a watch within this time reads the store.
READER_WINDOW_S = 1.0


class Connection:
    """A connection of an entry to the store. A silent one never responds again."""

    def __init__(self, writer):
        self.writer = writer
        self.is_watching = False
        self.is_silent = False


class DisturbedStore(FakeStore):
    """Store whose responses can be disturbed by entry, by connection or by kind of request."""

    def __init__(self, random_source):
        super().__init__()
        self.random = random_source
        self.connections = collections.defaultdict(set)
        self.last_watches = {}
        # By index of the entry: the status of its responses, "reset" or "silence".
        self.rejections = {}
        self.stale_age_s = 0.0
        self.answers_watches = True
        self.delay_range_s = None

    def waiting(self):
        """Returns the indexes of the entries whose watch is waiting for a change."""
        return sorted(entry for entry, connections in self.connections.items()
                      if any(each.is_watching for each in connections))

    def readers(self):
        """Returns the indexes of the entries that read the store."""
        now = asyncio.get_running_loop().time()
        recent = {entry for entry, time in self.last_watches.items()
                  if time > now - READER_WINDOW_S}
        return sorted(recent | set(self.waiting()))

    def silence_connections(self, has_watch_only):
        """Leaves all open connections, or those with a waiting watch, unanswered for good. New ones
        are answered."""
        for connections in self.connections.values():
            for connection in connections:
                if connection.is_watching or not has_watch_only:
                    connection.is_silent = True

    def reset_connections(self, entry):
        for connection in list(self.connections[entry]):
            connection.writer.transport.abort()

    def put_unreadable(self, key, value):
        """Writes an item whose key and value may be any bytes."""
        self.put(key, {})
        self.items[key]["value"] = base64.b64encode(value).decode()

    async def serve_entry(self, entry, reader, writer):
        """Serves one connection of an entry."""
        connection = Connection(writer)
        self.connections[entry].add(connection)
        try:
            while self.rejections.get(entry) != "reset" and (head := await read_head(reader)):
                path, query = parse_request_target(head[0])
                connection.is_watching = path == WATCH_PATH
                response = await self.respond_to(entry, path, query)
                connection.is_watching = False
                connection.is_silent = connection.is_silent or response is None
                if not connection.is_silent:
                    writer.write(response)
        except ConnectionError:
            pass
        self.connections[entry].discard(connection)
        writer.transport.abort()

    async def respond_to(self, entry, path, query):
        """Returns the response, or None if it is lost."""
        is_watch = path == WATCH_PATH
        if is_watch:
            self.last_watches[entry] = asyncio.get_running_loop().time()
        if self.delay_range_s:
            await asyncio.sleep(self.random.uniform(*self.delay_range_s))
        rejection = self.rejections.get(entry)
        if rejection is None:
            response = await self.handle_request(path, query)
            return response if self.answers_watches or not is_watch else None
        return None if rejection == "silence" else self.respond(rejection)

    async def handle_request(self, path, query):
        if path not in (RANGE_PATH, WATCH_PATH):
            return self.respond("404 Not Found")
        body = self.list_page(query) if path == RANGE_PATH else await self.watch(query)
        if body is None:
            return self.respond("410 Gone")
        text = json.dumps(body, ensure_ascii=False)
        for placeholder, unreadable in UNREADABLE_TEXTS.items():
            text = text.replace(placeholder, unreadable)
        return self.respond("200 OK", text.encode("utf-8", "surrogateescape"))

    def list_page(self, query):
        items, revision = self.items, self.revision
        if query.get("allowStale") == "1" and self.stale_age_s and self.copies:
            oldest_time = asyncio.get_running_loop().time() - self.stale_age_s
            copy = max((each for each in self.copies if each.time <= oldest_time),
                       key=lambda each: each.time, default=self.copies[0])
            items, revision = copy.items, copy.revision
        prefix, after = (unquote(query.get(name, ""), errors="surrogateescape")
                         for name in ("pathPrefix", "after"))
        keys = sorted(key for key in items if key.startswith(prefix) and key > after)
        page = [items[key] for key in keys[:PAGE_SIZE]]
        return {"items": page, "hasMore": len(keys) > PAGE_SIZE, "at": revision}
