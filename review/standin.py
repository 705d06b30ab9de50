"""Stand-ins for the review cases, in one process: PROTOCOL's state service, cloud, workers, users.

A case starts the controllers with the `run` command of deploy/service.toml, as separate processes
on loopback addresses. Each controller reaches the state service through an address of its own, so
that the state service can refuse one controller alone.
"""

import asyncio
import collections
import ctypes
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1
MAX_BODY = 64 * 1024


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, *parts):
        text = " ".join(str(part) for part in parts)
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------- HTTP


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers and body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n"):
            break
        if not header:
            return None
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line.decode("latin-1").strip(), headers, body


class HttpServer:
    """Serves `handle(method, target, body) -> (status, object)`; None: the connection is reset."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{self.port}"
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, body)
                if answer is None:
                    return
                status, value = answer
                text = json.dumps(value).encode()
                close = headers.get("connection", "").lower() == "close"
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(text)}\r\n"
                head += "Connection: close\r\n\r\n" if close else "\r\n"
                writer.write(head.encode() + text)
                await writer.drain()
                if close:
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class HttpClient:
    """One connection to an address; kept open between calls."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def call(self, method, target, body=None, timeout=5.0):
        """Returns (status, object), or None if there was no answer."""
        try:
            return await asyncio.wait_for(self._call(method, target, body), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _call(self, method, target, body):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(
                self.host, self.port, limit=1 << 20
            )
        if body is not None and not isinstance(body, bytes):
            body = json.dumps(body).encode()
        head = f"{method} {target} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.writer.write(head.encode() + b"\r\n" + (body or b""))
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise OSError("closed")
        line, headers, text = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(text) if text else {}
        except ValueError:
            value = {"text": text.decode("latin-1")}
        self.retry_after = float(headers.get("retry-after", "0"))
        return int(line.split()[1]), value


async def call_once(address, method, target, body=None, timeout=5.0):
    client = HttpClient(address)
    try:
        return await client.call(method, target, body, timeout)
    finally:
        client.close()


def query(target):
    path, _, text = target.partition("?")
    return path, dict(part.split("=", 1) for part in text.split("&") if "=" in part)


# ---------------------------------------------------------------------- state service


class Budget:
    """A rate with bursts of `seconds` worth."""

    def __init__(self, rate, seconds):
        self.rate, self.most = rate, rate * seconds
        self.left, self.at = self.most, time.monotonic()

    def take(self, cost):
        now = time.monotonic()
        self.left = min(self.most, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < cost:
            return False
        self.left -= cost
        return True


class StateService:
    """PROTOCOL, "Controller nodes -> state service"."""

    def __init__(self, limits, record):
        self.limits, self.record = limits, record
        self.keys = {}  # path -> (value, stamp, tenure)
        self.tick = 1
        self.log = collections.deque(maxlen=10000)
        self.holds = {}  # tenure -> [life in s, end]
        self.last_hold = 0
        self.changed = asyncio.Condition()
        self.refused = set()  # labels of controllers that get 503
        self.requests = Budget(limits["rps"], 1)
        self.writes = Budget(limits["write_rps"], 1)
        self.delay = 0.003
        self.servers = {}

    async def serve(self, label):
        async def handle(method, target, body):
            return await self.handle(label, method, target, body)

        self.servers[label] = await HttpServer(handle).start()
        return self.servers[label].address

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for tenure, (_, end) in list(self.holds.items()):
                if end <= now:
                    await self.end_hold(tenure)

    async def refuse(self, labels):
        """Starts or ends the refusal; held leases of nodes that are served again go on."""
        self.refused = set(labels)
        async with self.changed:
            self.changed.notify_all()

    async def end_hold(self, tenure):
        self.holds.pop(tenure, None)
        dropped = [path for path, (_, _, hold) in self.keys.items() if hold == tenure]
        if dropped:
            await self.apply([{"drop": path} for path in dropped])

    async def apply(self, changes):
        """Applies the changes at one new revision, which is returned."""
        self.tick += 1
        tick = self.tick
        for change in changes:
            if "put" in change:
                path = change["put"]
                self.keys[path] = (change["v"], tick, change.get("tenure"))
                self.log.append({"put": path, "v": change["v"], "stamp": tick})
                self.record("state put", path, json.dumps(change["v"]))
            else:
                path = change["drop"]
                if self.keys.pop(path, None) is not None:
                    self.log.append({"drop": path, "stamp": tick})
                    self.record("state drop", path)
        async with self.changed:
            self.changed.notify_all()
        return tick

    async def handle(self, label, method, target, body):
        await asyncio.sleep(self.delay)
        if label in self.refused:
            return 503, {"error": "refused"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        path, args = query(target)
        if method == "GET" and path.startswith("/kv/"):
            entry = self.keys.get(path[4:])
            if entry is None:
                return 404, {"tick": self.tick}
            return 200, {"path": path[4:], "v": entry[0], "stamp": entry[1], "tenure": entry[2]}
        if method == "GET" and path == "/kv":
            return 200, self.range(args)
        if method == "GET" and path == "/watch":
            return await self.watch(label, args)
        if method == "POST" and path == "/txn":
            return await self.transaction(body)
        if method == "POST" and path == "/holds":
            life = json.loads(body)["life_ms"] / 1000
            self.last_hold += 1
            self.holds[self.last_hold] = [life, time.monotonic() + life]
            return 200, {"tenure": self.last_hold}
        if path.startswith("/holds/"):
            tenure = int(path.split("/")[2])
            if tenure not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_hold(tenure)
            else:
                self.holds[tenure][1] = time.monotonic() + self.holds[tenure][0]
            return 200, {}
        return 400, {"error": "malformed"}

    def range(self, args):
        paths = sorted(p for p in self.keys if p.startswith(args["under"]))
        paths = [p for p in paths if p > args.get("after", "")]
        page = min(int(args.get("page", "1000")), 1000)
        entries = [
            {"path": p, "v": self.keys[p][0], "stamp": self.keys[p][1]} for p in paths[:page]
        ]
        return {"entries": entries, "truncated": len(paths) > page, "tick": self.tick}

    async def watch(self, label, args):
        after, under = int(args["after"]), args["under"]
        end = time.monotonic() + min(int(args.get("block_ms", "0")), 60000) / 1000
        while True:
            if len(self.log) == self.log.maxlen and after < self.log[0]["stamp"] - 1:
                return 410, {"tick": self.tick}
            found = [
                event
                for event in self.log
                if event["stamp"] > after and event.get("put", event.get("drop")).startswith(under)
            ]
            left = end - time.monotonic()
            if label not in self.refused and (found or left <= 0):
                return 200, {"tick": self.tick, "log": found}
            async with self.changed:
                try:
                    wait = left if label not in self.refused else 1.0
                    await asyncio.wait_for(self.changed.wait(), max(0.01, min(wait, 1.0)))
                except asyncio.TimeoutError:
                    pass

    async def transaction(self, body):
        try:
            request = json.loads(body)
            changes = request.get("apply", [])
            when = request.get("when", [])
        except (ValueError, AttributeError):
            return 400, {"error": "malformed"}
        operations = self.limits["txn_ops"]
        sizes = [len(json.dumps(c["v"], separators=(",", ":"))) for c in changes if "put" in c]
        if (
            len(body) > MAX_BODY
            or len(changes) > operations
            or len(when) > 4 * operations
            or any(size > self.limits["value_kb"] * 1024 for size in sizes)
        ):
            return 400, {"error": "over a limit"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        failed = [
            c["path"] for c in when if self.keys.get(c["path"], (None, 0, None))[1] != c["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "tick": self.tick}
        if any(c.get("tenure") is not None and c["tenure"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            return 200, {"tick": await self.apply(changes)}
        return 200, {"tick": self.tick}


# ---------------------------------------------------------------------- workers


class Task:
    def __init__(self, hop):
        self.hop, self.mood, self.cause, self.stored = hop, "fetching", None, False
        self.timer = None


class Worker:
    """PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"."""

    def __init__(self, world, name, flavor, zone, spot):
        self.world, self.name, self.flavor, self.zone, self.spot = world, name, flavor, zone, spot
        self.record = world.record
        self.stint, self.chirp, self.crest = 1, 0, 0
        self.tasks = {}  # task -> list of Task
        self.images = set()
        self.session_began = time.monotonic()
        self.last_answered = None
        self.token_changed_at = 0.0
        self.change = asyncio.Event()
        self.loops = []
        self.client = None
        self.alive = False
        self.cut = set()  # labels of nodes that can't be reached

    async def listen(self):
        self.server = await HttpServer(self.handle).start()
        return self.server.address

    def boot(self):
        self.alive = True
        self.session_began = time.monotonic()
        self.record("machine up", self.name, self.flavor["name"], self.zone)
        self.loops = [
            asyncio.create_task(self.report_loop()),
            asyncio.create_task(self.lease_loop()),
        ]

    def power_off(self, why):
        """The machine is gone with all that is on it; its address is silent from then on."""
        if not self.alive and why == "stopped":
            return
        self.record("machine", why, self.name)
        self.alive = False
        for loop in self.loops:
            loop.cancel()
        for task, attempts in self.tasks.items():
            for attempt in attempts:
                self.leave(task, attempt, why)
        self.tasks = {}
        if self.client is not None:
            self.client.close()

    # -- tasks

    def leave(self, task, attempt, why):
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.mood in ("running", "flushing"):
            self.world.off(task, attempt.hop, self, why)

    def used(self, job):
        total = {"cpus": 0.0, "gpus": 0.0, "ram_gb": 0.0}
        for task, attempts in self.tasks.items():
            spec = self.world.jobs[task.rsplit("/", 1)[0]]
            for attempt in attempts:
                if attempt.mood != "ended":
                    for name in total:
                        total[name] += spec[name]
        return all(total[name] + job[name] <= self.flavor[name] + 1e-6 for name in total)

    def run(self, task, hop):
        attempts = self.tasks.setdefault(task, [])
        if any(attempt.hop == hop for attempt in attempts):
            return
        attempt = Task(hop)
        job = self.world.jobs.get(task.rsplit("/", 1)[0])
        if job is None or int(task.rsplit("/", 1)[1]) >= job["pecks"]:
            cause = "unknown"
        elif any(other.mood != "ended" for other in attempts):
            cause = "busy"
        elif not self.used(job):
            cause = "full"
        else:
            cause = None
        attempts.append(attempt)
        if cause is not None:
            attempt.mood, attempt.cause = "ended", cause
            self.record("refused", task, hop, "on", self.name, cause)
            return
        fetch = (
            0.0 if job["plumage"] in self.images else job["image_gb"] / self.flavor["pull_gb_per_s"]
        )
        attempt.timer = asyncio.create_task(self.play(task, attempt, job, fetch))

    async def play(self, task, attempt, job, fetch):
        await asyncio.sleep(fetch)
        self.images.add(job["plumage"])
        if task in self.world.results:
            self.end(task, attempt, "done")
            return
        attempt.mood = "running"
        self.world.on(task, attempt.hop, self)
        self.change.set()
        run_s = self.world.run_s(task, job)
        if job["id"] in self.world.mistaken:
            await asyncio.sleep(self.world.fails_after_s)
            self.end(task, attempt, "error")
        elif job["gait"] == "batch":
            await asyncio.sleep(run_s)
            self.world.results.add(task)
            self.end(task, attempt, "done")

    def end(self, task, attempt, cause, stored=False):
        attempt.timer = None
        if attempt.mood in ("running", "flushing"):
            self.world.off(task, attempt.hop, self, cause)
        attempt.mood, attempt.cause, attempt.stored = "ended", cause, stored
        self.change.set()

    async def flush(self, task, attempt, job):
        await asyncio.sleep(job["stash_s"])
        self.end(task, attempt, "halted", True)

    def stop(self, task, hop, settle):
        job = self.world.jobs.get(task.rsplit("/", 1)[0])
        for attempt in self.tasks.get(task, []):
            if attempt.hop != hop or attempt.mood == "ended":
                continue
            if attempt.mood == "flushing" and settle > 0:
                continue
            if attempt.timer is not None:
                attempt.timer.cancel()
                attempt.timer = None
            saves = attempt.mood == "running" and job["cache_every_s"] > 0
            if saves and settle >= job["stash_s"]:
                attempt.mood = "flushing"
                attempt.timer = asyncio.create_task(self.flush(task, attempt, job))
            else:
                self.end(task, attempt, "halted")

    def execute(self, calls):
        for call in calls:
            kind, task, hop = call["call_kind"], call["peck"], call["hop"]
            self.record("command", self.name, json.dumps(call))
            if kind == "run":
                self.run(task, hop)
            elif kind == "stop":
                self.stop(task, hop, call.get("settle_s", 0))
            elif kind == "forget":
                left = [a for a in self.tasks.get(task, []) if a.hop != hop or a.mood != "ended"]
                self.tasks[task] = left
                if not left:
                    del self.tasks[task]
        if calls:
            self.change.set()

    # -- messages

    def report(self):
        self.chirp += 1
        pecks = []
        for task, attempts in self.tasks.items():
            for attempt in attempts:
                entry = {"peck": task, "hop": attempt.hop, "mood": attempt.mood}
                if attempt.mood == "ended":
                    entry["cause"] = attempt.cause
                if attempt.stored:
                    entry["stored"] = True
                pecks.append(entry)
        return {
            "branch": self.name,
            "addr": self.server.address,
            "perch_kind": self.flavor["name"],
            "roost": self.zone,
            "borrowed_branches": self.spot,
            "stint": self.stint,
            "chirp": self.chirp,
            "crest": self.crest,
            "warning_s": None,
            "pecks": pecks,
        }

    def see(self, crest):
        if crest > self.crest:
            self.crest = crest
            if time.monotonic() - self.token_changed_at > self.world.lease_s / 2:
                self.token_changed_at = time.monotonic()
                self.change.set()

    async def handle(self, method, target, body):
        if not self.alive:
            await asyncio.sleep(3600)  # a machine without power is silent
        if method == "GET" and target == "/inspect":
            return 200, self.report()
        if method != "POST" or target != "/do":
            return 404, {}
        request = json.loads(body)
        if "crest" not in request or "stint" not in request:
            return 400, {}
        if request["crest"] < self.crest or request["stint"] != self.stint:
            return 409, self.report()
        self.see(request["crest"])
        self.execute(request.get("calls", []))
        return 200, self.report()

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.1)
            since = self.session_began if self.last_answered is None else self.last_answered
            if time.monotonic() - since <= self.world.lease_s:
                continue
            self.record("lease ended", self.name, "stint", self.stint)
            for task, attempts in self.tasks.items():
                for attempt in attempts:
                    self.leave(task, attempt, "lease ended")
            self.tasks = {}
            self.stint += 1
            self.session_began, self.last_answered = time.monotonic(), None
            self.change.set()

    async def report_loop(self):
        labels = [controller.label for controller in self.world.controllers]
        node = random.randrange(len(labels))
        while True:
            self.change.clear()
            sent, stint = time.monotonic(), self.stint
            report = self.report()
            if self.client is None:
                self.client = HttpClient(self.world.by_label[labels[node]].api)
            if labels[node] in self.cut:
                await asyncio.sleep(4.0)
                answer = None
            else:
                answer = await self.client.call("POST", "/checkin", report, 4.0)
            status = answer[0] if answer else None
            pause = None
            if status == 200:
                self.accept(answer[1], sent, stint)
            else:
                self.client.close()
                self.client = None
                home = answer[1].get("home_roost") if status == 421 else None
                if home in labels and home != labels[node]:
                    node, pause = labels.index(home), 0.1
                else:
                    node, pause = (node + 1) % len(labels), 1.0
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            interval = self.world.report_s * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.change.wait(), interval)
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    def accept(self, answer, sent, stint):
        if stint != self.stint or answer.get("crest", -1) < self.crest:
            return
        self.see(answer["crest"])
        self.last_answered = sent
        self.execute(answer.get("calls", []))


# ---------------------------------------------------------------------- cloud


class Cloud:
    """PROTOCOL, "Controller nodes -> cloud". Machines boot after `startup_s`."""

    def __init__(self, world, flavors, capacity, list_lag, rps):
        self.world, self.flavors, self.capacity = world, flavors, capacity
        self.list_lag = list_lag
        self.machines = collections.OrderedDict()  # name -> dict
        self.rentals = {}
        self.last = 0
        self.requests = Budget(rps, 2)
        self.snapshots = collections.deque()

    async def run(self):
        while True:
            now = time.monotonic()
            self.snapshots.append((now, self.snapshot(now)))
            while len(self.snapshots) > 1 and now - self.snapshots[1][0] >= self.list_lag:
                self.snapshots.popleft()
            await asyncio.sleep(0.25)

    def snapshot(self, now):
        listed = []
        for name, machine in self.machines.items():
            died = machine.get("died")
            if died is not None and now - died >= 30:
                mood = "failed"
            else:
                mood = "running" if machine["up"] else "starting"
            listed.append(
                {
                    "id": name,
                    "addr": machine["addr"],
                    "perch_kind": machine["type"],
                    "roost": machine["zone"],
                    "borrowed_branches": machine["spot"],
                    "mood": mood,
                    "age_s": now - machine["rented"],
                }
            )
        return listed

    async def add(self, flavor, zone, spot, startup):
        self.last += 1
        name = f"vm-{self.last:06d}"
        worker = Worker(self.world, name, flavor, zone, spot)
        address = await worker.listen()
        self.machines[name] = {
            "worker": worker,
            "addr": address,
            "type": flavor["name"],
            "zone": zone,
            "spot": spot,
            "rented": time.monotonic(),
            "up": False,
        }
        self.world.workers[name] = worker
        asyncio.create_task(self.boot(name, startup))
        return name

    async def boot(self, name, startup):
        await asyncio.sleep(startup)
        machine = self.machines.get(name)
        if machine is not None:
            machine["up"] = True
            machine["worker"].boot()

    def stop(self, name):
        """The machine stops with all that is on it; it stays charged to its place until deleted."""
        self.machines[name]["died"] = time.monotonic()
        self.machines[name]["worker"].power_off("stopped")

    async def handle(self, method, target, body):
        await asyncio.sleep(0.05)
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        path, args = query(target)
        if method == "GET" and path == "/flavors":
            return 200, {"perches": self.flavors}
        if method == "GET" and path == "/rentals":
            listed = [m for m in self.snapshots[0][1] if m["id"] > args.get("after", "")]
            page = min(int(args.get("page", "500")), 500)
            return 200, {"branches": listed[:page], "truncated": len(listed) > page}
        request = json.loads(body)
        if method == "POST" and path == "/rentals":
            return await self.rent(request)
        if method == "POST" and path == "/rentals/release":
            for name in request["branches"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    machine["worker"].power_off("released")
            self.world.record("cloud released", request["branches"])
            return 200, {}
        return 400, {"error": "malformed"}

    async def rent(self, request):
        if request["hire"] in self.rentals:
            return 200, {"branches": self.rentals[request["hire"]]}
        flavors = [f for f in self.flavors if f["name"] == request["perch_kind"]]
        if not flavors or not 1 <= request["count"] <= 50:
            return 400, {"error": "malformed"}
        kind = (request["perch_kind"], request["roost"], request["borrowed_branches"])
        rented = sum((m["type"], m["zone"], m["spot"]) == kind for m in self.machines.values())
        count = min(request["count"], self.capacity.get(kind, 0) - rented)
        if count <= 0:
            self.world.record("cloud rent", json.dumps(request), "-> no capacity")
            return 503, {"error": "no capacity"}
        names = [
            await self.add(flavors[0], kind[1], kind[2], flavors[0]["startup_s"])
            for _ in range(count)
        ]
        self.rentals[request["hire"]] = names
        self.world.record("cloud rent", json.dumps(request), "->", names)
        return 200, {"branches": names}


# ---------------------------------------------------------------------- controllers


def end_with_parent():
    """In the child: the controller is killed if this script ends without ending it."""
    LIBC.prctl(PR_SET_PDEATHSIG, int(signal.SIGKILL))


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Controller:
    def __init__(self, label, site, api, mesh):
        self.label, self.site, self.api, self.mesh = label, site, api, mesh
        self.process = None
        self.unexpected = []  # how the process ended by itself

    async def start(self, world):
        self.log = open(world.folder / f"{self.label}.log", "a", encoding="utf-8")
        environment = dict(os.environ, LOG_LEVEL=world.log_level)
        self.process = await asyncio.create_subprocess_exec(
            *world.command,
            str(world.folder / f"{self.label}.toml"),
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=end_with_parent,
        )
        world.record("controller started", self.label)

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running:
            self.process.send_signal(number)

    async def kill(self):
        if self.running:
            self.process.kill()
            await self.process.wait()


class World:
    """A small deployment. `settings` are values of the settings file under [cluster]."""

    def __init__(self, folder, settings):
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.settings = settings
        self.report_s, self.lease_s = settings["report_s"], settings["lease_s"]
        self.log_level = os.environ.get("LOG_LEVEL", "info")
        self.jobs, self.results, self.workers, self.run_times = {}, set(), {}, {}
        self.mistaken = set()  # ids of jobs that were submitted with a mistake and always fail
        self.fails_after_s = 0.2
        self.controllers, self.by_label = [], {}
        self.present = collections.defaultdict(dict)  # task -> {machine: hop}
        self.starts = []  # (time, task, hop, machine)
        self.twice = []
        self.background = []
        deploy = tomllib.loads((ROOT / "deploy/service.toml").read_text(encoding="utf-8"))
        self.command = shlex.split(deploy["run"])
        self.command[0] = str(ROOT / self.command[0])
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the program is not built")

    def run_s(self, task, job):
        return self.run_times.get(task.rsplit("/", 1)[0], job["flight_s"])

    def on(self, task, hop, worker):
        self.record("start", task, "attempt", hop, "on", worker.name, worker.zone)
        self.starts.append((time.monotonic(), task, hop, worker.name))
        if self.present[task]:
            self.twice.append((task, dict(self.present[task]), worker.name))
            self.record("ran_twice", task, "is on", dict(self.present[task]), "and on", worker.name)
        self.present[task][worker.name] = hop

    def off(self, task, hop, worker, why):
        self.record("end", task, "attempt", hop, "on", worker.name, why)
        self.present[task].pop(worker.name, None)

    async def set_up(self, flavors, capacity):
        s = self.settings
        self.state = StateService(s["state"], self.record)
        self.cloud = Cloud(self, flavors, capacity, s["list_lag_s"], s["cloud_rps"])
        cloud_server = await HttpServer(self.cloud.handle).start()
        self.background += [
            asyncio.create_task(self.state.run()),
            asyncio.create_task(self.cloud.run()),
        ]
        count = s["count"]
        ports = free_ports(2 * count)
        for i in range(count):
            controller = Controller(
                f"nestbox-{i}",
                s["zones"][i % len(s["zones"])],
                f"{HOST}:{ports[2 * i]}",
                f"{HOST}:{ports[2 * i + 1]}",
            )
            self.controllers.append(controller)
            self.by_label[controller.label] = controller
        for controller in self.controllers:
            state = await self.state.serve(controller.label)
            text = self.settings_text(controller, state, cloud_server.address)
            (self.folder / f"{controller.label}.toml").write_text(text, encoding="utf-8")
        for controller in self.controllers:
            await controller.start(self)

    def mesh_of(self, controller, other):
        """The address at which `controller` reaches `other`; a case may put a proxy in between."""
        return other.mesh

    def settings_text(self, controller, state, cloud):
        s = self.settings
        lines = [
            f'label = "{controller.label}"',
            f'site = "{controller.site}"',
            f'api_addr = "{controller.api}"',
            f'mesh_addr = "{controller.mesh}"',
        ]
        for other in self.controllers:
            if other is not controller:
                lines += [
                    "[[members]]",
                    f'label = "{other.label}"',
                    f'site = "{other.site}"',
                    f'endpoint = "{self.mesh_of(controller, other)}"',
                ]
        lines += ["[endpoints]", f'cloud = "{cloud}"', f'state = "{state}"']
        lines += ["[cluster]", f'count = {s["count"]}', f'zones = {json.dumps(s["zones"])}']
        lines += ["skew_ms = 1000.0"]
        for team in s["teams"]:
            lines += ["[[cluster.teams]]"]
            lines += [f"{key} = {json.dumps(value)}" for key, value in team.items()]
        for objective in s["objectives"]:
            lines += ["[[cluster.objectives]]"]
            lines += [f"{key} = {json.dumps(value)}" for key, value in objective.items()]
        lines += ["[cluster.workers]"]
        for key in ("report_s", "lease_s", "gang_wait_s", "gang_peer_s", "cancel_s"):
            lines += [f"{key} = {float(s[key])}"]
        state_limits = s["state"]
        lines += ["[cluster.state]", f'rps = {float(state_limits["rps"])}']
        lines += [f'write_rps = {float(state_limits["write_rps"])}']
        lines += [f'value_kb = {float(state_limits["value_kb"])}']
        lines += [f'txn_ops = {state_limits["txn_ops"]}']
        lines += ["[cluster.cloud]", f'rps = {float(s["cloud_rps"])}']
        lines += [f'list_lag_s = {float(s["list_lag_s"])}']
        lines += ["[cluster.resources]", f'cores = {s["cores"]}', f'mem_mb = {float(s["mem_mb"])}']
        lines += [f'sockets = {s["sockets"]}']
        return "\n".join(lines) + "\n"

    def leader(self):
        entry = self.state.keys.get("c/leader")
        return None if entry is None else self.by_label[entry[0]["label"]]

    async def until(self, condition, timeout, what):
        """Waits for a condition of the set-up; the case can't run without it."""
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"no {what} after {timeout} s")
            await asyncio.sleep(0.05)

    async def healthy(self, timeout=15):
        end = time.monotonic() + timeout
        for controller in self.controllers:
            while True:
                answer = await call_once(controller.api, "GET", "/healthz", None, 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRun(f"{controller.label} did not become healthy")
                await asyncio.sleep(0.1)

    # -- users

    def upload(self, job, run_s=None):
        """Users upload a job's description for the workers before they submit it."""
        self.jobs[job["id"]] = job
        if run_s is not None:
            self.run_times[job["id"]] = run_s

    async def ask(self, controller, method, target, body=None, timeout=5.0):
        answer = await call_once(controller.api, method, target, body, timeout)
        shown = f"{len(body)} bytes" if isinstance(body, bytes) else ""
        self.record("user", controller.label, method, target, shown, "->", answer)
        return answer

    async def submit(self, job, body=None, controllers=None, timeout=60):
        """Submits like a user: repeats for up to 60 s. Returns the last answer."""
        body = json.dumps(job).encode() if body is None else body
        nodes = controllers or self.controllers
        end = time.monotonic() + timeout
        i = 0
        while True:
            answer = await self.ask(nodes[i % len(nodes)], "POST", "/v2/runs", body)
            i += 1
            if answer is not None and answer[0] in (200, 201, 400, 422):
                return answer
            if time.monotonic() > end:
                return answer
            await asyncio.sleep(1.0)

    async def tear_down(self):
        for controller in self.controllers:
            if controller.process is not None and controller.process.returncode is not None:
                self.record("controller ended", controller.label, controller.process.returncode)
            controller.signal(signal.SIGCONT)
            await controller.kill()
        for task in self.background:
            task.cancel()
        for controller in self.controllers:
            path = self.folder / f"{controller.label}.log"
            if path.exists() and os.environ.get("KEEP_LOGS"):
                shutil.copy(path, pathlib.Path(os.environ["KEEP_LOGS"]))
        shutil.rmtree(self.folder, ignore_errors=True)


def job(number, **changes):
    spec = {
        "id": f"j-{number:06d}",
        "flock": "reminder-batch",
        "nest": "donor-care",
        "gait": "batch",
        "rank": "standard",
        "pecks": 1,
        "cpus": 1.0,
        "gpus": 0.0,
        "ram_gb": 2.0,
        "plumage": "img-1",
        "image_gb": 0.5,
        "perches": None,
        "roost": None,
        "together": False,
        "apart": False,
        "borrowed_branches": False,
        "flight_s": 30.0,
        "cache_every_s": 0.0,
        "stash_s": 0.0,
        "dusk_s": None,
    }
    spec.update(changes)
    return spec


def small_deployment(**changes):
    """Settings like those of kit/sites/mechelen-donor-booking.toml."""
    team = {"cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}
    settings = {
        "count": 3,
        "zones": ["gent-dock", "hasselt-east", "liege-hill", "mechelen-hall"],
        "teams": [
            {"name": "donor-care", "cpus": 40.0, "cpus_max": 128.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "mobile-units", **team},
            {"name": "lab-liaison", **team},
        ],
        "objectives": [
            {"kind": "wait", "class": "reminder-batch", "within_s": 250.0, "share": 0.88},
            {"kind": "finished", "class": "reminder-batch", "within_s": 400.0, "share": 0.88},
            {"kind": "wait", "class": "booking-desk", "within_s": 1.0, "share": 0.85},
            {"kind": "deadline", "class": "rare-match", "share": 0.9, "times": 1.0},
            {"kind": "wait", "class": "rare-match", "within_s": 15.0, "share": 0.9},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.88},
        ],
        "report_s": 3.0,
        "lease_s": 18.0,
        "gang_wait_s": 40.0,
        "gang_peer_s": 5.0,
        "cancel_s": 48.0,
        "state": {"rps": 150.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud_rps": 4.0,
        "list_lag_s": 5.0,
        "cores": 0.08,
        "mem_mb": 56.0,
        "sockets": 900,
    }
    settings.update(changes)
    return settings


def flavor(name, cpus, ram_gb, startup_s, zones, rate=0.33):
    return {
        "name": name,
        "cpus": float(cpus),
        "gpus": 0.0,
        "ram_gb": float(ram_gb),
        "cache_gb": 40.0,
        "pull_gb_per_s": 0.5,
        "rate": rate,
        "low_price": rate / 3,
        "startup_s": float(startup_s),
        "roosts": list(zones),
    }


def main(case, folder):
    """Runs `case(trouble) -> bool` (True: the rule held) and exits with the script's code."""

    async def limited():
        this = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        return await asyncio.wait_for(case(os.environ.get("TROUBLE", "1") != "0"), 118)

    try:
        held = asyncio.run(limited())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
