"""Runs slowworker.py as a process that a case can kill and start again."""
import asyncio
import os
import sys

import lab as stage


class ChildWorker:
    """A worker process with one identity and, after its first start, one address."""

    def __init__(self, lab, service, zone, work_s):
        self.lab, self.service, self.zone, self.work_s = lab, service, zone, work_s
        self.identity = "i-" + stage.new_id()[:8]
        self.address = None
        self.process = None
        lab.children.append(self)

    async def start(self):
        """Starts the process, which then registers as a new lifetime of the worker."""
        script = os.path.join(os.path.dirname(os.path.abspath(__file__)), "slowworker.py")
        port = self.address.rsplit(":", 1)[1] if self.address else "0"
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, script, self.identity, str(self.work_s), port,
            stdout=asyncio.subprocess.PIPE)
        self.address = (await self.process.stdout.readline()).decode().split()[1]
        self.reading = asyncio.ensure_future(self.read(self.process))
        self.lab.forget(self.identity)
        self.lab.register(self.identity, self.service, self.address, self.zone, 64)

    async def read(self, process):
        while line := await process.stdout.readline():
            self.lab.record.note(f"worker {self.identity} {line.decode().strip()}")

    async def kill(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
