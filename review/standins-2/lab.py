"""Stand-ins for the platform's store, its balancer, workers and requesters, and a runner for
gateways. Everything listens on loopback addresses and free ports."""
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEALTH_PATH = "/healthz"


def free_port(address="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def is_free(address, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


def count_sockets(pid):
    """Returns how many sockets a process of the case has."""
    folder = f"/proc/{pid}/fd"
    return sum(os.readlink(os.path.join(folder, entry)).startswith("socket:")
               for entry in os.listdir(folder))


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, case_file):
        self.path = os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")
        self.file = open(self.path, "w")
        self.start = time.monotonic()
        self.note("disruption: " + ("yes" if TROUBLE else "no (TROUBLE=0)"))

    def now(self):
        return time.monotonic() - self.start

    def note(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


class Message:
    """Head and body of one HTTP/1.1 message."""

    def __init__(self, line, fields, body=b""):
        self.line = line
        self.fields = fields
        self.body = body

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields)


async def read_chunks(reader, add):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        if size:
            add(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return


async def read_request(reader):
    message = await read_head(reader)
    length = message.get("Content-Length")
    if length:
        message.body = await reader.readexactly(int(length))
    return message


def render(status, fields, body=b"", framed=True):
    text = f"HTTP/1.1 {status} X\r\n"
    for name, value in fields:
        text += f"{name}: {value}\r\n"
    if framed:
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode("latin-1") + body


class Proxy:
    """Forwards connections to an address. silence() makes the open ones silent for good: they stay
    open, and what is written to them is lost. New ones work."""

    def __init__(self, target):
        self.target = target
        self.generation = 0
        self.open = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Returns how many connections are open."""
        self.generation += 1
        return self.open

    async def serve(self, reader, writer):
        generation, self.open = self.generation, self.open + 1
        try:
            far_reader, far_writer = await open_connection(self.target)
        except OSError:
            writer.transport.abort()
            self.open -= 1
            return
        await asyncio.gather(self.pump(reader, far_writer, generation),
                             self.pump(far_reader, writer, generation), return_exceptions=True)
        for each in (writer, far_writer):
            each.close()
        self.open -= 1

    async def pump(self, reader, writer, generation):
        try:
            while data := await reader.read(65536):
                if generation == self.generation:
                    writer.write(data)
        except OSError:
            pass
        writer.close()


class Store:
    """The platform's metadata store: keyed topics with one partition each."""

    def __init__(self):
        # Key and value that a machine writes to the topic of daemons, and what is kept instead.
        self.daemon_filter = None
        self.topics = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.connections = {}
        self.list_read_at = {}

    async def open_port(self, name):
        """Returns an address of the store for one machine, which shows whose calls come in."""
        self.connections[name] = set()
        server = await asyncio.start_server(
            lambda reader, writer: self.serve(name, reader, writer), "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def last_reader_of_list(self):
        """Returns the machine that has read the list of workers last."""
        return max(self.list_read_at, key=self.list_read_at.get)

    def reset_connections(self, name):
        """Resets all connections of the machine to the store; returns how many."""
        writers = list(self.connections[name])
        for writer in writers:
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        return len(writers)

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.add(topic, key.encode(), data)

    def remove(self, topic, key):
        self.add(topic, key.encode(), b"")

    def add(self, topic, key, value):
        self.records(topic).append((key, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, name, reader, writer):
        self.connections[name].add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.answer(request)
                if "/log-read?topic=keyed.servers" in request.line:
                    self.list_read_at[name] = time.monotonic()
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.connections[name].discard(writer)
            writer.close()

    async def answer(self, request):
        path, _, query = request.line.split(" ")[1].partition("?")
        args = dict(re.findall(r"([^&=]+)=([^&]*)", query))
        topic = args.get("topic", "")
        era = [("Store-Era", "1")]
        if path == "/log-append":
            rest, first = request.body, len(self.records(topic))
            while len(rest) > 4:
                size = struct.unpack(">I", rest[:4])[0]
                content, rest = rest[4:4 + size], rest[4 + size:]
                key, value = content[1:1 + content[0]], content[1 + content[0]:]
                if topic == "keyed.daemons" and value and self.daemon_filter:
                    value = self.daemon_filter(key, value)
                self.add(topic, key, value)
            body = {"offset": first, "endOffset": len(self.records(topic))}
            return render(200, era, json.dumps(body).encode())
        if path == "/log-read":
            start, end = int(args["from"]), time.monotonic() + int(args.get("waitMs", 0)) / 1000
            while len(self.records(topic)) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
            records = self.records(topic)
            if start > len(records):
                return render(410, era, json.dumps({"firstOffset": 0}).encode())
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key + value
                body += struct.pack(">I", len(content)) + content
            return render(200, era, body)
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.records(topic)):
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(),
                      "offset": offset} for key, (offset, value) in newest.items()]
            body = {"items": items, "hasMore": False, "endOffset": len(self.records(topic))}
            return render(200, era, json.dumps(body).encode())
        return render(404, era)


def fill_template(text, values):
    """Fills a settings template as DEPLOY.md tells."""

    def look(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            found = scope
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def fill(part, scopes, comma=""):
        out = ""
        while True:
            match = re.search(r"\{\{([#^]?)([^}]*)\}\}", part)
            if not match:
                return out + part
            out += part[:match.start()]
            kind, name = match.groups()
            if not kind:
                value = comma if name == "," else look(name, scopes)
                out += "" if value is None else str(value)
                part = part[match.end():]
                continue
            close = "{{/" + name + "}}"
            end = part.index(close, match.end())
            inner, part = part[match.end():end], part[end + len(close):]
            value = look(name, scopes)
            if kind == "^":
                out += fill(inner, scopes) if not value else ""
            elif isinstance(value, list):
                for index, each in enumerate(value):
                    last = index + 1 == len(value)
                    out += fill(inner, scopes + [each], "" if last else ",")
            elif value is not None and value is not False:
                out += fill(inner, scopes)

    return fill(text, [values])


BOUNDS = {"revokeMs": 5000, "graceS": 8, "retryBudgetSlack": 56}
LIMITS = {"cpuShare": 0.19, "memoryMb": 260, "maxFds": 4100}


class Gateway:
    """One gateway process, run as the deploy file says, started again when it ends by itself."""

    def __init__(self, lab, number, zone):
        self.lab, self.name, self.zone = lab, f"front-{number}", zone
        metrics_port = 9464
        while True:
            self.ip = "127.%d.%d.%d" % (random.randint(20, 250), random.randint(1, 250),
                                        random.randint(1, 250))
            if is_free(self.ip, metrics_port):
                break
        self.front, self.ready, self.control = (f"{self.ip}:{free_port(self.ip)}"
                                                for _ in range(3))
        self.process = None
        self.store_address = None
        self.ends = []
        self.stopping = False

    async def start(self):
        lab = self.lab
        if self.store_address is None:
            self.store_address = await lab.store.open_port(self.name)
        values = {"nodeName": self.name, "zone": self.zone, "ipAddr": self.ip,
                  "listenAddrs": {"front": self.front, "ready": self.ready,
                                  "control": self.control},
                  "platform": {"address": self.store_address},
                  "seedAddrs": [gateway.control for gateway in lab.gateways[:3]],
                  "bounds": BOUNDS, "limits": LIMITS}
        with open(os.path.join(ROOT, "deploy", "gateway.yaml.template")) as template:
            text = fill_template(template.read(), values)
        path = os.path.join(lab.folder, self.name + ".yaml")
        with open(path, "w") as settings:
            settings.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["LAVENDERTALLY_CONFIG"] = path
        log = open(os.path.join(lab.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            lab.command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.watch = asyncio.ensure_future(self.supervise(self.process))

    async def supervise(self, process):
        code = await process.wait()
        if self.stopping:
            return
        self.ends.append(self.lab.record.now())
        self.lab.record.note(f"gateway {self.name} ended by itself, code {code}")
        await asyncio.sleep(1.0)
        if not self.stopping:
            await self.start()

    def log_text(self):
        with open(os.path.join(self.lab.folder, self.name + ".log"), errors="replace") as log:
            return log.read()

    async def wait_ready(self, limit=15.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            try:
                reader, writer = await open_connection(self.ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head.line.split(" ")[1] == "200":
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        self.stopping = True
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


async def open_connection(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port), limit=1 << 20)


class NotStarted(RuntimeError):
    """A gateway did not become ready at the start of a case."""


class Lab:
    """One small deployment: a store, workers that a case adds, and gateways."""

    def __init__(self, case_file):
        self.record = Record(case_file)
        self.folder = tempfile.mkdtemp(prefix="lavendertally-review-")
        self.gateways = []
        self.children = []
        self.beats = {}
        self.tasks = []
        with open(os.path.join(ROOT, "deploy", "system.toml")) as deploy:
            self.command = os.path.join(
                ROOT, re.search(r'^run = "([^"]+)"', deploy.read(), re.M).group(1))
        if not os.access(self.command, os.X_OK):
            raise RuntimeError("the program of the deploy file has not been built")

    async def start(self, configuration, count, zones=("zone-a", "zone-b"), proxied=False):
        """With proxied, the links between gateways lead through proxies: the store tells each
        gateway the proxy's address instead of the other's own."""
        self.store = Store()
        self.proxies = []
        self.store.put("keyed.op", "config", configuration)
        self.tasks.append(asyncio.ensure_future(self.beat()))
        for number in range(1, count + 1):
            self.gateways.append(Gateway(self, number, zones[number % len(zones)]))
        if proxied:
            await self.start_proxies()
        for gateway in self.gateways:
            await gateway.start()
        ready = await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))
        if not all(ready):
            names = [gateway.name for gateway, is_ready in zip(self.gateways, ready) if not is_ready]
            raise NotStarted(f"not ready: {names}")
        # As on the platform, traffic starts some seconds after the machines do.
        await asyncio.sleep(4.0)

    async def start_proxies(self):
        addresses = {}
        for gateway in self.gateways:
            proxy = Proxy(gateway.control)
            await proxy.start()
            self.proxies.append(proxy)
            addresses[gateway.control.encode()] = proxy.address.encode()

        def through_proxies(key, value):
            for own, proxied in addresses.items():
                value = value.replace(b'"' + own + b'"', b'"' + proxied + b'"')
            return value

        self.store.daemon_filter = through_proxies

    def gateway(self, name):
        return next(gateway for gateway in self.gateways if gateway.name == name)

    def register(self, identity, service, address, zone, slots):
        """Writes the worker's entry, and again with each of its heartbeats."""
        entry = self.beats.setdefault(identity, {"born": int(time.time() * 1000), "sequence": 0})
        entry.update({"service": service, "address": address, "zone": zone, "version": "v1",
                      "slots": slots, "state": "ready", "coldRemainingMs": 0})
        self.write_entry(identity)

    def write_entry(self, identity):
        entry = self.beats[identity]
        entry["sequence"] += 1
        self.store.put("keyed.servers", identity, entry)

    def next_report(self, identity):
        """Returns the worker's next report without writing it."""
        entry = self.beats[identity]
        entry["sequence"] += 1
        return dict(entry)

    def set_state(self, identity, state):
        self.beats[identity]["state"] = state
        self.write_entry(identity)

    def deregister(self, identity):
        if self.beats.pop(identity, None):
            self.store.remove("keyed.servers", identity)

    def forget(self, identity):
        """Ends a lifetime of the worker: no heartbeats, and the next registration is a new one."""
        self.beats.pop(identity, None)

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            for identity in list(self.beats):
                self.write_entry(identity)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        await asyncio.gather(*(child.kill() for child in self.children))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Worker:
    """A worker in this process. Subclasses answer in run()."""

    def __init__(self, lab, service, zone, slots):
        self.lab, self.service, self.zone, self.slots = lab, service, zone, slots
        self.identity = "i-%08x" % random.getrandbits(32)
        self.running = 0
        self.is_leaving = False
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.lab.register(self.identity, self.service, self.address, self.zone, self.slots)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                expected = request.get("X-Lavendertally-Expect-Instance")
                if expected not in (None, self.identity):
                    writer.write(render(421, [("X-Lavendertally-Instance-Id", self.identity)]))
                elif request.line.split(" ")[1] == HEALTH_PATH:
                    writer.write(render(503 if self.is_leaving else 200,
                                        [("X-Lavendertally-Instance-Id", self.identity)]))
                elif not await self.run(request, reader, writer):
                    return
                await writer.drain()
                if self.is_leaving:
                    return
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the worker: closes its connections and takes no more."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def run(self, request, reader, writer):
        """Answers the request; returns whether the connection is kept."""
        raise NotImplementedError

    def signed(self, request):
        """The fields of an answer. A worker that leaves says so in all its answers."""
        leaving = [("Server-Leaving", "1"), ("Connection", "close")] if self.is_leaving else []
        return [("X-Lavendertally-Request-Id", request.get("X-Lavendertally-Request-Id")),
                ("X-Lavendertally-Response-Signature", "sig." + self.identity),
                ("X-Lavendertally-Server-Load", f"{self.running},0,{self.slots}")] + leaving


class Answer:
    def __init__(self):
        self.status = None
        self.fields = []
        self.body = b""
        self.complete = False
        self.error = ""

    def get(self, name):
        return Message("", self.fields).get(name)

    def text(self):
        if self.status is None:
            return f"no answer ({self.error})"
        return (f"{self.status}, {len(self.body)} bytes, "
                f"{'complete' if self.complete else 'broken off: ' + self.error}, "
                f"signature {self.get('X-Lavendertally-Response-Signature') or 'none'}")


class Requester:
    """A kept connection of one requester."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(open_connection(self.address), 1.0)

    def close(self):
        if self.writer:
            self.writer.close()
            self.reader = self.writer = None

    async def ask(self, method, host, path, fields, body=b"", limit=20.0):
        """Sends a request; fields may have values of type bytes."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.connect()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n".encode()
            for name, value in fields:
                raw = value if isinstance(value, bytes) else str(value).encode("latin-1")
                head += name.encode() + b": " + raw + b"\r\n"
            if body or method == "POST":
                head += b"Content-Length: %d\r\n" % len(body)
            self.writer.write(head + b"\r\n" + body)
            await asyncio.wait_for(self.receive(answer), limit)
        except asyncio.TimeoutError:
            answer.error = "no end within the time"
        except asyncio.IncompleteReadError:
            answer.error = "connection closed"
        except OSError as error:
            answer.error = type(error).__name__
        if not answer.complete or (answer.get("Connection") or "").lower() == "close":
            self.close()
        return answer

    async def receive(self, answer):
        while True:
            head = await read_head(self.reader)
            status = int(head.line.split(" ")[1])
            if status >= 200:
                break
        answer.status, answer.fields = status, head.fields

        def add(data):
            answer.body += data

        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            await read_chunks(self.reader, add)
        elif head.get("Content-Length") is not None:
            left = int(head.get("Content-Length"))
            while left:
                data = await self.reader.read(min(left, 65536))
                if not data:
                    raise asyncio.IncompleteReadError(answer.body, None)
                add(data)
                left -= len(data)
        elif status not in (204, 304):
            while data := await self.reader.read(65536):
                add(data)
        answer.complete = True


def new_id():
    return "%016x" % random.getrandbits(64)


def run_case(case_file, case):
    """Runs case(lab), which returns None if the rule held or what broke it, and exits with 1 if
    the rule was broken, 0 if it held, 2 if the case could not run."""

    async def main():
        # Whoever ends the script early ends its processes with it.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        for attempt in (1, 2):
            lab = Lab(case_file)
            try:
                broken = await case(lab)
                break
            except NotStarted as error:
                # A port may have been taken since it was found free.
                lab.record.note(f"attempt {attempt}: {error}")
                if attempt == 2:
                    raise
            finally:
                await lab.close()
        lab.record.note("BROKEN: " + broken if broken else "the rule held")
        print(broken or "the rule held")
        return 1 if broken else 0

    try:
        code = asyncio.run(asyncio.wait_for(main(), 115))
    except (Exception, asyncio.CancelledError) as error:  # anything else than a verdict means that the case did not run
        print("could not run:", repr(error))
        code = 2
    sys.exit(code)
