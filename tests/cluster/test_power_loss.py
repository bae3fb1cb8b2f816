"""Tests that a power failure during a write leaves the state before or after the write.

LMDB writes the pages of a transaction, syncs them and then writes the meta page of the transaction. After a
power failure, each page that was not synced may be written, missing or torn.
"""

import asyncio
from collections.abc import Iterator
from pathlib import Path
from random import Random

import pytest

from finchladder.cluster.replication.agreement import Acceptor
from finchladder.cluster.replication.chain import Replica
from finchladder.cluster.storage.lmdb_store import DiskIdentity, LmdbStore
from finchladder.cluster.types.members import Ballot
from finchladder.cluster.types.operations import ControlState

DISK_BYTES = 32 << 20
PAGE_BYTES = 4096
META_PAGES = 2  # the first pages of the file, used by alternate transactions
FILE = "state/data.mdb"
IDENTITY = DiskIdentity("disk", True)

Values = tuple[Acceptor, Replica]


def values(number: int, size: int) -> Values:
    state = ControlState(sequence=number, version=number, document=bytes([number % 256]) * size)
    return Acceptor(promised=Ballot(number, "a")), Replica(number, state)


def file_images(folder: Path, sizes: list[int]) -> list[bytes]:
    """Returns the content of the file after each write of a document with one of the sizes."""
    store = LmdbStore(str(folder), DISK_BYTES)
    store.load(lambda: IDENTITY)
    images = []
    for number, size in enumerate(sizes, 1):
        acceptor, replica = values(number, size)
        asyncio.run(store.save(acceptor=acceptor, replica=replica))
        images.append((folder / FILE).read_bytes())
    store.close()
    return images


def read_back(folder: Path, image: bytes) -> Values:
    """Returns the state that a process loads from a file image at its start."""
    (folder / "state").mkdir(parents=True)
    (folder / FILE).write_bytes(image)
    store = LmdbStore(str(folder), DISK_BYTES)
    assert not store.moved_aside, "synced state was treated as corrupted"
    identity, acceptor, replica = store.load(lambda: DiskIdentity("another", False))
    store.close()
    assert identity == IDENTITY
    return acceptor, replica


def changed_pages(before: bytes, after: bytes) -> list[int]:
    padded = before.ljust(len(after), b"\x00")
    return [
        page
        for page in range(len(after) // PAGE_BYTES)
        if padded[page * PAGE_BYTES : (page + 1) * PAGE_BYTES]
        != after[page * PAGE_BYTES : (page + 1) * PAGE_BYTES]
    ]


def with_page(image: bytes, after: bytes, page: int, written: range) -> bytes:
    """Copies the written bytes of a page from the image after the write; extends the file if necessary."""
    begin, end = page * PAGE_BYTES + written.start, page * PAGE_BYTES + written.stop
    image = image.ljust(end, b"\x00") if written else image
    return image[:begin] + after[begin:end] + image[end:]


def written_range(random: Random) -> range:
    """Draws the written part of a page: all of it, nothing, or the bytes before or after a position."""
    cut = random.randrange(PAGE_BYTES)
    return random.choice([range(PAGE_BYTES), range(0), range(cut), range(cut, PAGE_BYTES)])


def images_before_the_sync(before: bytes, after: bytes, random: Random) -> Iterator[bytes]:
    """Yields images with written, missing and torn pages of the transaction, without its meta page."""
    pages = [page for page in changed_pages(before, after) if page >= META_PAGES]
    for _ in range(12):
        image = before
        for page in random.sample(pages, len(pages)):
            image = with_page(image, after, page, written_range(random))
        yield image


def images_after_the_sync(before: bytes, after: bytes) -> Iterator[bytes]:
    """Yields images with all pages of the transaction and its meta page torn at any position."""
    image = before
    pages = changed_pages(before, after)
    for page in pages:
        if page >= META_PAGES:
            image = with_page(image, after, page, range(PAGE_BYTES))
    (meta,) = [page for page in pages if page < META_PAGES]
    old, new = (data[meta * PAGE_BYTES : (meta + 1) * PAGE_BYTES] for data in (image, after))
    for cut in range(PAGE_BYTES):
        if old[cut] != new[cut]:
            yield with_page(image, after, meta, range(cut))
    yield with_page(image, after, meta, range(PAGE_BYTES))


SIZES = [[100, 100, 100, 100], [100, 9000, 50, 30000, 30000], [60000, 60000, 60000], [5] * 9]


@pytest.mark.parametrize("sizes", SIZES, ids=str)
def test_a_power_failure_during_a_write_leaves_the_state_before_or_after_it(
    tmp_path: Path, sizes: list[int]
) -> None:
    images = file_images(tmp_path / "written", sizes)
    random, number = Random(len(sizes)), 0
    for step, (before, after) in enumerate(zip(images, images[1:], strict=False), 1):
        earlier, later = values(step, sizes[step - 1]), values(step + 1, sizes[step])
        for image in images_before_the_sync(before, after, random):
            number += 1
            assert read_back(tmp_path / str(number), image) == earlier
        for image in images_after_the_sync(before, after):
            number += 1
            assert read_back(tmp_path / str(number), image) in (earlier, later)
    assert number > 20


def is_detected(folder: Path, image: bytes, *stored: Values) -> bool:
    """Whether an invalid file is rejected or loads as a state that was never stored."""
    (folder / "state").mkdir(parents=True)
    (folder / FILE).write_bytes(image)
    store = LmdbStore(str(folder), DISK_BYTES)
    detected = bool(store.moved_aside) or store.load(lambda: IDENTITY)[1:] not in stored
    store.close()
    return detected


def test_a_missing_page_that_was_synced_is_detected(tmp_path: Path) -> None:
    """Checks that the test above can fail: a missing page of the document is detected."""
    size = 60_000
    before, after = file_images(tmp_path / "written", [size, size])
    data = [page for page in changed_pages(before, after) if page >= META_PAGES]
    old = before.ljust(len(after), b"\x00")
    images = [with_page(after, old, page, range(PAGE_BYTES)) for page in data]
    stored = values(1, size), values(2, size)
    detected = [is_detected(tmp_path / str(n), image, *stored) for n, image in enumerate(images)]
    assert sum(detected) >= size // PAGE_BYTES
