"""What must hold, from what operators and readers saw and who acted as placer; it knows no implementation."""

from math import inf

from attrs import define, field

from finchladder.lab.cluster.history import Answer, Attempt, History, Observation

TAKEN, INVALID, CONFLICT = 200, 400, 412


class Violation(AssertionError):
    """A rule was broken."""


@define
class Change:
    """One order of an operator. `number` is in its body."""

    number: int
    base: int
    version: int
    body: bytes
    taken_at: float | None = None
    refused: bool = False
    was_outdated: bool = False  # refused because another version was in place


@define
class Read:
    """One read that was answered."""

    began: float
    ended: float
    version: int
    number: int


@define
class Oracle:
    """Collects what was seen, and raises Violation at once."""

    changes: dict[int, Change] = field(factory=dict)
    taken_on: dict[int, int] = field(factory=dict)  # base: number of the change that was taken on it
    reads: list[Read] = field(factory=list)
    shown: dict[int, int] = field(factory=dict)  # version: number of its change
    first_shown_at: dict[int, float] = field(factory=dict)  # by version
    lives: dict[str, int] = field(factory=dict)  # newest version shown in one life of a process
    holder: str = ""
    token: int = 0
    held_at: float = -1e9  # when the role's holder last acted, as far as that counts
    attempts: list[Attempt] = field(factory=list)

    def sent(self, change: Change, now: float) -> None:
        """A change was sent: from now on it may be taken, whether or not an answer is heard."""
        unclear = Attempt(change.number, change.base, change.version, now, now, Answer.UNCLEAR)
        self.attempts.append(unclear)

    def attempted(self, change: Change, began: float, ended: float, status: int, told: int | None) -> None:
        """A change that was sent was answered. `told`: the version that the answer names."""
        if status not in (TAKEN, INVALID, CONFLICT):
            return
        answer = Answer.TAKEN if status == TAKEN else Answer.REFUSED
        named = told if status == CONFLICT else None
        answered = Attempt(change.number, change.base, change.version, began, ended, answer, named)
        self.attempts.append(answered)

    def check_history(self) -> None:
        """All that operators and readers saw, together, must be explained by one order of the changes."""
        shown = [
            Observation(version, self.shown[version], -inf, at) for version, at in self.first_shown_at.items()
        ]
        reads = [
            Observation(r.version, r.number if r.version else None, r.began, r.ended) for r in self.reads
        ]
        if not History(self.attempts, [*shown, *reads]).is_linearizable():
            raise Violation("no order of the changes explains all answers and reads")

    def answered(self, change: Change, status: int, now: float, version: int | None = None) -> None:
        """An operator got a clear answer. `version`: the one that it names, if it does."""
        if status == TAKEN:
            if version not in (None, change.version):
                raise Violation(f"change {change.number} of version {change.version} is taken as {version}")
            if change.refused:
                raise Violation(f"change {change.number} was refused and is taken")
            other = self.taken_on.setdefault(change.base, change.number)
            if other != change.number:
                raise Violation(f"changes {other} and {change.number} are both taken on {change.base}")
            change.taken_at = now if change.taken_at is None else change.taken_at
        elif status in (INVALID, CONFLICT):
            if change.taken_at is not None or change.number in self.shown.values():
                raise Violation(f"change {change.number} was taken and is refused on being sent again")
            change.refused = True
            change.was_outdated = change.was_outdated or status == CONFLICT

    def left(self, version: int) -> None:
        """The version that is in place in the end, with nothing on its way."""
        for change in self.changes.values():
            if change.was_outdated and change.base == version:
                raise Violation(f"change {change.number} on {version} was refused, and {version} is in place")

    def show(self, life: str, version: int, number: int, now: float) -> None:
        """A process lets readers have that version."""
        if version < self.lives.get(life, 0):
            raise Violation(f"{life} went back from {self.lives[life]} to {version}")
        self.lives[life] = version
        if not version:
            return
        self.first_shown_at.setdefault(version, now)
        if self.shown.setdefault(version, number) != number:
            raise Violation(f"version {version} is shown with two contents")
        if self._sent(number).refused:
            raise Violation(f"change {number} was refused and is in force")

    def newest_taken_before(self, moment: float) -> int:
        """The newest version that was acknowledged before that moment; 0 if none was."""
        taken = (c for c in self.changes.values() if c.taken_at is not None and c.taken_at < moment)
        return max((change.version for change in taken), default=0)

    def _sent(self, number: int) -> Change:
        if number not in self.changes:
            raise Violation(f"change {number}, which nobody sent, is in force")
        return self.changes[number]

    def read(self, began: float, now: float, version: int, number: int) -> None:
        """An operator read the configuration."""
        for change in self.changes.values():
            if change.taken_at is not None and change.taken_at < began and change.version > version:
                raise Violation(f"version {change.version} was acknowledged, a later read gave {version}")
        for earlier in self.reads:
            if earlier.ended < began and earlier.version > version:
                raise Violation(f"a read gave {version} after one gave {earlier.version}")
        if version and self._sent(number).refused:
            raise Violation(f"change {number} was refused and was read")
        self.reads.append(Read(began, now, version, number))

    def acts(self, holder: str, token: int, now: float, turn_s: float, *, counts: bool = True) -> None:
        """A process believes that it may give orders. `counts`: whether a turn between it and another holder
        is judged; not where workers check fencing tokens and it is not in touch.
        """
        if holder != self.holder:
            if counts and self.holder and now - self.held_at < turn_s:
                raise Violation(f"{holder} acts {now - self.held_at:.3f} s after {self.holder}")
            if token <= self.token:
                raise Violation(f"{holder} has token {token}, {self.holder} had {self.token}")
        elif token < self.token:
            raise Violation(f"{holder} went back from token {self.token} to {token}")
        self.holder, self.token = holder, token
        if counts:
            self.held_at = now
