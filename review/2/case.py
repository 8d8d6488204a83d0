"""A route is taken out of the configuration while a job of its queue runs, and put in again: is the job still known?"""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import fleet as f  # noqa: E402

HOST, PREFIX = "booking.example", "/holds/"
# How long after its end the job is asked for: well within status_s.
ASKED_FOR_S = 45


def case(fleet, trouble):
    for ip in fleet.core_ips + fleet.front_ips:
        fleet.start(ip, bootstrap=True)
    holds, other = fleet.route("r-holds", HOST, PREFIX), fleet.route("r-other", HOST, "/other/")
    if fleet.configure(3, 0, [holds, other]) != 200:
        return 2
    fleet.start_workers()
    if not fleet.wait_ready():
        return 2
    time.sleep(3)
    job, path = f.job_id(), None
    path = PREFIX + job
    body = {"TaskSpec": "hold a table ms=4000", "Steps": [{"Count": 1, "Cpu": 1000, "MemMb": 256, "EstimateMs": 4000}]}
    answer = fleet.client("POST", HOST, path, body)
    if not answer or answer[0] // 100 != 2:
        return 2
    accepted = time.monotonic()
    if trouble and fleet.configure(5, 3, [other]) != 200:
        return 2
    until = time.monotonic() + 20
    done = lambda: [e for w in fleet.workers for e in w.ends if e[1].startswith(job) and e[3] == "done"]
    while not done() and time.monotonic() < until:
        time.sleep(0.05)
    if not done():
        return 2
    ended = done()[0][0]
    time.sleep(2)
    if trouble and fleet.configure(8, 5, [holds, other]) != 200:
        return 2
    broken = False
    # Configurations apply within ConfigApplyMs.
    time.sleep(2.5)
    while time.monotonic() < ended + ASKED_FOR_S and not broken:
        answer = fleet.client("GET", HOST, path)
        if answer and answer[0] == 410 and time.monotonic() - accepted > f.BOUNDS["visible_ms"] / 1000:
            fleet.record(f"LOST: 410 for an accepted job {time.monotonic() - ended:.1f} s after its end; status_s is {f.BOUNDS['status_s']}")
            broken = True
        elif answer and answer[0] == 200 and json.loads(answer[1]).get("State") != "completed":
            return 2
        time.sleep(2)
    return 1 if broken else 0


f.run(case)
