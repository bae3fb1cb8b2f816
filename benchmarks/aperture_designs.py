"""Subsets of the fleet by four designs: how even they are, how much moves, how many homes a key has.

python -m benchmarks.aperture_designs
"""

from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from statistics import mean
from time import perf_counter

from finchladder.core.membership.aperture import (
    Aperture,
    ApertureSettings,
    ring_position,
    ring_window,
    subset_width,
)

SETTINGS = ApertureSettings(server_connections=240, connections_each=24)
KEYS = 200


def score(a: str, b: str) -> int:
    return int.from_bytes(blake2b(f"{a}/{b}".encode(), digest_size=8).digest(), "big")


def ring_slices(names: list[str], dispatchers: int, wide: int) -> list[set[str]]:
    ring = sorted(map(ring_position, names))
    return [set(ring_window(ring, i, dispatchers, wide)) for i in range(dispatchers)]


def consistent_ring(names: list[str], dispatchers: int, wide: int) -> list[set[str]]:
    """Starts at fixed points of the hashes' circle instead of ranks."""
    ring = sorted(map(ring_position, names))
    starts = [sum(p < i * 2**64 // dispatchers for p, _ in ring) for i in range(dispatchers)]
    return [{ring[(s + k) % len(ring)][1] for k in range(wide)} for s in starts]


def rounds(names: list[str], dispatchers: int, wide: int) -> list[set[str]]:
    """Deterministic subsetting of the SRE book: a shuffle for each round of dispatchers, cut into subsets."""
    count, found = len(names) // wide, []
    for i in range(dispatchers):
        shuffled = sorted(names)
        Random(i // count).shuffle(shuffled)
        found.append(set(shuffled[i % count * wide :][:wide]))
    return found


def rendezvous(names: list[str], dispatchers: int, wide: int) -> list[set[str]]:
    """The real servers of highest score for each dispatcher (HRW)."""
    return [set(sorted(names, key=lambda n: score(str(i), n))[-wide:]) for i in range(dispatchers)]


DESIGNS: dict[str, Callable[[list[str], int, int], list[set[str]]]] = {
    "ring slices by rank": ring_slices,
    "ring, fixed points": consistent_ring,
    "rounds (SRE book)": rounds,
    "rendezvous": rendezvous,
}


def homes(subsets: list[set[str]]) -> float:
    """Real servers that a key's first hash names over all dispatchers: the highest score of each subset."""
    keys = [f"key-{k}" for k in range(KEYS)]
    scores = {n: [score(k, n) for k in keys] for n in set[str]().union(*subsets)}
    return mean(len({max(s, key=lambda n: scores[n][k]) for s in subsets}) for k in range(KEYS))


def moved(before: list[set[str]], after: list[set[str]]) -> str:
    parts = [len(b - a) / len(b) for b, a in zip(before, after, strict=False)]
    return f"{mean(parts):.3f} / {max(parts):.3f}"


def main() -> None:
    print("| fleet | design | most / mean appearances | server joins: moved, mean / most | ", end="")
    print("dispatcher joins: moved, mean / most | homes of a key |\n| --- | --- | --- | --- | --- | --- |")
    for n, dispatchers in ((100, 40), (1000, 50), (2000, 200)):
        names = [f"s-{i}" for i in range(n)]
        wide = subset_width(n, dispatchers, SETTINGS)
        for name, design in DESIGNS.items():
            before = design(names, dispatchers, wide)
            count = Counter(w for s in before for w in s)
            even = max(count.values()) / (sum(count.values()) / n)
            server = moved(before, design([*names, "s-new"], dispatchers, wide))
            dispatcher = moved(
                before, design(names, dispatchers + 1, subset_width(n, dispatchers + 1, SETTINGS))
            )
            size = f"{n} servers, {dispatchers} dispatchers, {wide} each"
            print(f"| {size} | {name} | {even:.2f} | {server} | {dispatcher} | {homes(before):.1f} |")
    for n in (100, 1000, 10_000):
        aperture = Aperture(3, 200, SETTINGS)
        begun = perf_counter()
        aperture.replace([(f"s-{i}", ("a", "m")) for i in range(n)])
        whole = perf_counter() - begun
        begun = perf_counter()
        for i in range(100):
            aperture.apply_changes([(f"new-{i}", ("a", "m"))])
        entry = (perf_counter() - begun) / 100
        print(f"{n} servers, 200 dispatchers: a list {whole * 1e3:.1f} ms, an entry {entry * 1e6:.0f} us")


if __name__ == "__main__":
    main()
