"""The answer to one heartbeat of a worker is lost, and the write is done seconds later, just after
the worker has reported that it drains. Machines that follow others never learn that it drains."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import lab as stage  # noqa: E402

HOST = "slots.example"
GATEWAYS = 14
WORKERS = 4
WORK_S = 0.3
# Bookings a second of all gateways together, as in the site file.
BOOKINGS_PER_S = 12.6
REQUESTERS = 3
DRAIN_S = 2.0
# The lost heartbeat is done so much later; a late write is done within 6 s.
LATE_S = 5.8
# Time from the draining report to the late write.
AFTER_REPORT_S = 0.1
# A worker that leaves goes on serving longer than drainMs, at times many seconds.
LINGER_S = 8.0
ROUNDS = 5

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-book", "hostname": HOST, "pathPrefix": "/book/",
                "routeKind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 1000,
                "priority": 2, "service": "desk", "maxAttempts": 2, "public": True,
                "sessionAffinity": False, "streamResume": False}],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 280,
                  "protocol": "h1", "tls": False, "coldStartS": 0.0, "coldPerS": 0.0}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}


class Desk(stage.Worker):
    drained_at = None

    async def run(self, request, reader, writer):
        lab, identity = self.lab, request.get("X-Lavendertally-Request-Id")
        lab.record.note(f"{self.identity} runs {identity}")
        if self.drained_at is not None:
            late = lab.record.now() - self.drained_at
            gateway = lab.sent_by.get(identity, "nobody")
            lab.record.note(f"{self.identity} gets {identity} from {gateway} {late:.3f} s after "
                            "the store has taken its draining report")
            if late > DRAIN_S:
                lab.late.append((gateway, late))
        await asyncio.sleep(WORK_S)
        writer.write(stage.render(200, self.signed(request), b"booked"))
        return True

    async def leave(self):
        lost = None
        if stage.TROUBLE:
            # The store hasn't done this write, and its answer never comes.
            lost = self.lab.next_report(self.identity)
            self.lab.record.note(f"the answer to heartbeat {lost['sequence']} of {self.identity}, "
                                 f"state {lost['state']}, is lost")
        await asyncio.sleep(LATE_S - AFTER_REPORT_S)
        self.lab.set_state(self.identity, "draining")
        self.is_leaving = True
        self.drained_at = self.lab.record.now()
        self.lab.record.note(f"the store takes report {self.lab.beats[self.identity]['sequence']} "
                             f"of {self.identity}: draining")
        await asyncio.sleep(AFTER_REPORT_S)
        if lost:
            self.lab.store.put("keyed.servers", self.identity, lost)
            self.lab.record.note(f"heartbeat {lost['sequence']} of {self.identity} is done late")
        await asyncio.sleep(LINGER_S - AFTER_REPORT_S)
        self.stop()
        self.lab.deregister(self.identity)
        self.lab.record.note(f"{self.identity} exits")


async def book(lab, gateway):
    requester = stage.Requester(gateway.front)
    pause = GATEWAYS * REQUESTERS / BOOKINGS_PER_S - WORK_S
    while True:
        identity = stage.new_id()
        lab.sent_by[identity] = gateway.name
        lab.record.note(f"booking {identity} sent to {gateway.name}")
        answer = await requester.ask("POST", HOST, "/book/1", [
            ("X-Lavendertally-Request-Id", identity), ("X-Lavendertally-Deadline-Ms", 3000)],
            b"slot 7")
        lab.asked += 1
        lab.record.note(f"booking {identity} at {gateway.name}: {answer.text()}")
        await asyncio.sleep(random.uniform(0, 2 * pause))


async def case(lab):
    lab.sent_by, lab.late, lab.asked = {}, [], 0
    await lab.start(CONFIGURATION, GATEWAYS)
    workers = [Desk(lab, "desk", f"zone-{'ab'[number % 2]}", 64) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
    await asyncio.sleep(3.0)
    requesters = [asyncio.ensure_future(book(lab, gateway))
                  for gateway in lab.gateways for _ in range(REQUESTERS)]
    await asyncio.sleep(2.0)
    for _ in range(ROUNDS):
        leaving = workers.pop(0)
        joining = Desk(lab, "desk", leaving.zone, 64)
        await joining.start()
        workers.append(joining)
        await leaving.leave()
        await asyncio.sleep(2.0)
    for task in requesters:
        task.cancel()
    by_gateway = {}
    for gateway, _ in lab.late:
        by_gateway[gateway] = by_gateway.get(gateway, 0) + 1
    lab.record.note(f"{lab.asked} bookings; over {DRAIN_S} s after the report reached a worker that "
                    f"drains, by machine: {by_gateway}")
    if lab.late:
        return (f"DRAIN: {len(lab.late)} bookings reached a worker up to "
                f"{max(late for _, late in lab.late):.2f} s after the store had taken its draining "
                f"report, from {len(by_gateway)} of {GATEWAYS} machines")
    return None


stage.run_case(__file__, case)
