"""The ready workers of one needed kind: two consistent-hash rings, the same in every process, and samples."""

from bisect import bisect_right
from hashlib import blake2b

from finchladder.core.records import Worker

POINTS = 32  # ring points a worker and hash: evens out the arcs of neighbours
CACHED_KEYS = 4096
SAMPLE = 12  # workers looked at for the least-loaded: cost stays flat as the fleet grows


def key_hashes(key: int) -> tuple[int, int]:
    digest = blake2b(b"%d" % key, digest_size=16).digest()
    return int.from_bytes(digest[:8], "big"), int.from_bytes(digest[8:], "big")


def ring_points(address: str, ring: int) -> tuple[int, ...]:
    blocks = b"".join(blake2b(f"{address}/{ring}/{n}".encode()).digest() for n in range(POINTS // 8))
    return tuple(int.from_bytes(blocks[i : i + 8], "big") for i in range(0, len(blocks), 8))


class Pool:
    """Rings in place of '% |W|': with modulo one join or leave would move nearly all keys to cold caches."""

    def __init__(self, workers: list[Worker]) -> None:
        self.workers = workers
        self.at = 0
        self.cache: dict[int, list[list[Worker]]] = {}
        self.rings = []
        for w in workers:
            w.points = w.points or [ring_points(w.address, ring) for ring in (0, 1)]
        for ring in (0, 1):
            marks = sorted((p, n) for n, w in enumerate(workers) for p in w.points[ring])
            self.rings.append(([p for p, _ in marks], [workers[n] for _, n in marks]))

    def pairs(self, key: int, count: int) -> list[list[Worker]]:
        """The owners of the key on both rings, then the next distinct owner on each, up to so many pairs."""
        found = self.cache.get(key, [])
        if len(found) < count and self.rings[0][0]:
            if len(self.cache) >= CACHED_KEYS:
                self.cache.clear()
            found = self.cache[key] = self._walk(key_hashes(key), count)
        return found[:count]

    def _walk(self, hashes: tuple[int, int], count: int) -> list[list[Worker]]:
        at = [bisect_right(points, h) for (points, _), h in zip(self.rings, hashes, strict=True)]
        pairs: list[list[Worker]] = []
        seen: dict[str, None] = {}
        for step in range(len(self.rings[0][1])):
            found = [owners[(i + step) % len(owners)] for i, (_, owners) in zip(at, self.rings, strict=True)]
            pair = [w for w in dict.fromkeys(found) if w.address not in seen]
            seen.update((w.address, None) for w in pair)
            pairs += [pair] if pair else []
            if len(pairs) == count:
                break
        return pairs

    def sample(self) -> list[Worker]:
        """The next few workers in turn: the least-loaded is looked for among them."""
        n = len(self.workers)
        if n <= SAMPLE:
            return self.workers
        start, self.at = self.at, (self.at + SAMPLE) % n
        return [self.workers[(start + i) % n] for i in range(SAMPLE)]
