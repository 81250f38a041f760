"""Connections break under requests that have begun. Is a keyed request run again after its window?"""
import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins  # noqa: E402

WINDOW_S = 5.0  # grades[].window of the site's classes: how long workers discard repeats
SLACK_S = 0.05  # each limit is longer by this on sockets
BREAK_AFTER_S = 5.5  # a connection breaks so long after the request has begun
EVERY = 20  # one request in so many meets a break
SECONDS = 30
CLIENTS = 6

# The models and the fallback of deploy/models.toml, without its budgets and its store.
OPERATOR_FILE = """
[models]
fallback_part = 0.2
fallback_burst = 10
first_part = 0.1
growth_per_s = 1.0

[[model]]
name = "reef-large"
boxes = { models = ["fast"] }
context = 32768
most_answer = 4096
fallback = [ { to = "reef-small", when = ["missing", "overloaded"], time_left_ms = 500 } ]

[[model]]
name = "reef-small"
boxes = { models = ["standard"] }
context = 32768
"""


class BreakingWorker(standins.Worker):
    """Some connections are reset under a request that has begun, before its first token."""

    count = 0

    def answer(self, connection, request):
        with self.lock:
            self.count += 1
            breaks = standins.TROUBLE and self.kind == "fast" and self.count % EVERY == 0
        if not breaks:
            return super().answer(connection, request)
        time.sleep(BREAK_AFTER_S)
        self.record.write(self.uid, "reset", request=request)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        raise ConnectionError("reset by the case")


def case(record, scratch, routers):
    kinds = {"s-0a000001": "fast", "s-0b000002": "fast", "s-0c000003": "standard", "s-0d000004": "standard"}
    workers = [BreakingWorker(record, uid, kind=kind) for uid, kind in kinds.items()]
    discovery = standins.Discovery(record, [worker.target() for worker in workers])
    operator = pathlib.Path(scratch) / "operator.toml"
    operator.write_text(OPERATOR_FILE)
    tree = standins.settings()
    for grade in tree["grades"]:
        grade["effect"] = "keyed"
        assert grade["dedupScope"] == "all" and grade["window"] == WINDOW_S * 1e6
    router = standins.Router(record, discovery, discovery.whole(), folder=scratch, tree=tree, operator=operator)
    routers.append(router)
    router.wait_ready()
    time.sleep(1)
    end = time.monotonic() + SECONDS
    statuses = {}

    def converse(number):
        client = standins.Client(record, router.address, f"client{number}",
                                 model="reef-large" if number % 2 else "reef-small")
        turn = 0
        while time.monotonic() < end:
            turn += 1
            answer = client.send(f"{number:04x}{turn:012x}", key=f"{number * 1000 + turn:016x}", timeout_ms=9000)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            time.sleep(0.02)
        client.close()

    threads = [threading.Thread(target=converse, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = {}
    for worker in workers:
        for at, request in worker.runs:
            runs.setdefault(request, []).append((at, worker.uid))
    violations = []
    for request, places in sorted(runs.items()):
        places.sort()
        late = [(at, uid) for at, uid in places[1:] if at > places[0][0] + WINDOW_S + SLACK_S]
        for at, uid in late:
            violations.append(f"request {request} was run at {places[0][1]} and again at {uid} "
                              f"{at - places[0][0]:.3f} s later, after its window of {WINDOW_S:.3f} s")
    record.write("case", "tally", statuses=statuses, requests=len(runs), violations=len(violations))
    if statuses.get(200, 0) < 100:
        raise standins.CannotRun(f"too few requests were served: {statuses}")
    return violations


standins.run_case(pathlib.Path(__file__).resolve().parent, case)
