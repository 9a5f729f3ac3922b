"""A planned release of the primary while one replica receives nothing. Clients
write and read on a primary route."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from deployment import *  # noqa: E402

REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
ZONES = [("n1", "north-a"), ("n2", "north-a"), ("s1", "south-a"), ("s2", "south-a")]
SERVICE, DATABASE = "ledger", "orders"
DEAF_S = 6.0
PROMOTE_MS = 600  # As on the sheet of baldes-rondas.
WRITERS, READERS, PAUSE_S = 8, 12, 0.04


async def case(record, machines, folder, trouble):
    store = Store(record)
    addresses = {"north-a": await store.listen(0.0002),
                 "south-a": await store.listen(0.008)}
    group = Group(store, record, SERVICE, REGIONS, PROMOTE_MS)
    store.put("op", "config", configuration(SERVICE, DATABASE, "primary", 1000, 400))
    old = await group.add("i-1", "north-a", "primary")
    await group.add("i-2", "north-b", "replica")
    far = await group.add("i-3", "south-a", "replica")
    for (name, zone), host in zip(ZONES, loopback_hosts(len(ZONES))):
        m = Machine(name, zone, REGIONS, addresses[zone], addresses[zone], host)
        await m.start(folder)
        machines.append(m)
    await await_ready(machines)
    # The platform spreads sessions unevenly. Here those that write are on one
    # machine of each zone and those that read on the other.
    relays = [json.loads(json.loads(base64.b64decode(row["value"]))["value"])["vm"]
              for (_, key), row in store.rows.items() if key.startswith("relay/")]
    record.add(f"the relays are {relays}")
    machines.sort(key=lambda m: m.name not in relays)
    load = Load(record, machines, DATABASE)
    for number in range(WRITERS):
        load.add(number % 2, f"WRITE item{number} data", PAUSE_S, stay=True)
    for number in range(READERS):
        load.add(2 + number % 2, f"READ item{number}", PAUSE_S, stay=True)
    await asyncio.sleep(3)
    if trouble:
        group.set_deaf([far], True)
        asyncio.get_running_loop().call_later(DEAF_S, group.set_deaf, [far], False)
    await asyncio.sleep(1)
    # The release: the new backend starts first, then the old one drains.
    await group.add("i-4", "north-a", "replica")
    await asyncio.sleep(1)
    record.add("i-1 reports that it drains")
    old.draining = True
    old.register()
    await asyncio.sleep(5)
    await load.stop()
    if not group.effects:
        raise CannotRun("no promotion has taken effect")
    return stale_reads(group, load)


run_case(HERE, case)
