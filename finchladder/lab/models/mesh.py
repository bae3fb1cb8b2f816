"""Links between dispatchers: what becomes of a datagram, or of a connection's bytes, from one to another.

Pure: times and draws in, fates out. A link is a pair (sender, receiver); each direction is its own. Troubles
lie on links and add up:

| trouble | a datagram | a connection's bytes |
| --- | --- | --- |
| `peer_cut` | is lost | reset, and new ones refused |
| `peer_stall` | is lost | wait, nothing is closed; go on when it ends |
| `peer_loss` | is lost, with probability `size` | pass |
| `peer_late` | comes up to `size` seconds later, by chance | come `size` seconds later, in order |
| `peer_double` | comes twice, with probability `size` | pass |
| `peer_shuffle` | with probability `size` comes after some that were sent later | pass |

`way` says which links of the struck ones: `between` them and all others (a split), `within` (all among
themselves), `out` or `in` (one direction alone), `all` (whatever begins or ends at one of them).
"""

from collections.abc import Iterable
from random import Random
from typing import Literal, NamedTuple

Kind = Literal["peer_cut", "peer_stall", "peer_loss", "peer_late", "peer_double", "peer_shuffle"]
Way = Literal["between", "within", "out", "in", "all"]
LATENCY_S = 0.0002  # one way, without trouble
SHUFFLE_S = 0.05  # how much later one comes that others overtake
DOUBLE_S = 0.02  # how much later the second of two comes at the most
MOST_COPIES = 4  # of one datagram, however many troubles double it


class Trouble(NamedTuple):
    kind: Kind
    struck: frozenset[str]  # names of dispatchers
    way: Way = "between"
    size: float = 1.0

    def lies_on(self, sender: str, receiver: str) -> bool:
        out, into = sender in self.struck, receiver in self.struck
        match self.way:
            case "between":
                return out != into
            case "within":
                return out and into
            case "out":
                return out and not into
            case "in":
                return into and not out
            case _:
                return out or into


class Mesh:
    """All links. Costs: a datagram O(troubles at work); memory O(troubles)."""

    def __init__(self, names: Iterable[str], rng: Random) -> None:
        self.names, self.rng = frozenset(names), rng
        self.troubles: list[Trouble] = []
        self.sent = self.lost = self.doubled = 0

    def begin(self, trouble: Trouble) -> None:
        """ValueError: it names nobody, or one who is not there."""
        if not trouble.struck or trouble.struck - self.names:
            strangers = ", ".join(sorted(trouble.struck - self.names))
            raise ValueError(f"{trouble.kind}: strikes {strangers or 'nobody'}")
        self.troubles.append(trouble)

    def end(self, trouble: Trouble) -> None:
        """One of those that began alike; ValueError: there is none."""
        self.troubles.remove(trouble)

    def on(self, sender: str, receiver: str) -> list[Trouble]:
        return [t for t in self.troubles if t.lies_on(sender, receiver)]

    def datagram(self, sender: str, receiver: str) -> list[float]:
        """After how many seconds each copy comes; none: it is lost. It draws where a trouble asks for it."""
        self.sent += 1
        copies = [LATENCY_S]
        for t in self.on(sender, receiver):
            match t.kind:
                case "peer_cut" | "peer_stall":
                    copies = []
                case "peer_loss":
                    copies = [c for c in copies if self.rng.random() >= t.size]
                case "peer_late":
                    copies = [c + self.rng.uniform(0, t.size) for c in copies]
                case "peer_shuffle":
                    copies = [c + SHUFFLE_S * (self.rng.random() < t.size) for c in copies]
                case "peer_double":
                    again = [c + self.rng.uniform(0, DOUBLE_S) for c in copies if self.rng.random() < t.size]
                    self.doubled += len(again)
                    copies = [*copies, *again][:MOST_COPIES]
        self.lost += not copies
        return copies

    def stream(self, sender: str, receiver: str) -> float | None:
        """Latency in seconds of a connection's bytes on that way; None: they wait."""
        found = self.on(sender, receiver)
        if any(t.kind == "peer_stall" for t in found):
            return None
        return LATENCY_S + sum(t.size for t in found if t.kind == "peer_late")

    def cut(self, one: str, other: str) -> bool:
        """Whether no connection stands between the two: a way that is cut resets both."""
        return any(t.kind == "peer_cut" for t in [*self.on(one, other), *self.on(other, one)])
