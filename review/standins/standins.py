"""Stand-ins for clients, workers, discovery and the platform, after the pages PROTOCOL and DEPLOY.

Only the standard library. Every address is on loopback. One thread for each connection.
"""
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Cases that run at the same time have addresses of their own, so that no port is taken twice.
HOST = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}.1"
LIMIT_S = 115  # a watchdog ends the case with status 2 after this time


class CannotRun(Exception):
    """The case cannot run on this machine: exit status 2."""


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, what, **fields):
        at = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{at:9.4f} {who:<12} {what} {text}".rstrip() + "\n")
        return at

    def close(self):
        with self.lock:
            self.file.close()


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def more(self):
        data = self.connection.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.buffer += data

    def until(self, mark):
        while mark not in self.buffer:
            self.more()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def exactly(self, size):
        while len(self.buffer) < size:
            self.more()
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data

    def head(self):
        """The first line, and the headers with their names in lower case."""
        lines = self.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def chunks(self):
        """The chunks of a body; returns after the last one."""
        while True:
            size = int(self.until(b"\r\n").split(b";")[0], 16)
            if size == 0:
                while self.until(b"\r\n"):
                    pass
                return
            data = self.exactly(size)
            self.exactly(2)
            yield data


def serve(listener, handle):
    """Accepts connections in a thread of its own and handles each in another."""

    def run_one(connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            handle(connection)
        except (OSError, ConnectionError, ValueError):
            pass
        finally:
            connection.close()

    def run():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=run_one, args=(connection,), daemon=True).start()

    threading.Thread(target=run, daemon=True).start()


def listen():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, 0))
    listener.listen(128)
    return listener


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def event(content, finish=None):
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    return b"data: " + json.dumps({"choices": [choice]}).encode() + b"\n\n"


def tail_events(tokens, prompt=100):
    usage = {"prompt_tokens": prompt, "completion_tokens": tokens, "prompt_tokens_details": {"cached_tokens": 0}}
    return b"data: " + json.dumps({"choices": [], "usage": usage}).encode() + b"\n\n", b"data: [DONE]\n\n"


class Worker:
    """A sound worker: begins a request with its last byte, and answers with a stream that names the request."""

    def __init__(self, record, uid, first_token_s=0.04, events=4, event_s=0.005, kind="fast"):
        self.record, self.uid, self.kind = record, uid, kind
        self.first_token_s, self.events, self.event_s = first_token_s, events, event_s
        self.lock = threading.Lock()
        self.runs = []  # (seconds, request id)
        self.connections = set()
        self.listener = listen()
        self.endpoint = "%s:%d" % self.listener.getsockname()
        serve(self.listener, self.handle)

    def end(self):
        """The worker's process ends: its connections are reset, new ones are refused."""
        self.record.write(self.uid, "ends")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        with self.lock:
            connections = list(self.connections)
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass
            connection.close()

    def handle(self, connection):
        with self.lock:
            self.connections.add(connection)
        try:
            self.converse(connection)
        finally:
            with self.lock:
                self.connections.discard(connection)

    def converse(self, connection):
        reader = Reader(connection)
        while True:
            line, headers = reader.head()
            body = reader.exactly(int(headers.get("content-length", "0")))
            if line.startswith("GET "):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                continue
            request = headers.get("x-request-id")
            if request is None:
                connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            at = self.record.write(self.uid, "run", request=request, bytes=len(body))
            with self.lock:
                self.runs.append((at, request))
            self.answer(connection, request)

    def answer(self, connection, request):
        time.sleep(self.first_token_s)
        self.stream(connection, request)

    def stream(self, connection, request):
        connection.sendall(STREAM_HEAD + chunk(event(f"{self.uid}/{request}/0 ")))
        for number in range(1, self.events):
            time.sleep(self.event_s)
            connection.sendall(chunk(event(f"{self.uid}/{request}/{number} ")))
        usage, done = tail_events(self.events)
        connection.sendall(chunk(event("", "stop")) + chunk(usage) + chunk(done) + LAST_CHUNK)
        self.record.write(self.uid, "answered", request=request)

    def target(self, state="SERVING", boot_ms=0):
        return {"uid": self.uid, "endpoint": self.endpoint, "az": "suva-a", "model": self.kind, "pod_group": 1,
                "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}


class Discovery:
    """A sound discovery: whole lists, and watches that answer with what changed."""

    def __init__(self, record, targets):
        self.record = record
        self.condition = threading.Condition()
        self.revision = 1
        self.targets = {target["uid"]: target for target in targets}
        self.changes = []  # (revision, target)
        self.calls = 0
        self.told = {}  # (uid, state) -> seconds at which an answer with that state was written
        self.listener = listen()
        self.endpoint = "%s:%d" % self.listener.getsockname()
        serve(self.listener, self.handle)

    def change(self, target):
        """Makes a change known to discovery; returns when."""
        with self.condition:
            self.revision += 1
            if target["state"] == "DELETED":
                self.targets.pop(target["uid"], None)
            else:
                self.targets[target["uid"]] = target
            self.changes.append((self.revision, target))
            at = self.record.write("discovery", "change", uid=target["uid"], state=target["state"],
                                   rev=self.revision)
            self.condition.notify_all()
            return at

    def whole(self):
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    def since(self, after):
        latest = {}
        for revision, target in self.changes:
            if revision > after:
                latest.pop(target["uid"], None)
                latest[target["uid"]] = target
        return {"rev": self.revision, "all": False, "targets": list(latest.values())}

    def list_for(self, path):
        after = re.search(r"after=(\d+)", path)
        wait = re.search(r"wait_ms=(\d+)", path)
        with self.condition:
            if not after:
                return self.whole()
            if wait:
                self.condition.wait_for(lambda: self.revision > int(after[1]), min(60, int(wait[1]) / 1000))
            return self.since(int(after[1]))

    def answer(self, path):
        """(status, list) for a call; a subclass may refuse."""
        return 200, self.list_for(path)

    def handle(self, connection):
        reader = Reader(connection)
        while True:
            line, _ = reader.head()
            path = line.split(" ")[1]
            with self.condition:
                self.calls += 1
                number = self.calls
            self.record.write("discovery", "call", number=number, path=path)
            status, answer = self.answer(path)
            body = json.dumps(answer).encode() if answer is not None else b""
            reason = "OK" if status == 200 else "Service Unavailable"
            connection.sendall(f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n"
                               f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            at = self.record.write("discovery", "answer", number=number, status=status,
                                   rev=answer["rev"] if answer else "-",
                                   entries=",".join(f"{t['uid']}:{t['state']}" for t in answer["targets"])
                                   if answer else "-")
            for target in answer["targets"] if answer else []:
                self.told.setdefault((target["uid"], target["state"]), at)


def settings(**changes):
    """The settings of a small deployment: the wire page's example (suva-lab), with one router and one zone."""

    def grade(name, credit, deadline, objective, late):
        return {"credit": credit, "deadline": deadline, "dedupScope": "all", "effect": "safe", "lateValue": late,
                "name": name, "objective": objective, "streamed": True, "window": 5000000}

    tree = {
        "clients": {"marksRetry": True}, "countedBy": "work",
        "extra": {"aimUsPer1000PromptTokens": [40000.0, 30000.0, 60000.0, 30000.0], "resume": True,
                  "tokenAim": [60000.0, 50000.0, 100000.0, 100000.0]},
        "grades": [grade("agent", 2.0, 10000000, 2500000, 0.3), grade("complete", 2.0, 1200000, 400000, 0.3),
                   grade("chat", 5.0, 5000000, 1200000, 0.2), grade("docs", 1.0, 6000000, 1200000, 0.2)],
        "groupSize": 1, "kindOfService": "llm", "kinds": ["fast", "standard"], "layers": ["model-fleet"],
        "locality": 0, "overShareWorth": 0.05,
        "policyLimits": {"cpuUsPerRequest": 0.0, "cpuUsPerS": 8000, "dialTimeout": 120000,
                         "keepalive": 5000000, "maxAttempts": 5, "maxOpen": 20000, "maxRetryAfter": 2000000,
                         "mayCancel": True, "mayProbe": True, "peers": False, "retryAfter": True,
                         "secondCopies": False, "streamsPerConn": 1},
        "rank": 0, "registryMode": "ask", "report": {"fields": [], "how": "off"},
        "rules": {"answerSlack": 16000, "askWithin": 10000000, "cold": 8700000, "coldFrom": 0.3,
                  "fall": 2000000, "stopSendingWithin": 500000, "tipMultiple": 3.0},
        "tenants": [{"name": "koroi-apps", "quotaPerS": 21.0, "share": 0.37},
                    {"name": "reef-mobile", "quotaPerS": 21.0, "share": 0.36},
                    {"name": "tanoa-soft", "quotaPerS": 16.0, "share": 0.27}],
        "tick": 4000, "tier": 0, "weights": "nominal", "zones": ["suva-a"]}
    for path, value in changes.items():
        node = tree
        *parents, last = path.split("__")
        for parent in parents:
            node = node[parent]
        node[last] = value
    return tree


class Router:
    """One router, started as the platform does: `run` of the deploy file, from the root, by /bin/sh -c."""

    def __init__(self, record, discovery, known, name="n1", seed="8c1f30d27a5be964", folder=None, tree=None,
                 listen_at=None, ops=None, extra=None, operator=None):
        self.record, self.name = record, name
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="case-"))
        self.address = listen_at or f"{HOST}:{free_port()}"
        self.ops = ops
        config = {"name": name, "listen": self.address, "discovery": discovery.endpoint, "seed": seed,
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "known": known, "settings": tree or settings()}
        if ops:
            config["ops"] = ops
        config.update(extra or {})
        self.config = self.folder / f"config-{name}-{os.urandom(3).hex()}.json"
        self.config.write_text(json.dumps(config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        deploy = (ROOT / "deploy/balancer.toml").read_text()
        run = re.search(r'^run = "(.*)"$', deploy, re.MULTILINE)[1]
        if operator:  # the same command with another operator's file
            run = re.sub(r"--operator \S+", f"--operator {operator}", run)
        if not (ROOT / "build/thornwick").exists():
            raise CannotRun("build/thornwick is missing: run the build of the deploy file first")
        environment = dict(os.environ, GW_NAME=name, GW_LISTEN=self.address, GW_DISCOVERY=discovery.endpoint,
                           GW_CONFIG=str(self.config), TMPDIR=str(self.folder / "tmp"))
        environment.pop("GW_OPS", None)
        if ops:
            environment["GW_OPS"] = ops
        self.log_path = self.folder / f"{self.config.stem}.log"
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        record.write("platform", "start", router=name, pid=self.process.pid)

    def wait_ready(self, timeout=30):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun("the router ended at its start:\n" + self.log_path.read_text(errors="replace"))
            if http_get(self.address, "/health/ready") == 200:
                self.record.write("platform", "ready", router=self.name)
                return
            time.sleep(0.05)
        raise CannotRun("the router did not become ready")

    def signal(self, number):
        self.record.write("platform", "signal", router=self.name, number=int(number))
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def http_get(address, path):
    """The status of a GET; None without an answer."""
    host, port = address.split(":")
    try:
        with socket.create_connection((host, int(port)), timeout=1) as connection:
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n".encode())
            line, _ = Reader(connection).head()
            return int(line.split(" ")[1])
    except (OSError, ConnectionError, ValueError):
        return None


class Answer:
    def __init__(self, status=None, events=(), complete=False, seconds=0.0, error=""):
        self.status, self.events, self.complete = status, list(events), complete
        self.seconds, self.error = seconds, error

    def contents(self):
        """The texts of the answer's events."""
        texts = []
        for data in self.events:
            for line in data.split(b"\n"):
                if line.startswith(b"data: {"):
                    for choice in json.loads(line[6:]).get("choices", []):
                        texts.append(choice["delta"].get("content", ""))
        return [text for text in texts if text]


class Client:
    """A usual client: one request at a time on a connection that it keeps."""

    def __init__(self, record, address, name, model="chat"):
        self.record, self.name, self.model = record, name, model
        self.host, self.port = address.split(":")
        self.connection = None

    def close(self):
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def send(self, request, key, timeout_ms=5000, grade="agent", tenant="koroi-apps", prompt=400):
        body = json.dumps({"model": self.model, "stream": True, "max_tokens": 60,
                           "messages": [{"role": "user", "content": "x" * (prompt * 4)}]}).encode()
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {request}\r\n"
                f"X-Priority-Class: {grade}\r\nX-Tenant-Id: {tenant}\r\nX-Route-Key: {key}\r\n"
                f"X-Timeout-Ms: {timeout_ms}\r\nX-Attrs: prompt_len={prompt},max_out=60\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        # A request that crosses the end of a resting connection is sent once more on a new one.
        for fresh in (self.connection is None, True):
            try:
                if self.connection is None:
                    self.connection = socket.create_connection((self.host, int(self.port)), timeout=15)
                    self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connection.sendall(head + body)
                self.sent_at = self.record.write(self.name, "sent", request=request, key=key)
                return self.read(request)
            except (OSError, ConnectionError) as error:
                self.close()
                if fresh:
                    self.record.write(self.name, "no answer", request=request, error=repr(error))
                    return Answer(error=repr(error))
        return Answer(error="unreachable")

    def read(self, request):
        reader = Reader(self.connection)
        line, headers = reader.head()
        status = int(line.split(" ")[1])
        answer = Answer(status=status)
        try:
            if headers.get("transfer-encoding", "") == "chunked":
                for data in reader.chunks():
                    answer.events.append(data)
            else:
                answer.events.append(reader.exactly(int(headers.get("content-length", "0"))))
            answer.complete = True
        except (OSError, ConnectionError, ValueError) as error:
            answer.error = repr(error)
        at = self.record.write(self.name, "answer", request=request, status=status, complete=answer.complete,
                               content=("".join(answer.contents())[:300] if status == 200 else "-"))
        answer.seconds = at - self.sent_at
        if not answer.complete or headers.get("connection", "").lower() == "close":
            self.close()
        return answer


def run_case(folder, case):
    """Runs `case(record, folder)`, which returns the list of violations; ends with the case's status."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record.write("case", "begin", trouble=int(TROUBLE))
    scratch = tempfile.mkdtemp(prefix="case-")
    routers = []

    def out_of_time():
        record.write("case", "out of time")
        for router in routers:
            router.process.kill()
        os._exit(2)

    watchdog = threading.Timer(LIMIT_S, out_of_time)
    watchdog.daemon = True
    watchdog.start()
    status = 2
    try:
        violations = case(record, scratch, routers)
        for router in routers:
            if router.process.poll() not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                violations.append(f"router {router.name} crashed: status {router.process.poll()}")
        for violation in violations:
            record.write("case", "violation", text=violation)
        print(f"trouble={int(TROUBLE)}: {len(violations)} violations" +
              "".join(f"\n  {violation}" for violation in violations[:10]))
        status = 1 if violations else 0
    except CannotRun as error:
        print(f"cannot run: {error}", file=sys.stderr)
        record.write("case", "cannot run", text=str(error))
    finally:
        watchdog.cancel()
        for router in routers:
            router.end()
        for log in sorted(pathlib.Path(scratch).glob("*.log")):
            for line in log.read_text(errors="replace").splitlines():
                record.write("router log", line)
        record.write("case", "end", status=status)
        record.close()
        shutil.rmtree(scratch, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)
