"""A worker in trouble sends text without end on some of its streams."""

import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from platform_standins import (PREFIX, REQUEST_ID, SIGNATURE, CannotRun, ModelWorker, Scenario,
                               main, new_id, send_request)

PLAY_S = 70.0
MEMORY_MB = 260          # memoryMb of a front machine of the site
# Each requester reads at 100 Mbit/s; the front machines' links have 1,000 Mbit/s.
REQUESTER_BYTES_PER_S = 12.5e6
WORKER_BYTES_PER_S = 60e6
TROUBLE_SHARE = 0.4      # part of its requests that a worker in trouble fails
ENDS_TO_BREAK = 3        # ends of processes on a machine that break the rule ...
MACHINES_TO_BREAK = 2    # ... on so many machines


def configuration():
    return {
        "version": 7,
        "routes": [{"name": "sour-check", "hostname": "rota.example", "pathPrefix": "/sour/",
                    "service": "rota-advisor", "routeKind": "streaming", "timeoutMs": 12000,
                    "targetLatencyMs": 1900, "targetGapMs": 300, "priority": 0, "maxAttempts": 1,
                    "public": True, "sessionAffinity": True, "streamResume": False}],
        "services": [{"name": "rota-advisor", "healthPath": "/healthz", "maxConnections": 280,
                      "coldPerS": 23, "engineKind": "llm"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 10000},
    }


class EndlessWorker(ModelWorker):
    """Begins each answer well; some of them go on with text that has no end."""

    in_trouble = False
    # Text that is no event of a stream: it has neither fields nor ids.
    block = (b"z" * 1000 + b"\n\n") * 64

    async def serve(self, request, path, reader, writer):
        if not self.in_trouble or random.random() >= TROUBLE_SHARE:
            return await super().serve(request, path, reader, writer)
        request_id = request.get(REQUEST_ID, "")
        self.record.write("ran, endless", worker=self.id, request=request_id)
        await asyncio.sleep(self.first_s)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      f"{REQUEST_ID}: {request_id}\r\n{SIGNATURE}: {self.sign(request_id)}\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = f"id: 1\ndata: {request_id} 1\n\n".encode()
        writer.write(f"{len(first):x}\r\n".encode() + first + b"\r\n")
        chunk = f"{len(self.block):x}\r\n".encode() + self.block + b"\r\n"
        started, sent = time.monotonic(), 0
        try:
            while True:
                writer.write(chunk)
                await writer.drain()
                sent += len(chunk)
                await asyncio.sleep(
                    max(0.0, sent / WORKER_BYTES_PER_S - (time.monotonic() - started)))
        finally:
            self.record.write("endless answer closed by the caller", request=request_id,
                              megabytes=round(sent / 1e6))


class Endless(Scenario):
    def __init__(self, folder, trouble):
        super().__init__(folder, trouble)
        self.answers = []
        self.peaks = {}
        self.over_limit = {}

    async def play(self):
        self.store.put("keyed.op", "config", configuration())
        for number in range(9):
            kind = EndlessWorker if number == 0 else ModelWorker
            self.workers.append(kind(self.store, self.record, "rota-advisor",
                                     self.zones[number % len(self.zones)]))
        for worker in self.workers:
            await worker.start()
        self.make_gateways(3)
        for gateway in self.gateways:
            self.start_gateway(gateway)
            self.spawn(self.watch_memory(gateway))
        await self.until_ready()
        await asyncio.sleep(1)
        self.workers[0].in_trouble = self.trouble
        await self.traffic()
        await asyncio.sleep(2)

    async def watch_memory(self, gateway):
        """The platform kills a process that exceeds its memory."""
        while True:
            await asyncio.sleep(0.05)
            used = gateway.memory_mb()
            self.peaks[gateway.name] = max(used, self.peaks.get(gateway.name, 0))
            if used > MEMORY_MB:
                self.record.write("process over its memory, killed by the platform",
                                  gateway=gateway.name, megabytes=round(used))
                self.over_limit[gateway.name] = self.over_limit.get(gateway.name, 0) + 1
                gateway.signal(signal.SIGKILL)
                await asyncio.sleep(0.2)

    async def traffic(self):
        end = self.record.now() + PLAY_S
        while self.record.now() < end:
            self.spawn(self.request())
            await asyncio.sleep(random.uniform(0.05, 0.15))

    async def request(self):
        request = new_id()
        ready = [gateway for gateway in self.gateways if gateway.misses < 2] or self.gateways
        gateway = random.choice(ready)
        headers = [("Host", "rota.example"), (REQUEST_ID, request),
                   (PREFIX + "Deadline-Ms", 12000), (PREFIX + "Model", "m"),
                   (PREFIX + "Token-Count", "628,300"),
                   (PREFIX + "Prompt-Prefix", f"5c1e07a2:119,{random.getrandbits(32):x}:79,"
                                              f"{random.getrandbits(32):x}:430")]
        started, read = time.monotonic(), 0

        async def on_data(part):
            nonlocal read
            read += len(part)
            await asyncio.sleep(
                max(0.0, read / REQUESTER_BYTES_PER_S - (time.monotonic() - started)))

        answer = await send_request(gateway, "POST", "/sour/2f", headers, b"x" * 1700,
                                    on_data=on_data)
        self.answers.append(answer)
        self.record.write("answered", request=request, gateway=gateway.name,
                          status=answer.status, complete=answer.complete, error=answer.error,
                          bytes=read)

    def broken(self):
        served = sum(1 for answer in self.answers if answer.status == 200 and answer.complete)
        cut = sum(1 for answer in self.answers if answer.status == 200 and answer.error
                  and answer.error != "timeout")
        peaks = {name: round(peak) for name, peak in sorted(self.peaks.items())}
        if served < len(self.answers) / 2:
            raise CannotRun("too few requests were served")
        print(f"{len(self.answers)} requests, {served} served, {cut} streams cut; "
              f"peak memory in MB {peaks}; kills over {MEMORY_MB} MB {self.over_limit}")
        machines = [name for name, kills in self.over_limit.items() if kills >= ENDS_TO_BREAK]
        if len(machines) < MACHINES_TO_BREAK:
            return []
        return [f"processes on {len(machines)} of {len(self.gateways)} machines ended by "
                f"themselves {ENDS_TO_BREAK} times or more: {self.over_limit}"]


if __name__ == "__main__":
    sys.exit(main(Endless, os.path.dirname(os.path.abspath(__file__))))
