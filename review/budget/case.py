"""The platform replaces the router's process. Does a member's used budget stay used?"""
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins  # noqa: E402

BUDGET = 10000  # tokens a day
PROMPT, MADE = 400, 60  # tokens of each request, as asked for and as the worker tells them
REQUESTS = 40  # in each half; the budget covers 21 in all

OPERATOR_FILE = """
[affinity]
enabled = true

[budgets]
block = 0.1

[[budget]]
name = "day"
member = "each"
per = "day"
tokens = {budget}

[store]
file = "{folder}/thornwick.store"
sync_s = 0.05
"""


class CountingWorker(standins.Worker):
    def stream(self, connection, request):
        usage, done = standins.tail_events(MADE, PROMPT)
        connection.sendall(standins.STREAM_HEAD + standins.chunk(standins.event(f"{self.uid}/{request}/0 ")) +
                           standins.chunk(standins.event("", "stop")) + standins.chunk(usage) +
                           standins.chunk(done) + standins.LAST_CHUNK)
        self.record.write(self.uid, "answered", request=request, tokens=PROMPT + MADE)


def call(address, line):
    """A call at the door for operators; the first line of the answer, or None."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(line.encode() + b"\n")
            return connection.recv(4096).decode().split("\n")[0]
    except OSError:
        return None


def case(record, scratch, routers):
    if time.time() % 86400 > 86400 - 120:
        raise standins.CannotRun("the day of the budget ends within two minutes")
    workers = [CountingWorker(record, uid, first_token_s=0.01) for uid in ("s-0a000001", "s-0b000002")]
    discovery = standins.Discovery(record, [worker.target() for worker in workers])
    operator = pathlib.Path(scratch) / "operator.toml"
    operator.write_text(OPERATOR_FILE.format(budget=BUDGET, folder=pathlib.Path(scratch) / "tmp"))

    def start(listen_at=None):
        router = standins.Router(record, discovery, discovery.whole(), folder=scratch, listen_at=listen_at,
                                 ops="127.0.0.1:%d" % standins.free_port(), operator=operator)
        routers.append(router)
        end = time.monotonic() + 6
        while time.monotonic() < end:
            if (call(router.ops, "HEALTH") or "").startswith("+OK"):
                record.write("platform", "yes", router=router.name, pid=router.process.pid)
                return router
            time.sleep(0.05)
        raise standins.CannotRun("the router did not say yes")

    old = start()
    old.wait_ready()
    time.sleep(1)
    served = [0, 0]
    refused = [0, 0]

    def ask(half, address):
        client = standins.Client(record, address, f"client{half}")
        for number in range(REQUESTS):
            answer = client.send(f"{half:04x}{number:012x}", key=f"{number % 4 + 1:016x}", prompt=PROMPT)
            if answer.status == 200 and answer.complete:
                served[half] += 1
            else:
                refused[half] += 1
            time.sleep(0.15)  # the budget's marks in the store keep up
        client.close()

    ask(0, old.address)
    if served[0] * (PROMPT + MADE) < BUDGET * 0.8 or refused[0] == 0:
        raise standins.CannotRun(f"the budget was not used up: {served[0]} served, {refused[0]} refused")
    time.sleep(2)  # longer than the store needs to write a change
    if standins.TROUBLE:
        start(old.address)
        old.signal(signal.SIGTERM)
        end = time.monotonic() + 3.7  # the longest deadline (3 s at most) and 0.7 s
        while old.process.poll() is None and time.monotonic() < end:
            time.sleep(0.05)
        record.write("platform", "old process ended", status=old.process.poll())
        if old.process.poll() is None:
            old.signal(signal.SIGKILL)
        time.sleep(1)
    ask(1, old.address)
    tokens = sum(served) * (PROMPT + MADE)
    record.write("case", "tally", served=f"{served[0]}+{served[1]}", refused=f"{refused[0]}+{refused[1]}",
                 tokens=tokens, budget=BUDGET)
    # One request may be under way when the budget ends.
    if tokens > BUDGET + PROMPT + MADE:
        return [f"the member was served {tokens} tokens of a budget of {BUDGET} ({served[0]} requests before "
                f"and {served[1]} after the replacement)"]
    return []


standins.run_case(pathlib.Path(__file__).resolve().parent, case)
