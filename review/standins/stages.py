"""Workers that make the pieces of stages, as PROTOCOL.md describes them under "Stages"."""

import asyncio
import json
import time

from platform_standins import NOT_EXECUTED, REQUEST_ID, Worker, encode


class StageWorker(Worker):
    call_ms = 240.0
    item_ms = 21.0
    handle_s = 4.0
    queue_limit = 2

    def __init__(self, store, record, service, zone, pool, on_item, on_made):
        super().__init__(store, record, service, zone, slots=1)
        self.pool = pool  # all stage workers, by address
        self.on_item = on_item
        self.on_made = on_made
        self.results = {}
        self.turn = asyncio.Lock()
        self.waiting = 0
        self.next_result = 0
        self.alive = True

    async def start(self):
        await super().start()
        self.pool[self.endpoint] = self

    async def crash(self):
        self.alive = False
        self.results = {}
        await super().crash()

    async def listen(self):
        self.alive = True
        self.turn = asyncio.Lock()
        self.waiting = 0
        await super().listen()

    def holds(self, handle):
        return self.alive and self.results.get(handle, 0) > time.monotonic()

    def _fetch(self, handles):
        """Returns whether all inputs could be read from the workers that keep them."""
        for handle in handles:
            maker = self.pool.get(handle.partition("/")[0])
            if maker is None or not maker.holds(handle):
                return False
        return True

    async def serve(self, request, path, reader, writer):
        if path == "/report":
            body = {"waiting": self.waiting, "busy": self.turn.locked(), "freeMb": 12.0}
            writer.write(encode(200, [("Content-Type", "application/json")],
                                json.dumps(body).encode()))
            return True
        if path == "/stage-free":
            for handle in json.loads(request.body)["handleIds"]:
                self.results.pop(handle, None)
            writer.write(encode(200, [("Content-Type", "application/json")], b"{}"))
            return True
        if path != "/stage-run":
            writer.write(encode(404, []))
            return True
        return await self._run(request, writer)

    async def _run(self, request, writer):
        items = json.loads(request.body)["items"]
        if self.waiting >= self.queue_limit + 1:
            writer.write(encode(503, [(NOT_EXECUTED, "1"), self.load()]))
            return True
        life = self.id
        for item in items:
            self.record.write("piece asked", worker=self.id, service=self.service,
                              request=item["id"], stage=item["stage"], piece=item["piece"],
                              key=item.get("key"), inputs=item.get("inputs"))
            self.on_item(self, item)
        self.waiting += 1
        try:
            async with self.turn:
                fetched = [self._fetch(item.get("inputs", [])) for item in items]
                work_ms = self.call_ms + self.item_ms * sum(fetched)
                await asyncio.sleep(work_ms / 1000)
        finally:
            self.waiting -= 1
        if self.id != life:
            return False
        answers = []
        for item, good in zip(items, fetched):
            if not good:
                answers.append({"reason": "gone"})
                continue
            self.next_result += 1
            handle = f"{self.endpoint}/{self.id[2:]}{self.next_result:x}"
            self.results[handle] = time.monotonic() + self.handle_s
            answers.append({"handleId": handle})
            self.record.write("piece made", worker=self.id, request=item["id"],
                              stage=item["stage"], piece=item["piece"], handle=handle)
            self.on_made(item, handle)
        writer.write(encode(200, [("Content-Type", "application/json"), self.load()],
                            json.dumps({"items": answers}).encode()))
        return True
