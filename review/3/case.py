"""A rolling replacement removes one worker, then another one drains. Does the second one get new work?"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
import standins  # noqa: E402

FINISH_S = 4  # so long after its drain began the worker's process ends; its longest answer takes 0.4 s
AFTER_S = 3
CLIENTS = 8
GRACE_S = 0.5 + 0.05  # rules.stopSendingWithin, and the 50 ms that each limit is longer on sockets


def case(record, scratch, routers):
    kinds = {"k7-2a": "fast", "m4-91": "fast", "q3-2a": "standard", "t9-5d": "standard"}  # by uid
    workers = {uid: standins.Worker(record, uid, events=10, event_s=0.03, kind=kind) for uid, kind in kinds.items()}
    discovery = standins.Discovery(record, [worker.target() for worker in workers.values()])
    router = standins.Router(record, discovery, discovery.whole(), folder=scratch)
    routers.append(router)
    router.wait_ready()
    stop = threading.Event()
    unanswered = []
    broken = []

    def converse(number):
        client = standins.Client(record, router.address, f"client{number}")
        turn = 0
        while not stop.is_set():
            turn += 1
            request = f"{number:04x}{turn:012x}"
            # Each client opens a new conversation every few turns, so that every worker gets some.
            answer = client.send(request, key=f"{number * 1000 + turn // 3 + 1:016x}")
            if answer.status is None:
                unanswered.append(request)
            elif answer.status == 200 and not answer.complete:
                broken.append(request)
            time.sleep(0.01)
        client.close()

    threads = [threading.Thread(target=converse, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    if standins.TROUBLE:  # k7-2a is replaced by w6-c0, as in a rolling deploy
        discovery.change(workers["k7-2a"].target("DRAINING"))
        time.sleep(1)
        discovery.change(workers["k7-2a"].target("DELETED"))
        workers["w6-c0"] = standins.Worker(record, "w6-c0", events=10, event_s=0.03)
        discovery.change(workers["w6-c0"].target(boot_ms=int(time.time() * 1000)))
    time.sleep(3)
    drained = workers["q3-2a"]
    before = len(drained.runs)
    discovery.change(drained.target("DRAINING"))
    time.sleep(FINISH_S)
    drained.end()
    discovery.change(drained.target("DELETED"))
    time.sleep(AFTER_S)
    stop.set()
    for thread in threads:
        thread.join()
    told = discovery.told.get(("q3-2a", "DRAINING"))
    if told is None or before == 0:
        raise standins.CannotRun(f"told={told}, runs before the drain: {before}")
    late = {request: at for at, request in drained.runs if at > told + GRACE_S}
    lost = [request for request in broken if request in late]
    record.write("case", "tally", told=f"{told:.4f}", late=len(late), broken=len(broken), of_late=len(lost),
                 unanswered=len(unanswered))
    return [f"q3-2a got request {request} {at - told:.3f} s after the router was told that it drains" +
            (", and its answer broke off when q3-2a ended" if request in lost else "")
            for request, at in sorted(late.items(), key=lambda entry: -entry[1])]


standins.run_case(pathlib.Path(__file__).resolve().parent, case)
