"""Stand-ins of the platform, its workers and its requesters, and a runner for gateways.

Everything listens on loopback addresses with ports that the kernel chooses. The gateways are real
processes, started with the command of deploy/system.toml and settings made from
deploy/gateway.yaml.template.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PREFIX = "X-Lavendertally-"
REQUEST_ID = PREFIX + "Request-Id"
SIGNATURE = PREFIX + "Response-Signature"
NOT_EXECUTED = PREFIX + "Not-Executed"

# Bounds of the small deployments (sites/alfoldi-rota).
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryBudgetSlack": 56, "coldOvershoot": 1.5,
    "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 7.7,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **fields):
        parts = [f"{self.now():9.3f} {event}"]
        parts += [f"{name}={json.dumps(value)}" for name, value in fields.items()]
        self.file.write(" ".join(parts) + "\n")
        self.file.flush()


def new_id():
    return f"{random.getrandbits(64):016x}"


def free_ports(address, count):
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind((address, 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


# ----------------------------------------------------------------------------------------- HTTP

class HttpMessage:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next message without its body, or None at the end of the connection."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return HttpMessage(lines[0], headers)


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size == 0:
            await reader.readuntil(b"\r\n")
            return
        data = await reader.readexactly(size + 2)
        yield data[:-2]


async def read_request(reader):
    message = await read_head(reader)
    if message.get("transfer-encoding", "").lower() == "chunked":
        message.body = b"".join([part async for part in read_chunks(reader)])
    else:
        message.body = await reader.readexactly(int(message.get("content-length", "0")))
    message.method, message.target, _ = message.first.split(" ", 2)
    return message


def encode(status, headers, body=b""):
    reason = {200: "OK", 410: "Gone", 421: "Misdirected Request",
              503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection; `handle` writes the answer."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = None
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.address, self.port or 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def crash(self):
        """Ends as a process does that is killed: nothing listens, all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError


# ---------------------------------------------------------------------------------------- store

class Store(HttpServer):
    """The platform's store in its form `log`, with one partition for each topic."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.away = False
        self.history = {}

    def topic(self, name):
        return self.topics.setdefault(name, [])

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker; None drops the key."""
        text = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append((key.encode(), text))
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    def restore(self, copy):
        self.topics = {name: list(records) for name, records in copy.items()}
        self.era += 1
        self._notify()

    async def handle(self, request, reader, writer):
        if self.away:
            await asyncio.sleep(3600)
        path, _, query = request.target.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        era = self.era
        await asyncio.sleep(0.004)
        if path == "/log-append":
            status, kind, body = 200, "application/json", self._append(arguments, request.body)
        elif path == "/log-read":
            status, kind, body = await self._read(arguments)
        elif path == "/log-newest":
            status, kind, body = 200, "application/json", self._newest(arguments)
        else:
            status, kind, body = 404, "application/json", b"{}"
        if self.away or era != self.era:
            return False
        writer.write(encode(status, [("Content-Type", kind), ("Store-Era", self.era)], body))
        return True

    def _append(self, arguments, body):
        records = self.topic(arguments["topic"])
        offset = len(records)
        while body:
            length = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + length], body[4 + length:]
            size = content[0]
            records.append((content[1:1 + size], content[1 + size:]))
        self._notify()
        return json.dumps({"offset": offset, "endOffset": len(records)}).encode()

    async def _read(self, arguments):
        start = int(arguments.get("from", 0))
        deadline = time.monotonic() + int(arguments.get("waitMs", 0)) / 1000
        era = self.era
        while True:
            records = self.topic(arguments["topic"])
            left = deadline - time.monotonic()
            if era != self.era or start > len(records):
                return 410, "application/json", b'{"firstOffset":0}'
            if start < len(records) or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        return 200, "application/octet-stream", body

    def _newest(self, arguments):
        records = self.topic(arguments["topic"])
        newest = {}
        for offset, (key, value) in enumerate(records):
            newest[key] = (value, offset)
        items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in newest.items() if value]
        return json.dumps({"items": items, "hasMore": False,
                           "endOffset": len(records)}).encode()


# -------------------------------------------------------------------------------------- workers

class Worker(HttpServer):
    """One worker: registers itself, answers its health and the requests of its service."""

    beat_s = 1.2

    def __init__(self, store, record, service, zone, slots=64):
        super().__init__()
        self.store = store
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.running = 0
        self.state = "ready"
        self.sequence = 0
        self.registers = True
        self._new_life()

    def _new_life(self):
        self.id = "i-" + new_id()[:8]
        self.born = int(time.time() * 1000)

    async def start(self):
        await self.listen()
        self.beat()
        self.beating = asyncio.ensure_future(self._beat_on())

    async def _beat_on(self):
        while True:
            await asyncio.sleep(self.beat_s)
            if self.registers:
                self.beat()

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.zone,
                "version": "1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    def beat(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.id, self.entry())

    async def crash_for(self, seconds):
        """Crashes; its entry lapses as the platform lets it; it comes back with a new id."""
        self.record.write("worker crashed", worker=self.id, service=self.service)
        self.registers = False
        old = self.id
        await self.crash()
        await asyncio.sleep(min(seconds, 3 * self.beat_s))
        self.store.put("keyed.servers", old, None)
        await asyncio.sleep(max(0.0, seconds - 3 * self.beat_s))
        self._new_life()
        await self.listen()
        self.registers = True
        self.beat()
        self.record.write("worker back", worker=self.id, service=self.service, before=old)

    def load(self):
        return (PREFIX + "Server-Load",
                f"{min(self.running, self.slots)},{max(0, self.running - self.slots)},{self.slots}")

    async def handle(self, request, reader, writer):
        expected = request.get(PREFIX + "Expect-Instance")
        request_id = request.get(REQUEST_ID, "")
        if expected is not None and expected != self.id:
            writer.write(encode(421, [(REQUEST_ID, request_id), (NOT_EXECUTED, "1")]))
            return True
        path = request.target.partition("?")[0]
        if path == "/healthz":
            writer.write(encode(200, [(PREFIX + "Instance-Id", self.id), self.load()]))
            return True
        self.running += 1
        try:
            return await self.serve(request, path, reader, writer)
        finally:
            self.running -= 1

    async def serve(self, request, path, reader, writer):
        raise NotImplementedError


class ModelWorker(Worker):
    """Streams events on every request, framed in chunks."""

    events = 8
    first_s = 0.06
    gap_s = 0.02

    def sign(self, request_id):
        return f"{self.id}.{request_id}"

    async def serve(self, request, path, reader, writer):
        request_id = request.get(REQUEST_ID, "")
        self.record.write("ran", worker=self.id, request=request_id, target=request.target,
                          inputs=request.get(PREFIX + "Inputs"))
        await asyncio.sleep(self.first_s)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: {self.sign(request_id)}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        after = int(request.get("Last-Event-Id", "0"))
        for event in range(after + 1, self.events + 1):
            text = f"id: {event}\ndata: {request_id} {event}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        return True


# ------------------------------------------------------------------------------------- gateways

class Gateway:
    """One gateway as deployed; restarted by the platform when it ends."""

    def __init__(self, name, number, zone, store, record, folder, seeds, restart_s=0.3):
        self.name = name
        self.zone = zone
        self.store = store
        self.record = record
        self.folder = folder
        self.address = f"127.0.{random.randint(1, 250)}.{number + 1}"
        self.front, self.ready, self.control, self.metrics = free_ports(self.address, 4)
        self.seeds = seeds
        self.restart_s = restart_s
        self.process = None
        self.lives = 0
        self.ends = []
        self.misses = 2
        self.stopping = False

    def fields(self):
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "front",
            "serves": ["front", "control"], "ipAddr": self.address, "zone": self.zone,
            "listenAddrs": {"front": f"{self.address}:{self.front}",
                            "ready": f"{self.address}:{self.ready}",
                            "control": f"{self.address}:{self.control}"},
            "seedAddrs": self.seeds, "bounds": BOUNDS,
            "limits": {"cpuShare": 0.19, "cpuCores": 1, "memoryMb": 260},
            "platform": {"address": self.store.endpoint},
        }

    def settings(self):
        with open(os.path.join(ROOT, "deploy", "gateway.yaml.template"), encoding="utf-8") as file:
            text = file.read()
        fields = self.fields()

        def section(match):
            entries = fields[match.group(1)]
            return ", ".join(match.group(2).replace("{{.}}", str(entry)).replace("{{,}}", "")
                             for entry in entries)

        def value(match):
            found = fields
            for part in match.group(1).split("."):
                found = found[part]
            return str(found)

        text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
        text = re.sub(r"\{\{([\w.]+)\}\}", value, text)
        # The metrics port is the same on all machines; here several share one machine.
        return text.replace(f"{self.address}:9464", f"{self.address}:{self.metrics}")

    async def launch(self):
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["LAVENDERTALLY_CONFIG"] = path
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        program = os.path.join(ROOT, "target", "lavendertallyd")
        if not os.access(program, os.X_OK):
            raise CannotRun("target/lavendertallyd is not built")
        self.process = await asyncio.create_subprocess_exec(
            program, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.lives += 1
        self.record.write("gateway started", gateway=self.name, pid=self.process.pid)

    async def keep_running(self):
        while not self.stopping:
            await self.launch()
            status = await self.process.wait()
            self.ends.append((self.record.now(), status))
            self.record.write("gateway ended", gateway=self.name, status=status)
            if not self.stopping:
                await asyncio.sleep(self.restart_s)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.write("signal", gateway=self.name, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    def memory_mb(self):
        """Resident memory of the process."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
        except (OSError, IndexError):
            return 0.0

    async def check_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ready), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n"), 1)
            writer.close()
            good = head.split()[1] == b"200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            good = False
        self.misses = 0 if good else self.misses + 1
        return good

    async def watch_ready(self):
        while not self.stopping:
            await self.check_ready()
            await asyncio.sleep(1)


# ---------------------------------------------------------------------------------------- client

class Answer:
    def __init__(self):
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = None


async def send_request(gateway, method, target, headers, body=b"", timeout=12.0, on_data=None):
    """Sends one request on a new connection and reads its answer to the end."""
    answer = Answer()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(gateway.address, gateway.front,
                                                       limit=1 << 20)
        text = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            text.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(text) + "\r\n\r\n").encode() + body)
        head = await read_head(reader)
        answer.status = int(head.first.split()[1])
        answer.headers = head.headers
        if head.get("transfer-encoding", "").lower() == "chunked":
            async for part in read_chunks(reader):
                if on_data is not None:
                    await on_data(part)
                else:
                    answer.body += part
        else:
            answer.body = await reader.readexactly(int(head.get("content-length", "0")))
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        answer.error = "timeout"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# -------------------------------------------------------------------------------------- scenario

class Scenario:
    """Store, gateways and workers of one case; subclasses say what happens and what is judged."""

    gateways_count = 3
    zones = ["szentes-a", "mindszent-b", "csongrad-c", "fabian-d"]

    def __init__(self, folder, trouble):
        self.folder = folder
        self.trouble = trouble
        self.record = Record(folder)
        self.work = tempfile.mkdtemp(prefix="lavendertally-review-")
        self.store = Store(self.record)
        self.gateways = []
        self.workers = []
        self.tasks = []

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def make_gateways(self, count):
        for number in range(count):
            self.gateways.append(Gateway(f"front-{number + 1}", number,
                                         self.zones[number % len(self.zones)], self.store,
                                         self.record, self.work, []))
        seeds = [f"{each.address}:{each.control}" for each in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds

    def start_gateway(self, gateway):
        self.spawn(gateway.keep_running())
        self.spawn(gateway.watch_ready())

    async def until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while any(gateway.misses for gateway in self.gateways):
            if time.monotonic() > end:
                raise CannotRun("gateways are not ready")
            await asyncio.sleep(0.2)

    async def play(self):
        raise NotImplementedError

    def broken(self):
        """Returns what broke the rule, as lines; empty if it held."""
        raise NotImplementedError

    async def run(self):
        try:
            await self.store.listen()
            await self.play()
        finally:
            for gateway in self.gateways:
                gateway.stopping = True
                if gateway.process is not None and gateway.process.returncode is None:
                    gateway.process.kill()
                    await gateway.process.wait()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)


def main(scenario_class, folder):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scenario = scenario_class(folder, trouble)

    async def play():
        task = asyncio.ensure_future(scenario.run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        await asyncio.wait_for(task, 115)

    try:
        asyncio.run(play())
        faults = scenario.broken()
    except (Exception, asyncio.CancelledError) as error:
        # Whatever went wrong here says nothing about the rule.
        scenario.record.write("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {scenario.work}")
        else:
            shutil.rmtree(scenario.work, ignore_errors=True)
    for fault in faults:
        scenario.record.write("rule broken", what=fault)
        print(f"broken: {fault}")
    scenario.record.write("result", broken=bool(faults), trouble=trouble)
    print("rule broken" if faults else "rule held")
    return 1 if faults else 0
