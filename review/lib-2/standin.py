"""Stand-ins for the cases 6 to 10 of the review: caches, the change log, clients, and the router's process.

They follow given/kit/real/PROTOCOL.md. Only Python's standard library is used, all addresses are on loopback, and ports are chosen by the
system. A case starts the router by the `run` line of deploy/balancer.toml, and ends it before it returns.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
READY_LIMIT_S = 30.0


class CannotRun(Exception):
    """The case could not run: neither a pass nor a failure."""


def unix_ms():
    return time.time() * 1000.0


# RESP arrays of bulk strings.


def encode(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word if isinstance(word, (bytes, bytearray)) else str(word).encode()
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


async def read_array(reader):
    """The next array of bulk strings; None at the end of the stream."""
    try:
        line = await reader.readuntil(b"\r\n")
        words = []
        for _ in range(int(line[1:])):
            line = await reader.readuntil(b"\r\n")
            words.append((await reader.readexactly(int(line[1:]) + 2))[:-2])
        return words
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def fields_of(word):
    text = word.decode()
    return {} if text in ("", "-") else dict(pair.split("=", 1) for pair in text.split(","))


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.time()

    def line(self, text):
        self.file.write(f"{(time.time() - self.start) * 1000:9.1f} ms  {text}\n")


class Fetch:
    """A fetch that arrived whole at a cache."""

    def __init__(self, cache, words, writer):
        self.cache, self.id, self.writer = cache, words[1].decode(), writer
        self.fields = fields_of(words[2])
        self.body = words[3] if len(words) > 3 else b""
        self.at = unix_ms()
        self.aborted = False

    def answer(self, word, fields="-", body=b""):
        if not self.writer.is_closing():
            self.writer.write(encode(self.id, word, fields, body))


def body_of(obj, part, length=200):
    """The bytes of a part: the same at every cache."""
    seed = f"{obj}/{part};".encode()
    return (seed * (length // len(seed) + 1))[:length]


class Cache:
    """A cache, a parent or the origin. `handler(fetch)` is a coroutine that answers a fetch, or doesn't."""

    def __init__(self, name, number, kind, zone, handler, record):
        self.name, self.number, self.kind, self.zone = name, number, kind, zone
        self.handler, self.record = handler, record
        self.fetches, self.aborts, self.writers = [], [], set()
        self.silent = False
        self.size = 4.0
        self.server = None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        open_fetches = {}
        while True:
            words = await read_array(reader)
            if words is None:
                break
            verb = words[0]
            if verb == b"alive":
                if not self.silent:
                    writer.write(encode(words[1], "yes"))
            elif verb == b"abort":
                self.aborts.append((words[1].decode(), unix_ms()))
                fetch = open_fetches.pop(words[1].decode(), None)
                if fetch:
                    fetch.aborted = True
                self.record.line(f"{self.name} abort {words[1].decode()}")
            elif verb == b"fetch":
                fetch = Fetch(self, words, writer)
                self.fetches.append(fetch)
                open_fetches[fetch.id] = fetch
                self.record.line(f"{self.name} fetch {fetch.id} {words[2].decode()} body={len(fetch.body)}")
                task = asyncio.ensure_future(self.handler(fetch))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        self.writers.discard(writer)
        writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def listed(self, phase="SERVING", started=0):
        return {"id": f"s-{self.number:08x}", "host_port": f"127.0.0.1:{self.port}", "locality": self.zone,
                "flavor": self.kind, "cell": 0, "phase": phase, "size": self.size, "up_since_ms": started}

    def binary(self, areas, kinds, state=0, started=0):
        """The record of 27 bytes of a list; the states are 0 ready, 1 draining, 2 gone."""
        return (self.number.to_bytes(4, "big") + bytes([127, 0, 0, 1]) + self.port.to_bytes(2, "big")
                + bytes([state, areas.index(self.zone), kinds.index(self.kind)]) + (0).to_bytes(2, "big")
                + int(self.size * 1000).to_bytes(4, "big") + int(started).to_bytes(8, "big"))


class ChangeLog:
    """The change log. Events are numbered from `first`."""

    def __init__(self, first, record):
        self.first, self.record, self.events, self.writers, self.server = first, record, [], set(), None
        self.added = asyncio.Event()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def add(self, kind, payload, text):
        self.events.append((kind, payload))
        self.record.line(f"change log event {self.first + len(self.events) - 1}: {text}")
        self.added.set()
        self.added = asyncio.Event()

    def add_changes(self, records, text, whole=False):
        self.add(1 if whole else 2, b"".join(records), text)

    def purge_object(self, obj, at):
        self.add(3, int(obj, 16).to_bytes(8, "big") + int(at).to_bytes(8, "big"), f"purge of {obj} at {int(at)}")

    def purge_group(self, group, at):
        self.add(4, group.to_bytes(2, "big") + int(at).to_bytes(8, "big"), f"purge of group {group} at {int(at)}")

    @staticmethod
    def frame(number, kind, payload=b""):
        return (len(payload) + 9).to_bytes(4, "big") + number.to_bytes(8, "big") + bytes([kind]) + payload

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            sent = int.from_bytes(await reader.readexactly(8), "big")
            self.record.line(f"change log asked for what follows event {sent}")
            last_empty = 0.0
            while True:
                added = self.added
                while sent < self.first + len(self.events) - 1:
                    kind, payload = self.events[sent + 1 - self.first]
                    sent += 1
                    writer.write(self.frame(sent, kind, payload))
                if time.time() - last_empty >= 1.0:
                    last_empty = time.time()
                    writer.write(self.frame(sent, 0))
                await writer.drain()
                try:
                    await asyncio.wait_for(added.wait(), max(0.01, last_empty + 1.0 - time.time()))
                except asyncio.TimeoutError:
                    pass
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        self.writers.discard(writer)

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Sent:
    """A request of a client: when it was sent, and what was answered."""

    def __init__(self, tag, request_id):
        self.tag, self.id, self.text = tag, request_id, ""
        self.sent, self.answers, self.undone = None, [], None
        self.done = asyncio.Event()


class Client:
    """A client's connection."""

    def __init__(self, name, record):
        self.name, self.record, self.requests, self.last_tag = name, record, {}, 0
        self.closed_at, self.pongs = None, asyncio.Queue()

    async def connect(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.writer.get_extra_info("socket").setsockopt(6, 1, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        while True:
            words = await read_array(self.reader)
            if words is None:
                break
            tag, word = int(words[0]), words[1].decode()
            fields = words[2] if len(words) > 2 else b""
            body = words[3] if len(words) > 3 else b""
            request = self.requests.get(tag)
            if request is None:
                self.pongs.put_nowait(word)
                continue
            request.answers.append((unix_ms(), word, fields_of(fields), body))
            request.done.set()
            self.record.line(f"{self.name} answer {tag} {word} {fields.decode()} body={len(body)}")
        self.closed_at = unix_ms()
        self.record.line(f"{self.name} connection closed by the router")
        for request in self.requests.values():
            request.done.set()

    def request(self, cls, deadline, obj, part=0, group=0, body=b"", extra="", request_id=None):
        """The bytes of a request, and the request; `write` sends the bytes."""
        self.last_tag += 1
        request = Sent(self.last_tag, request_id or f"{random.getrandbits(64):016x}")
        self.requests[request.tag] = request
        fields = f"i={request.id},d={deadline},o={obj},nth={part},batch={group}{extra}"
        request.text = f"{cls} {fields} body={len(body)}"
        words = ["DO", request.tag, cls, fields] + ([body] if body else [])
        return encode(*words), request

    def write(self, data, *requests):
        self.writer.write(data)
        for request in requests:
            request.sent = unix_ms()
            self.record.line(f"{self.name} DO {request.tag} {request.text}")

    def send(self, *args, **kwargs):
        data, request = self.request(*args, **kwargs)
        self.write(data, request)
        return request

    def undo_bytes(self, request):
        request.undone = unix_ms()
        self.record.line(f"{self.name} UNDO {request.tag}")
        return encode("UNDO", request.tag)

    async def ping(self):
        self.last_tag += 1
        self.writer.write(encode("PING", self.last_tag, ""))
        return await self.pongs.get()

    def close(self):
        self.writer.close()
        self.task.cancel()


def settings(services, **changes):
    """The settings of a small deployment with one zone, edge caches, parents and an origin."""
    count = len(services)
    result = {
        "areas": ["hub", "edge-1"], "my-zone": "edge-1", "kinds": ["box", "parent", "origin"], "me": 0,
        "peers-total": 1, "granularity": 2.0, "family": "edge", "discovery": "automatic", "stage": 0,
        "weight-kind": "nominal", "tenants": [], "tiers": ["cache-fleet"], "counted-by": "request",
        "services": services,
        "contract": {"answer-slack": 8.0, "ask-within": 10000.0, "cold": 17000.0, "cold-share": 0.24,
                     "drain-grace": 250.0, "fall": 1500.0, "fall-multiple": 4.0},
        "family-info": {"shield-kind": 1, "store-kind": 2, "pass-through-ok": True, "purge-settles": 6000.0,
                        "heed-within": 300.0, "collapses": True, "lateral": "silent", "detail": "all",
                        "goes-through": [False] * count, "lifetime-by-class": [0.0] * count,
                        "class-grace": [0.0] * count, "multi-part": [True] * count,
                        "count-by-zone": [0, 1], "zone-hub": [0, 0], "pace-kb-per-s": 7600.0,
                        "parent-cold-from": 0.09, "upper-cold": 21000.0, "parent-fall-multiple": 2.0},
        "limits": {"cancel": True, "try-limit": 8, "parallel-tries": False, "retry-after": True,
                   "max-retry-after": 500.0, "conn-idle": 15000.0, "connect-timeout": 400.0,
                   "max-streams": 100, "most-held": 20000},
        "report": {"fields": [], "how": "silent"},
    }
    for key, value in changes.items():
        key = key.replace("_", "-")
        if isinstance(value, dict):
            result[key].update({k.replace("_", "-"): v for k, v in value.items()})
        else:
            result[key] = value
    return result


def service(name, idempotency="read_like", deadline=5000.0, slo=400.0, **more):
    return {"name": name, "idempotency": idempotency, "deadline": deadline, "slo": slo, "aim-stretch": 2.0,
            "key-scope": "all", "late-worth": 0.2, "stream": False, "window": 5000.0, "worth": 1.0, **more}


class Router:
    """A router's process, started by the deploy file's `run`."""

    def __init__(self, name, folder, record, rules, known, changelog_port, limits=None, extra_env=None):
        self.name, self.folder, self.record = name, os.path.join(folder, name), record
        os.makedirs(self.folder, exist_ok=True)
        self.settings, self.known, self.changelog_port = rules, known, changelog_port
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.process, self.port, self.exit_code = None, None, None
        self.starts = 0

    def write_config(self):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": f"{random.getrandbits(64):016x}",
                  "limits": self.limits, "changelog": f"127.0.0.1:{self.changelog_port}",
                  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
                  "known": {"seq": len(self.known), "results": [
                      {"seq": i + 1, **event} for i, event in enumerate(self.known)]},
                  "settings": self.settings}
        path = os.path.join(self.folder, "config.json")
        with open(path + ".new", "w") as file:
            json.dump(config, file)
        os.replace(path + ".new", path)
        return path

    async def start(self):
        if self.port is None:
            probe = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            self.port = probe.sockets[0].getsockname()[1]
            probe.close()
            await probe.wait_closed()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        self.starts += 1
        tmp = os.path.join(self.folder, f"tmp{self.starts}")
        os.makedirs(tmp)
        env = {**os.environ, "GW_NAME": self.name, "GW_LISTEN": f"127.0.0.1:{self.port}",
               "GW_CONFIG": self.write_config(), "TMPDIR": tmp}
        self.log = open(os.path.join(self.folder, f"log{self.starts}"), "w")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.record.line(f"router {self.name} started")
        limit = time.time() + READY_LIMIT_S
        while time.time() < limit:
            if self.process.poll() is not None:
                raise CannotRun(f"the router ended at its start with {self.process.returncode}")
            try:
                client = await Client("probe", Silent()).connect(self.port)
                word = await asyncio.wait_for(client.ping(), 2)
                client.close()
                if word == "serving":
                    self.record.line(f"router {self.name} is serving")
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router did not serve within 30 s")

    def signal(self, number):
        self.record.line(f"router {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def crashed(self):
        return self.process is not None and self.process.poll() is not None

    def log_text(self):
        return open(os.path.join(self.folder, f"log{self.starts}")).read()

    async def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Silent:
    def line(self, text):
        pass


def run_case(case, folder):
    """Runs `case(env)`, a coroutine that returns what broke the rule (a list of texts); exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.line(f"TROUBLE={int(trouble)}")
    temporary = tempfile.mkdtemp(prefix="review-")

    class Env:
        pass

    env = Env()
    env.trouble, env.record, env.folder, env.routers = trouble, record, temporary, []

    async def main():
        try:
            return await asyncio.wait_for(case(env), 110)
        finally:
            for router in env.routers:
                await router.end()

    code = 2
    try:
        broken = asyncio.run(main())
        code = 1 if broken else 0
        for text in broken:
            record.line(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        record.line("the rule was broken" if broken else "the rule held")
        print("the rule was broken" if broken else "the rule held")
    except Exception as e:
        record.line(f"the case could not run: {type(e).__name__} {e}")
        print(f"the case could not run: {type(e).__name__} {e}", file=sys.stderr)
        if os.environ.get("CASE_TRACE"):
            raise
    finally:
        if os.environ.get("CASE_KEEP"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.file.close()
    sys.stdout.flush()
    os._exit(code)
