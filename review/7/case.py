"""The entry of a worker that leaves is removed. Just then, the connections of one of the machines
that read the store are reset. The other machines go on sending to the worker."""
import asyncio
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
BOOKINGS_PER_S = 6.72
REQUESTERS = 3
DRAIN_S = 2.0
CONTACT_S = 3.0
# A worker that leaves goes on serving a little longer than drainMs.
LINGER_S = 2.6
ROUNDS = 13

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
    removed_at = None

    async def run(self, request, reader, writer):
        lab, identity = self.lab, request.get("X-Lavendertally-Request-Id")
        gateway = lab.sent_by.get(identity, "nobody")
        lab.record.note(f"{self.identity} runs {identity}")
        if self.removed_at is not None:
            late = lab.record.now() - self.removed_at
            lab.record.note(f"{self.identity} gets {identity} from {gateway} "
                            f"{late:.3f} s after its entry was removed")
            if late > DRAIN_S:
                lab.late.append((identity, gateway, lab.record.now(), late))
        await asyncio.sleep(WORK_S)
        writer.write(stage.render(200, self.signed(request), b"booked"))
        return True

    async def leave(self):
        """Never reports draining: its entry is removed, and it goes on serving for some time."""
        self.lab.deregister(self.identity)
        self.is_leaving = True
        self.removed_at = self.lab.record.now()
        self.lab.record.note(f"the entry of {self.identity} is removed")
        await asyncio.sleep(LINGER_S)
        self.stop()
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
    await asyncio.sleep(4.0)
    reset_at = {gateway.name: [] for gateway in lab.gateways}
    for _ in range(ROUNDS):
        leaving = workers.pop(0)
        joining = Desk(lab, "desk", leaving.zone, 64)
        await joining.start()
        workers.append(joining)
        await asyncio.sleep(2.0)
        departure = asyncio.ensure_future(leaving.leave())
        await asyncio.sleep(0.2)
        if stage.TROUBLE:
            name = lab.store.last_reader_of_list()
            sockets = stage.count_sockets(lab.gateway(name).process.pid)
            count = lab.store.reset_connections(name)
            reset_at[name].append(lab.record.now())
            lab.record.note(f"{name} has read the list of workers last; its {count} connections "
                            f"to the store are reset; it has {sockets} sockets")
        await departure
        await asyncio.sleep(1.5)
    for task in requesters:
        task.cancel()
    # Machines whose connections were reset are not in touch for contactMs.
    broken = [(identity, gateway, late) for identity, gateway, at, late in lab.late
              if all(not at - CONTACT_S <= reset <= at for reset in reset_at.get(gateway, []))]
    lab.record.note(f"{lab.asked} bookings; {len(broken)} reached a worker over {DRAIN_S} s after "
                    "its entry was removed, from machines in touch")
    if broken:
        worst = max(late for _, _, late in broken)
        return (f"DRAIN: {len(broken)} bookings reached a worker up to {worst:.2f} s after the "
                "removal of its entry was acknowledged, from machines in touch")
    return None


stage.run_case(__file__, case)
