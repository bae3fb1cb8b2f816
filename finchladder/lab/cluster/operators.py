"""Operators of the control world: they send changes, also again after lost answers, and read."""

import asyncio
import json
from typing import TYPE_CHECKING

from attrs import define

from finchladder.cluster.types.messages import Submitted
from finchladder.lab.cluster.engine import services
from finchladder.lab.cluster.oracle import CONFLICT, INVALID, TAKEN, Change

if TYPE_CHECKING:
    from finchladder.lab.cluster.world import World

ANSWER_S = 0.9
SILENCE_S = 1.0  # after which an operator asks another machine
PAUSE_S = (0.1, 0.6)
NO_ANSWER = Submitted(503, 0, "no answer came")
LOST_ANSWERS = 0.1  # share


def number_in(document: bytes) -> int:
    """The number of the change that made a configuration; 0 for none."""
    return int(json.loads(document)["number"]) if document else 0


@define
class Operator:
    """One of several that do not know of each other."""

    world: "World"

    async def work(self) -> None:
        """Sends changes for ever, repeats them, and reads; on the version that it believes in."""
        world, base = self.world, 0
        while True:
            change = self._new_change(base)
            base = await self._until_clear(change, base)
            if world.random.random() < 0.3:
                await self._submit(change)
            if world.random.random() < 0.5:
                base = await self._read(base)
            await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self.world.random.uniform(*PAUSE_S))

    def _new_change(self, base: int) -> Change:
        world = self.world
        world.numbers += 1
        version = base + world.random.randint(1, 4)
        fields = {
            "version": version,
            "routes": [],
            "services": services() if world.places else [],
            "number": world.numbers,
        }
        if world.quota_play is not None:
            fields["tenants"] = world.quota_play.tenants_of_change(world.numbers)
        change = Change(world.numbers, base, version, json.dumps(fields).encode())
        world.oracle.changes[change.number] = change
        return change

    async def _until_clear(self, change: Change, base: int) -> int:
        """Sends one change until the answer is clear or its sender gives up; the version then believed in."""
        for _ in range(self.world.random.randint(2, 12)):
            answer = await self._submit(change)
            if answer.status == TAKEN:
                self.world.taken += 1
                return change.version
            if answer.status in (INVALID, CONFLICT):
                return answer.version or base
            await self._pause()
        return await self._read(base)

    async def _submit(self, change: Change) -> Submitted:
        """The answer of any machine; an unclear one where none comes."""
        world, loop = self.world, asyncio.get_running_loop()
        machine = world.any_machine()
        if machine is None or machine.plane is None:
            await asyncio.sleep(0.1)
            return NO_ANSWER
        world.sent_at = began = loop.time()
        world.oracle.sent(change, began)
        work = machine.plane.changes.submit(change.base, False, change.body, ANSWER_S)
        outcome = await world.call(machine, work, SILENCE_S)
        if outcome is None or world.random.random() < LOST_ANSWERS:
            return NO_ANSWER
        world.note(f"change {change.number} on {change.base}: {outcome.status} by {machine.name}")
        world.oracle.attempted(change, began, loop.time(), outcome.status, outcome.version)
        world.judge(lambda: world.oracle.answered(change, outcome.status, loop.time(), outcome.version))
        return outcome

    async def _read(self, base: int) -> int:
        """The version that any machine tells; `base` if it tells none."""
        world, loop = self.world, asyncio.get_running_loop()
        machine = world.any_machine()
        if machine is None or machine.plane is None:
            return base
        began = loop.time()
        state = await world.call(machine, machine.plane.chain.read(), SILENCE_S)
        if state is None:
            return base
        world.judge(lambda: world.oracle.read(began, loop.time(), state.version, number_in(state.document)))
        return state.version
