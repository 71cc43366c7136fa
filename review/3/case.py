"""The result of a stage is lost in a crash while several other stages still wait for it."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))

from platform_standins import (PREFIX, REQUEST_ID, CannotRun, ModelWorker, Scenario, main, new_id,
                               send_request)
from stages import StageWorker

# Stage 0 feeds four stages, whose results all go to the prompt.
BRANCHES = ["scale-house", "digester-log", "note-reader", "route-planner"]
STAGES = [{"service": "share-ledger", "after": [], "bytes": 8000}]
STAGES += [{"service": branch, "after": [0], "bytes": 6000} for branch in BRANCHES]
WORKERS = {"share-ledger": 4, **{branch: 2 for branch in BRANCHES}}
BATCH, CALL_MS, ITEM_MS = 8, 240, 26
PLAY_S = 82.0
CRASH_EVERY_S = 5.0
CRASH_FOR_S = 4.5


def configuration():
    pool = {"slots": 1, "queueLimit": 2, "batchSize": BATCH, "callMs": CALL_MS, "itemMs": ITEM_MS,
            "headroomMb": 9.6, "handleS": 4.0, "linkMbps": 10000}

    return {
        "version": 7,
        "routes": [{"name": "sour-check", "hostname": "rota.example", "pathPrefix": "/sour/",
                    "service": "rota-advisor", "routeKind": "streaming", "timeoutMs": 12000,
                    "targetLatencyMs": 3000, "targetGapMs": 300, "priority": 0, "maxAttempts": 1,
                    "public": True, "sessionAffinity": True, "streamResume": False,
                    "stages": STAGES}],
        "services": [{"name": "rota-advisor", "healthPath": "/healthz", "maxConnections": 280,
                      "coldPerS": 23, "engineKind": "llm"},
                     *({"name": name, "healthPath": "/healthz", "pieces": pool}
                       for name in WORKERS)],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 10000},
    }


class Diamond(Scenario):
    def __init__(self, folder, trouble):
        super().__init__(folder, trouble)
        self.made = {}      # (request, stage, piece) -> handles ever made for it
        self.pieces = {}    # request -> number of pieces of each stage
        self.faults = []
        self.asked = 0
        self.answers = []

    def on_made(self, item, handle):
        self.made.setdefault((item["id"], item["stage"], item["piece"]), set()).add(handle)

    def on_item(self, worker, item):
        self.asked += 1
        wanted = [(item["id"], stage, piece) for stage in STAGES[item["stage"]]["after"]
                  for piece in range(self.pieces[item["id"]][stage])]
        if not wanted:
            return
        inputs = item.get("inputs", [])
        good = len(inputs) == len(wanted) and all(
            handle in self.made.get(piece, ()) for handle, piece in zip(inputs, wanted))
        if not good:
            self.faults.append(
                f"{worker.service} was asked for piece {item['piece']} of stage {item['stage']} "
                f"of request {item['id']} with inputs {inputs}; due were the results of {wanted}")

    async def play(self):
        self.store.put("keyed.op", "config", configuration())
        pool = {}
        for service, count in WORKERS.items():
            for number in range(count):
                worker = StageWorker(self.store, self.record, service,
                                     self.zones[number % len(self.zones)], pool, self.on_item,
                                     self.on_made)
                worker.item_ms = ITEM_MS
                self.workers.append(worker)
        for number in range(9):
            self.workers.append(ModelWorker(self.store, self.record, "rota-advisor",
                                            self.zones[number % len(self.zones)]))
        for worker in self.workers:
            await worker.start()
        self.make_gateways(3)
        for gateway in self.gateways:
            self.start_gateway(gateway)
        await self.until_ready()
        await asyncio.sleep(2)
        traffic = self.spawn(self.traffic())
        if self.trouble:
            self.spawn(self.crashes())
        await traffic
        await asyncio.sleep(6)

    async def traffic(self):
        end = self.record.now() + PLAY_S
        while self.record.now() < end:
            # Requests come in clumps, about thirteen a second.
            for _ in range(random.randint(12, 18)):
                self.spawn(self.request())
            await asyncio.sleep(random.uniform(1.0, 1.3))

    async def request(self):
        request = new_id()
        self.pieces[request] = [1] + [random.randint(1, 4) for _ in BRANCHES]
        gateway = random.choice(self.gateways)
        headers = [("Host", "rota.example"), (REQUEST_ID, request),
                   (PREFIX + "Deadline-Ms", 12000), (PREFIX + "Model", "m"),
                   (PREFIX + "Token-Count", "628,300"),
                   (PREFIX + "Prompt-Prefix", f"5c1e07a2:119,{random.getrandbits(32):x}:509"),
                   (PREFIX + "Pieces", ",".join(str(count) for count in self.pieces[request])),
                   (PREFIX + "Piece-Key", new_id())]
        answer = await send_request(gateway, "POST", "/sour/2f", headers, b"x" * 1700)
        self.answers.append(answer)
        self.record.write("answered", request=request, gateway=gateway.name,
                          status=answer.status, complete=answer.complete, error=answer.error)

    async def crashes(self):
        """One worker of four crashes at a time, for the time that the site files name."""
        ledger = [worker for worker in self.workers if worker.service == "share-ledger"]
        await asyncio.sleep(4)
        for worker in ledger * 4:
            self.spawn(worker.crash_for(CRASH_FOR_S))
            await asyncio.sleep(CRASH_EVERY_S)

    def broken(self):
        served = sum(1 for answer in self.answers if answer.status == 200 and answer.complete)
        if served < len(self.answers) / 2:
            raise CannotRun("too few requests were served")
        print(f"{len(self.answers)} requests, {served} served, {self.asked} pieces asked")
        return self.faults


if __name__ == "__main__":
    sys.exit(main(Diamond, os.path.dirname(os.path.abspath(__file__))))
