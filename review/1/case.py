"""What a worker sends is lost for a while, as many small tasks start and end there: does each end count once?"""

import asyncio
import json
import os
import re
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet as f  # noqa: E402

HOST, PREFIX = "booking.example", "/holds/"
# Jobs whose tasks end within 0.9 s.
JOBS, TASKS, EACH_MS = 16, 100, 9
APART_S, END_IN_S = 0.45, 9.0
# The last job: its tasks start as the cut has begun, and end within it, after those of the others.
LAST_TASKS, LAST_MS = 200, 900
# Shorter than the lease that the last hold gave: nothing lapses.
CUT_S = 1.6
RACK = "r9-1"
# The other workers are full until then, so that the last job's tasks start here, and can start elsewhere later.
FULL_S = 1.4


class BusyWorker(f.Worker):
    """The same worker, quick enough for many small tasks."""

    def __init__(self, *args):
        super().__init__(*args)
        self.done, self.whole, self.observed, self.cut = {}, {}, 0, False
        # Which ends are taken note of, for good: their numbers reached us with no lapse of the lease since they came about.
        self.ended_at, self.noted, self.lapsed_at = {}, set(), 0.0

    def start(self, b):
        status, answer = super().start(b)
        task = b["Task"]
        if status == 200 and self.starts and self.starts[-1][1:] == (task, b["Run"]):
            m = re.search(r"ms=(\d+) each=(\d+)", b["TaskSpec"])
            ms = int(m.group(1)) + int(m.group(2)) * int(task.rsplit(".", 1)[1])
            self.whole[task] = ms
            run, spec, _ = self.running[task]
            self.running[task] = (run, spec, self.clock() + ms)
        return status, answer

    def beat(self, cores):
        return not self.cut and super().beat(cores)

    def settle(self):
        super().settle()
        if self.clock() > self.lease:
            self.lapsed_at = time.monotonic()

    def take_note(self, observed):
        numbers = range(self.observed + 1, observed + 1)
        self.noted |= {n for n in numbers if self.ended_at.get(n, 0.0) > self.lapsed_at}
        self.observed = max(self.observed, observed)

    def end(self, task, how):
        run = self.running[task][0]
        super().end(task, how)
        self.ended_at[self.count] = time.monotonic()
        if how == "done":
            self.done[task] = (run, self.count)

    async def hold_now(self, b):
        until = time.monotonic() + min(b.get("WaitMs", 0), 2000) / 1000
        first = True
        while True:
            with self.lock:
                if first and b.get("FencingToken", 0) < self.fence:
                    return 409, {"ClockMs": self.clock(), "Reason": "fence"}
                if first:
                    self.fence = b.get("FencingToken", 0)
                    self.settle()
                    if "DeadlineMs" in b:
                        self.extend(b["DeadlineMs"])
                    self.take_note(b.get("Observed", 0))
                    self.ended = [e for e in self.ended if e[0] > self.observed]
                first = False
                self.settle()
                if self.ended or time.monotonic() >= until:
                    now = self.clock()
                    running = [[t, r, "", max(0, min(99, 100 - (u - now) * 100 // max(self.whole[t], 1)))] for t, (r, _, u) in self.running.items()]
                    if len(self.ended) > 500:
                        self.record(f"worker {self.ident}: lists 500 of {len(self.ended)} ends")
                    return 200, {"ClockMs": now, "Running": running, "Ended": self.ended[:500]}
            await asyncio.sleep(0.01)

    async def connection(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                path = head[0].split()[1]
                headers = {k.lower(): v.strip() for k, _, v in (h.partition(":") for h in head[1:] if h)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                b = json.loads(body or b"{}")
                if headers.get("expect-instance", self.ident) != self.ident:
                    status, answer = 421, {}
                elif path == "/v1/hold":
                    status, answer = await self.hold_now(b)
                elif path == "/v1/run-start":
                    status, answer = self.start(b)
                elif path == "/v1/run-stop":
                    status, answer = self.stop(b)
                else:
                    status, answer = 200, {}
                if self.cut:
                    # The answer is lost, and with it all that this connection would still bring.
                    await reader.read()
                    return
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def serve(self):
        host, port = self.address.split(":")

        async def main():
            server = await asyncio.start_server(self.connection, host, int(port), backlog=1024)
            async with server:
                await server.serve_forever()

        threading.Thread(target=lambda: asyncio.run(main()), daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()


def case(fleet, trouble):
    for ip in fleet.core_ips + fleet.front_ips:
        fleet.start(ip, bootstrap=True)
    if fleet.configure(3, 0, [fleet.route("r-holds", HOST, PREFIX)]) != 200:
        return 2
    old = fleet.workers[0]
    worker = fleet.workers[0] = BusyWorker(fleet.record, old.ident, old.address, old.zone, RACK, old.service)
    worker.kind = "b"
    fleet.start_workers()
    if not fleet.wait_ready():
        return 2
    time.sleep(4)
    ends_at = time.monotonic() + END_IN_S
    others = len(fleet.workers) - 1
    ms = int((END_IN_S + FULL_S) * 1000)
    step = {"Count": others, "Cpu": 16000, "MemMb": 1024, "EstimateMs": ms, "Requires": "a", "AntiAffinity": 1}
    answer = fleet.client("POST", HOST, PREFIX + f.job_id(), {"TaskSpec": f"plan the seats ms={ms}", "Steps": [step]})
    if not answer or answer[0] // 100 != 2:
        return 2
    for n in range(JOBS):
        ms = int((ends_at - time.monotonic()) * 1000)
        step = {"Count": TASKS, "Cpu": 5, "MemMb": 16, "EstimateMs": ms, "Requires": RACK}
        answer = fleet.client("POST", HOST, PREFIX + f.job_id(), {"TaskSpec": f"hold tables ms={ms} each={EACH_MS}", "Steps": [step]})
        if not answer or answer[0] // 100 != 2:
            return 2
        time.sleep(APART_S)
    fleet.record(f"{len(worker.starts)} starts, {len(worker.running)} tasks run")
    time.sleep(max(0.0, ends_at - 0.02 - time.monotonic()))
    if trouble:
        worker.cut = True
        fleet.record(f"worker {worker.ident}: what it sends is lost from now on")
    over = time.monotonic() + CUT_S
    step = {"Count": LAST_TASKS, "Cpu": 5, "MemMb": 16, "EstimateMs": LAST_MS}
    answer = fleet.client("POST", HOST, PREFIX + f.job_id(), {"TaskSpec": f"hold tables ms={LAST_MS} each=0", "Steps": [step]})
    if not answer or answer[0] // 100 != 2:
        return 2
    time.sleep(max(0.0, over - time.monotonic()))
    worker.cut = False
    fleet.record(f"worker {worker.ident}: is heard again, with {len(worker.ended)} ends that nobody has taken note of")
    time.sleep(20)
    lapsed = [e for e in worker.ends if e[3] == "lapsed"]
    fleet.record(f"{len(worker.done)} tasks ended done, {len(lapsed)} runs lapsed, {len(worker.noted)} of {worker.count} ends are taken note of")
    # A start after a run that ended done, where that end was taken note of and the lease didn't lapse between the two.
    twice = []
    for at, task, run in (s for w in fleet.workers for s in w.starts):
        first, number = worker.done.get(task, (0, 0))
        if number in worker.noted and at > worker.ended_at[number]:
            twice.append((task, run, first, number))
    if lapsed or len(worker.done) < JOBS * TASKS + LAST_TASKS:
        return 2
    for task, run, first, number in twice[:20]:
        fleet.record(f"TWICE: {task} run {run} started though run {first} had ended done (end {number}, taken note of)")
    fleet.record(f"{len(twice)} tasks started again after they had ended done")
    return 1 if twice else 0


f.run(case, fronts=3)
