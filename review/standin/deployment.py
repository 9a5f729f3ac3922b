"""Stand-ins for the scripts of the review: a platform, groups of database
servers and clients, in one process, and the entry VMs as child processes.

The stand-ins speak the users' PROTOCOL.md. Everything listens on loopback
addresses and on ports that the system chooses.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class Record:
    """Writes one line for each event to record.txt, with the time in ms."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return (time.monotonic() - self.start) * 1000

    def add(self, text):
        self.file.write(f"{self.now():10.1f} ms  {text}\n")

    def close(self):
        self.file.close()


class CannotRun(Exception):
    """The case could not be brought about; the script exits with 2."""


class Store:
    """The platform's metadata store and its promotion call."""

    def __init__(self, record):
        self.record = record
        self.version = 0
        self.rows = {}  # (table, key) -> row
        self.changed = asyncio.Condition()
        self.servers = []
        self.on_claim = None  # async (key, value) before an answer is sent
        self.on_promotion = None  # (service, id, holder, fence) -> status
        self.promotions = []

    async def listen(self, delay=0.0):
        """Opens one more address of the store and returns it. Calls and answers
        take the delay, in seconds, one way."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, delay), "127.0.0.1", 0)
        self.servers.append(server)
        return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def put(self, table, key, text):
        self.version += 1
        self.rows[(table, key)] = {
            "table": table, "part": "", "key": key, "row-version": self.version,
            "value": base64.b64encode(text.encode()).decode()}
        asyncio.ensure_future(self._notify())
        return self.version

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    def _page(self, rows):
        return {"rows": rows, "row-version": self.version, "has-more": False,
                "now-ms": int(time.monotonic() * 1000)}

    async def _serve(self, reader, writer, delay):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await asyncio.sleep(delay)
                status, answer = await self._answer(method, target, headers, body)
                await asyncio.sleep(delay)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        from urllib.parse import urlsplit, parse_qs
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(0.004)
        if url.path == "/rows-get":
            table, first = query["table"], query.get("from", "")
            rows = [r for (t, k), r in sorted(self.rows.items())
                    if t == table and k >= first][:int(query.get("limit", 500))]
            return 200, self._page(rows)
        if url.path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            end = time.monotonic() + int(query["wait-ms"]) / 1000
            while True:
                rows = sorted((r for (t, _), r in self.rows.items()
                               if t == table and r["row-version"] > after),
                              key=lambda r: r["row-version"])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self._page(rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if url.path == "/rows-tx":
            call = json.loads(body)
            present = [self.rows.get((e["table"], e["key"])) for e in call["expected"]]
            if any((p["row-version"] if p else 0) != e["row-version"]
                   for p, e in zip(present, call["expected"])):
                return 412, self._page([p for p in present if p])
            for e in call["set-keys"]:
                text = base64.b64decode(e["value"]).decode()
                self.put(e["table"], e["key"], text)
                self.record.add(f"store: row {e['key']} becomes version {self.version}: {text}")
                if self.on_claim:
                    await self.on_claim(e["key"], text)
            return 200, {"row-version": self.version}
        if url.path == "/promotions":
            call = json.loads(body)
            holder, fence = headers["duty-holder"], int(headers["fence-token"])
            self.record.add(f"platform: promotion of {call['id']} ordered by {holder}, fence {fence}")
            self.promotions.append((call["service"], call["id"], holder, fence))
            return self.on_promotion(call["service"], call["id"], holder, fence), {}
        return 404, {}


class Entry:
    """One commit in a server's log."""

    def __init__(self, term, number, query, primary):
        self.term, self.number, self.query, self.primary = term, number, query, primary


class Server:
    """One database server of a group."""

    def __init__(self, group, name, zone, role):
        self.group, self.name, self.zone, self.role = group, name, zone, role
        self.term = 1
        self.held = 0  # term of a PAUSE; 0: none
        self.least_term = 0  # a paused replica takes part in a promotion
        self.deaf = False  # receives nothing
        self.log = []
        self.applied = 0  # number of entries visible to reads
        self.leader = None
        self.slots = asyncio.Semaphore(group.slots)
        self.waiting = 0
        self.connections = 0
        self.draining = False
        self.sequence = 0

    async def listen(self):
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 21)
        self.address = "127.0.0.1:%d" % self.listener.sockets[0].getsockname()[1]

    def register(self):
        self.sequence += 1
        self.group.store.put("servers", self.name, json.dumps({
            "service": self.group.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.group.slots, "cold-ms": 0,
            "state": "draining" if self.draining else "ready",
            "db-role": self.role, "sequence": self.sequence, "born": 1700000000000}))

    # Replication ------------------------------------------------------------

    def commit(self, query):
        """Appends a commit at the primary and sends it to the replicas."""
        entry = Entry(self.term, len(self.log) + 1, query, self.name)
        self.log.append(entry)
        entry.done = asyncio.get_running_loop().create_future()
        entry.at = self.group.record.now()
        self.applied = len(self.log)
        self.group.commits.append(entry)
        self.group.record.add(f"{self.name}: commits {query} as {entry.term}.{entry.number}")
        for other in self.group.servers:
            if other is not self:
                self._send(other)
        return entry

    def _send(self, other):
        """Sends the log as it is now; it arrives after the link's delay."""
        term, log, count = self.term, self.log, len(self.log)
        self.group.after(self.zone, other.zone,
                         lambda: other.receive(self, term, log, count))

    def receive(self, sender, term, log, count):
        """Takes over the first count entries of the log of a term's primary."""
        if self.role != "replica" or self.deaf:
            return
        if term < max(self.term, self.least_term) or self.held and term <= self.held:
            return  # an earlier primary, or paused
        if term > self.term:
            self.term, self.held = term, 0
        self.leader = sender
        length = len(self.log)
        common = min(length, count)
        # Logs that share an entry share all entries before it.
        while common and self.log[common - 1] is not log[common - 1]:
            common -= 1
        if common < length and common < count:
            self.log = self.log[:common]
            self.applied = min(self.applied, common)
        if common < count:
            self.log.extend(log[common:count])
            asyncio.get_running_loop().call_later(
                self.group.apply_lag, self._apply, count)
        self.group.after(self.zone, sender.zone,
                         lambda: sender.confirmed(term, count, self))

    def _apply(self, count):
        self.applied = min(max(self.applied, count), len(self.log))

    def confirmed(self, term, count, replica):
        """A replica holds the first count entries of the log of a term."""
        if self.role != "primary" or term != self.term:
            return
        for entry in reversed(self.log[:count]):
            if entry.done.done() or entry.primary != self.name:
                break
            self.group.record.add(f"{self.name}: {entry.term}.{entry.number} is held by {replica.name}")
            entry.done.set_result(True)

    def lead(self, term):
        """The promotion takes effect."""
        self.role, self.term, self.held, self.leader = "primary", term, 0, None
        self.applied = len(self.log)
        self.register()
        for other in self.group.servers:
            if other is not self:
                self._send(other)
                self.group.after(self.zone, other.zone, lambda o=other: o.hear(self, term))

    def hear(self, leader, term):
        """A primary learns of a later one and gives up a second after that."""
        if self.role == "primary" and term > self.term:
            asyncio.get_running_loop().call_later(1.0, self.step_down, term, leader)

    def step_down(self, term, leader=None):
        if self.role != "primary" or self.term >= term:
            return
        self.group.record.add(f"{self.name}: steps down for term {term}")
        self.role = "replica"
        for entry in self.log:
            if entry.primary == self.name and not entry.done.done():
                entry.done.set_result(False)
        self.register()
        new = self.group.primary()
        if new:
            self.group.after(self.zone, new.zone, lambda: new._send(self))

    # The wire ---------------------------------------------------------------

    def position(self):
        count = len(self.log) if self.role == "primary" else self.applied
        return f"{self.log[count - 1].term}.{count}" if count else f"{self.term}.0"

    def status(self):
        end = f"{self.log[-1].term}.{len(self.log)}" if self.log else f"{self.term}.0"
        return f"{self.role} {self.term} {end} {self.held} 0 0 {self.connections}"

    def control(self, words):
        if words[0] == "PAUSE":
            term = int(words[1])
            if self.role == "replica" and term > self.term and term > self.held:
                self.held = term
        elif words[0] == "RESUME":
            if self.held:
                self.held = 0
                if self.leader:
                    leader = self.leader
                    self.group.after(self.zone, leader.zone,
                                     lambda: leader.role == "primary" and leader._send(self))
        elif words[0] == "STEPDOWN":
            self.step_down(int(words[1]))
        self.group.record.add(f"{self.name}: {' '.join(words)}; now {self.status()}")

    async def work(self, milliseconds):
        async with self.slots:
            await asyncio.sleep(milliseconds / 1000)

    async def _serve(self, reader, writer):
        self.connections += 1
        state, writes, read_only = "I", [], False
        prepared = {}

        def reply(*lines):
            writer.write("".join(l + "\r\n" for l in lines).encode()
                         + f"READY {state} {self.position()}\r\n".encode())
        try:
            line = (await reader.readuntil(b"\r\n")).decode().rstrip()
            words = line.split(" ")
            if words[1] != self.group.service or (len(words) > 3 and words[3] != self.name):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            await self.work(self.group.connect_ms)
            reply()
            while True:
                line = (await reader.readuntil(b"\r\n")).decode()[:-2]
                if not line.startswith("QUERY "):
                    return
                _, query, text = line.split(" ", 2)
                words = text.split(" ")
                floor = None
                if words[0] == "WAITFOR":
                    floor, words = words[1], words[2:]
                verb = words[0]
                if verb in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
                    if verb != "STATUS":
                        self.control(words)
                    reply("ROW " + self.status(), "COMPLETE -")
                    continue
                if verb in ("SET", "PREPARE", "DEALLOC", "RESET"):
                    reply("COMPLETE -")
                    continue
                if verb == "ROLLBACK":
                    state, writes = "I", []
                    reply("COMPLETE -")
                    continue
                if floor:
                    want = tuple(int(n) for n in floor.split("."))
                    have = tuple(int(n) for n in self.position().split("."))
                    if have < want:
                        reply(f"ERROR LAGGING {self.name}")
                        continue
                if verb == "BEGIN":
                    read_only = words[1:] == ["READ"]
                    if self.role != "primary" and not read_only:
                        reply(f"ERROR READONLY {self.name}")
                        continue
                    state = "T"
                    reply("COMPLETE -")
                    continue
                if verb in ("WRITE", "COMMIT") and self.role != "primary" and not (
                        verb == "COMMIT" and not writes):
                    if state == "T":
                        state = "E"
                    reply(f"ERROR READONLY {self.name}")
                    continue
                self.group.record.add(f"{self.name}: runs {query} {text}")
                await self.work(self.group.work_ms(text))
                if verb == "WRITE" and state == "T":
                    writes.append(query)
                    reply(f"COMPLETE d.{self.name}.{query}")
                    continue
                if verb == "READ":
                    self.group.reads[query] = (self, self.log, self.applied)
                    reply(f"ROW {words[1]}", f"COMPLETE d.{self.name}.{query}")
                    continue
                pending = writes if verb == "COMMIT" else [query]
                state, writes = "I", []
                if pending:
                    if self.role != "primary":
                        reply(f"ERROR READONLY {self.name}")
                        continue
                    if not await self.commit(query).done:
                        return  # The outcome is not known: close the connection.
                reply(f"COMPLETE d.{self.name}.{query}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class Group:
    """The servers of one service."""

    def __init__(self, store, record, service, regions, promote_ms):
        self.store, self.record, self.service = store, record, service
        self.regions, self.promote_ms = regions, promote_ms
        self.slots, self.connect_ms, self.apply_lag = 5, 12, 0.06
        self.work_ms = lambda text: 9.3
        self.servers, self.commits = [], []
        self.reads = {}  # query -> server, its log, entries visible to the read
        self.effects = []
        store.on_promotion = self.promote

    async def add(self, name, zone, role):
        server = Server(self, name, zone, role)
        await server.listen()
        primary = self.primary()
        if role == "replica" and primary:
            server.log, server.leader = list(primary.log), primary
            server.term, server.applied = primary.term, len(primary.log)
        self.servers.append(server)
        server.register()
        if server.leader:
            self.record.add(f"{name}: joins as a replica with {len(server.log)} entries")
            server.leader._send(server)
        return server

    def set_deaf(self, servers, deaf):
        for s in servers:
            self.record.add(f"{s.name}: {'receives nothing' if deaf else 'receives again'}")
            s.deaf = deaf
            if not deaf and self.primary():
                self.primary()._send(s)

    def find(self, name):
        return next(s for s in self.servers if s.name == name)

    def primary(self):
        leaders = [s for s in self.servers if s.role == "primary"]
        return max(leaders, key=lambda s: s.term) if leaders else None

    def delay(self, a, b):
        """One way, as on the sheet of the users' sites."""
        if a == b:
            return 0.0002
        return 0.0014 if self.regions[a] == self.regions[b] else 0.008

    def after(self, a, b, call):
        asyncio.get_running_loop().call_later(self.delay(a, b), call)

    def promote(self, service, name, holder, fence):
        target = self.find(name)
        if target is not self.primary():
            asyncio.get_running_loop().call_later(
                self.promote_ms / 1000, self._effect, target)
        return 200

    def _effect(self, target):
        """A PAUSE lasts until a promotion. The replicas that it stopped take
        records of the new primary only; the others learn of it from its
        records."""
        term = max(s.term for s in self.servers) + 1
        for s in self.servers:
            if s.held:
                s.held, s.least_term = 0, term
        self.record.add(f"{target.name}: leads term {term} with "
                        f"{len(target.log)} entries")
        self.effects.append((self.record.now(), target, set(target.log), term))
        target.lead(term)


class Machine:
    """One entry VM, started with the command of the deploy file."""

    def __init__(self, name, zone, regions, store_address, cloud_address, host):
        self.name, self.zone, self.host = name, zone, host
        deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        run = deploy["roles"]["entry"]["run"]
        ports = [free_port(host) for _ in range(3)]
        self.front = (host, ports[0])
        self.readiness = (host, ports[1])
        zones = ",".join(f"{z}={r}" for z, r in regions.items())
        start, rest = run.split("{{#zones}}")
        run = start + zones + rest.split("{{/zones}}")[1]
        for key, value in {
                "node": name, "zone": zone, "listen.front": f"{host}:{ports[0]}",
                "listen.readiness": f"{host}:{ports[1]}", "ip": host,
                "platform.address": store_address, "cloud.address": cloud_address,
                "internal-ports.0": str(ports[2]), "limits.cpu-share": "0.25",
                "bounds.config-apply-ms": "3000", "bounds.grace-s": "6"}.items():
            run = run.replace("{{" + key + "}}", value)
        self.command = run.split(" ")

    async def start(self, folder):
        program = os.path.join(ROOT, self.command[0])
        self.log = open(os.path.join(folder, self.name + ".log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            program, *self.command[1:], cwd=ROOT, stdout=self.log,
            stderr=self.log, stdin=asyncio.subprocess.DEVNULL)

    async def ready(self):
        """Answers the platform's GET /ready."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.readiness), 1)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)


class Client:
    """One requester's session."""

    def __init__(self, record, name, machine, database):
        self.record, self.name, self.machine, self.database = record, name, machine, database

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.machine.front)
        self.writer.write(f"CONNECT {self.database} {self.name}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readline(), 5)
        return line.startswith(b"READY")

    async def query(self, text, timeout=10):
        """Returns the id and the answer's lines; None instead of lines if the
        connection ended first."""
        query = "%016x" % random.getrandbits(64)
        self.record.add(f"{self.name}: sends {query} {text} to {self.machine.name}")
        lines = []
        try:
            self.writer.write(f"QUERY {query} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.reader.readline(), timeout)
                if not line.endswith(b"\r\n"):
                    raise ConnectionError
                lines.append(line.decode().rstrip())
                if line.startswith(b"READY"):
                    break
        except (ConnectionError, asyncio.TimeoutError):
            self.record.add(f"{self.name}: {query} ends without a complete answer")
            return query, None
        self.record.add(f"{self.name}: {query} is answered with {' | '.join(lines)}")
        return query, lines

    def close(self):
        self.writer.close()


class Load:
    """Clients that send single statements, each a pause after the last. A
    client whose session ends opens another one on the next machine that is
    ready, as the platform would choose it."""

    def __init__(self, record, machines, database):
        self.record, self.machines, self.database = record, machines, database
        self.avoided = set()  # names of machines that get no sessions
        self.sent = {}  # query -> time of sending in ms
        self.acknowledged = {}  # write -> (time of the answer in ms, machine)
        self.answered = {}  # read -> machine
        self.stopping = False
        self.tasks = []

    def add(self, number, text, pause, stay=False):
        """stay: the client uses only the machine that its number chooses."""
        self.tasks.append(asyncio.ensure_future(self._run(number, text, pause, stay)))

    async def _run(self, number, text, pause, stay):
        client, turn = None, number
        while not self.stopping:
            if not client:
                machine = self.machines[turn % len(self.machines)]
                turn += 0 if stay else 1
                if machine.name in self.avoided or not await machine.ready():
                    await asyncio.sleep(0.02)
                    continue
                client = Client(self.record, f"client-{number}", machine, self.database)
                try:
                    opened = await client.open()
                except OSError:
                    opened = False
                if not opened:
                    client = None
                    continue
            if client.machine.name in self.avoided:
                client.close()
                client = None
                continue
            begun = self.record.now()
            query, lines = await client.query(text, 3)
            self.sent[query] = begun
            if lines is None:
                client.close()
                client = None
            elif lines[0].startswith("COMPLETE") and text.startswith("WRITE"):
                self.acknowledged[query] = (self.record.now(), client.machine.name)
            elif lines[0].startswith("ROW"):
                self.answered[query] = client.machine.name
            await asyncio.sleep(pause)

    async def stop(self):
        self.stopping = True
        await asyncio.wait(self.tasks, timeout=5)


def lost_commits(group, load, effects):
    """The rules LOST (sync-replicas) and ONE, for promotions that took effect:
    effects holds (time in ms, target, set of the entries in its log)."""
    found = []
    for at, target, log, term in effects:
        for e in group.commits:
            if e.query not in load.acknowledged or e.term >= term:
                continue
            what = (f"{e.query}, committed as {e.term}.{e.number} at {e.primary} at "
                    f"{e.at:.1f} ms, acknowledged at {load.acknowledged[e.query][0]:.1f} ms "
                    f"through {load.acknowledged[e.query][1]}")
            if e.at < at and e not in log:
                found.append(f"LOST: {what}, is not in the log of {target.name}, "
                             f"promoted at {at:.1f} ms")
            elif e.at >= at:
                found.append(f"ONE: {what}, after the promotion of {target.name} "
                             f"at {at:.1f} ms")
    return found


def stale_reads(group, load):
    """The rule STALE on a primary route."""
    found = []
    for query, machine in load.answered.items():
        server, log, visible = group.reads[query]
        seen = set(log[:visible])
        for e in group.commits:
            if e.query not in load.acknowledged or e in seen:
                continue
            if load.acknowledged[e.query][0] < load.sent[query]:
                found.append(
                    f"STALE: read {query}, sent at {load.sent[query]:.1f} ms through {machine}, "
                    f"ran at {server.name}, whose log lacked {e.query} ({e.term}.{e.number} at "
                    f"{e.primary}), acknowledged at {load.acknowledged[e.query][0]:.1f} ms")
                break
    return found


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def loopback_hosts(count):
    """Distinct loopback addresses, so that the deploy file's fixed port is
    free on each."""
    base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}."
    return [base + str(10 + i) for i in range(count)]


def configuration(service, database, kind, timeout_ms, goal_ms, staleness_ms=None):
    route = {"name": "r-1", "host": database, "prefix": "/", "route-type": kind,
             "timeout-ms": timeout_ms, "latency-goal-ms": goal_ms, "priority": 1,
             "service": service, "max-attempts": 2}
    if staleness_ms:
        route["max-staleness-ms"] = staleness_ms
    return json.dumps({
        "version": 7, "routes": [route],
        "services": [{"name": service, "health-path": "/health", "max-conns": 50,
                      "protocol": "h1", "tls": False, "sync-replicas": 1}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
                   "tx-idle-ms": 3000}})


def run_case(folder, case):
    """Runs the coroutine case(record, machines, folder, trouble) and exits: 1 if
    it returns a list of violations, 0 if the list is empty, 2 if it cannot run.
    The case appends the machines that it starts to the list."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    machines = []
    temporary = tempfile.mkdtemp(prefix="amaranthspur-review-")

    async def whole():
        try:
            return await asyncio.wait_for(case(record, machines, temporary, trouble), 110)
        finally:
            for m in machines:
                if m.process.returncode is None:
                    m.process.send_signal(signal.SIGCONT)
                    m.process.kill()
                    await m.process.wait()
    status = 2
    try:
        violations = asyncio.run(whole())
        for v in violations[:20]:
            record.add("RULE BROKEN " + v)
            print(v)
        print(f"{len(violations)} violations; trouble {'on' if trouble else 'off'}")
        record.add(f"{len(violations)} violations")
        status = 1 if violations else 0
    except CannotRun as reason:
        print(f"cannot run: {reason}")
        record.add(f"cannot run: {reason}")
    except asyncio.TimeoutError:
        print("cannot run: out of time")
    record.close()
    if os.environ.get("KEEP"):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(status)


async def await_ready(machines, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if all([await m.ready() for m in machines]):
            return
        await asyncio.sleep(0.2)
    raise CannotRun("an entry VM does not become ready")
