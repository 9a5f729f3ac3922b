"""The platform stops an entry VM with SIGTERM while a client is in the middle
of a transaction of twelve statements. The process accepts each of them, and
cuts the connection while the last one runs at the backend."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from deployment import *  # noqa: E402

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
SERVICE, DATABASE = "ledger", "orders"
GRACE_S = 6
STATEMENT_MS = 47  # This and the budget are those of `consulta-ruta` on the sheet.
ROUTE_TIMEOUT_MS, BUDGET_S = 1000, 10
CLIENTS = 6
# The pause after each statement: a caller that works on something twice, and then
# sends the rest. The whole takes 5.5 s.
PAUSES_S = [0.05, 2.45, 2.45] + [0.01] * 9


async def case(record, machines, folder, trouble):
    store = Store(record)
    address = await store.listen(0.0002)
    group = Group(store, record, SERVICE, REGIONS, 1000)
    group.work_ms = lambda text: STATEMENT_MS
    store.put("op", "config", configuration(
        SERVICE, DATABASE, "read_your_writes", ROUTE_TIMEOUT_MS, 800, 2500))
    await group.add("i-1", "north-a", "primary")
    await group.add("i-2", "north-b", "replica")
    await group.add("i-3", "south-a", "replica")
    hosts = loopback_hosts(2)
    for name, host in zip(("n1", "n2"), hosts):
        m = Machine(name, "north-a", REGIONS, address, address, host)
        await m.start(folder)
        machines.append(m)
    await await_ready(machines)
    stopped = machines[0]
    violations = []
    term = []
    loop = asyncio.get_running_loop()

    async def transaction(number):
        """BEGIN, ten writes and COMMIT, with pauses. It begins before SIGTERM."""
        client = Client(record, f"client-{number}", stopped, DATABASE)
        if not await client.open():
            raise CannotRun("no session")
        begun = loop.time()
        for step in range(12):
            text = ("BEGIN" if step == 0 else "COMMIT" if step == 11
                    else f"WRITE item{number} data{step}")
            sent = loop.time()
            query, lines = await client.query(text)
            if lines is None:
                judge(query, text, begun, sent, loop.time())
                return
            if lines[0].startswith("ERROR"):
                return
            await asyncio.sleep(PAUSES_S[step] * random.uniform(0.98, 1.02))
        client.close()

    def judge(query, text, begun, sent, ended):
        """The rule LOST, for a statement whose connection ended."""
        if not term or query not in group.ran:
            return  # Not passed on to a backend.
        if (ended - sent) * 1000 >= ROUTE_TIMEOUT_MS or ended - begun >= BUDGET_S:
            return
        sent_after, ended_after = sent - term[0], ended - term[0]
        if sent_after <= 3 and ended_after >= GRACE_S * 5 / 6:
            return  # The backend was still at work in the last sixth.
        committed = any(c.query == query for c in group.commits)
        violations.append(
            f"LOST: {query} {text}, sent {sent_after * 1000:.0f} ms after SIGTERM, was "
            f"run by the backend{' and committed' if committed else ''}; the connection "
            f"ended {ended_after * 1000:.0f} ms after SIGTERM without an answer")

    group.ran = set()
    add = record.add

    def note(text):
        words = text.split(" ")
        if len(words) > 2 and words[1] == "runs":
            group.ran.add(words[2])
        add(text)
    record.add = note

    tasks = []
    for number in range(CLIENTS):
        tasks.append(asyncio.ensure_future(transaction(number)))
        await asyncio.sleep(0.04)
    if trouble:
        term.append(loop.time())
        record.add("n1 gets SIGTERM")
        stopped.signal(signal.SIGTERM)
        loop.call_later(GRACE_S, lambda: stopped.signal(signal.SIGKILL))
    done, pending = await asyncio.wait(tasks, timeout=30)
    for task in done:
        task.result()
    if pending:
        raise CannotRun("a transaction does not end")
    return violations


run_case(HERE, case)
