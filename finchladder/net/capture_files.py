"""The disk that capture files go to. A thread writes them: nobody may have to wait for a disk that hangs."""

import re
import threading
from contextlib import suppress
from io import FileIO
from pathlib import Path

from loguru import logger

STANDARD_OUTPUT = "-"  # in place of a folder: one file without end, for machines without a disk that stays
WRITE_INTERVAL_S = 0.1  # seconds between two looks at what has come: many small blocks make one write
CLOSE_TIMEOUT_S = 1.0  # seconds at the end for what is not yet written


class CaptureFiles(threading.Thread):
    """A thread that writes blocks in order and deletes the oldest files; callers never block on it."""

    def __init__(self, folder: str, name: str, start_ms: int, keep: int, room: int) -> None:
        super().__init__(name="capture files", daemon=True)
        self.folder, self.max_files, self.max_queued_bytes = Path(folder), keep, room
        self.name_prefix = "capture-" + re.sub(r"[^\w.-]", "_", name, flags=re.ASCII)
        self.start_ms, self.file_number = start_ms, 0
        self.lock, self.closing = threading.Lock(), threading.Event()
        self.queue: list[tuple[bool, bytes]] = []  # True: a new file begins with it
        self.queued_bytes, self.failed = 0, False  # bytes that wait, those being written included
        self.is_failure_logged = False  # a failing disk is told of once, until it works again
        self.file: FileIO | None = None

    def open(self, data: bytes) -> bool:
        """Queues the first block of a new file and clears an earlier failure; False if it was not queued."""
        with self.lock:
            self.failed = False
        return self._enqueue(True, data)

    def write(self, data: bytes) -> bool:
        """Queues a block for the current file; False if the disk has failed or is too slow."""
        return self._enqueue(False, data)

    def _enqueue(self, new: bool, data: bytes) -> bool:
        with self.lock:
            # a disk that can't keep up, or hangs, is as good as one that fails
            self.failed = self.failed or self.queued_bytes + len(data) > self.max_queued_bytes
            if not self.failed:
                self.queue.append((new, data))
                self.queued_bytes += len(data)
            return not self.failed

    def close(self) -> None:
        """Asks the thread to write what is queued and end, and waits for it up to CLOSE_TIMEOUT_S."""
        self.closing.set()
        self.join(CLOSE_TIMEOUT_S)

    def run(self) -> None:
        """Writes what is queued, every WRITE_INTERVAL_S, until `close`."""
        while not self.closing.wait(WRITE_INTERVAL_S):
            self._write_queued()
        self._write_queued()
        self._end_file()

    def _write_queued(self) -> None:
        with self.lock:
            queue, self.queue = self.queue, []
        at = 0
        for n, (new, _) in enumerate([*queue, (True, b"")]):
            if new and n > at:
                self._write(queue[at][0], b"".join(data for _, data in queue[at:n]))
                at = n
        with self.lock:
            self.queued_bytes -= sum(len(data) for _, data in queue)

    def _write(self, new: bool, data: bytes) -> None:
        try:
            if new:
                self._new_file()
            if self.file is not None:
                rest = memoryview(data)
                while rest:
                    rest = rest[self.file.write(rest) :]
                if self.is_failure_logged:
                    self.is_failure_logged = False
                    logger.info("capture: files can be written again")
        except OSError as e:
            with self.lock:
                self.failed = True
            self._end_file()
            if not self.is_failure_logged:
                self.is_failure_logged = True
                logger.error("capture: no file can be written in {}: {}", self.folder, e.strerror)

    def _new_file(self) -> None:
        self._end_file()
        if str(self.folder) == STANDARD_OUTPUT:
            self.file = FileIO(1, "w", closefd=False)
            return
        self.folder.mkdir(parents=True, exist_ok=True)
        self.file_number += 1
        name = f"{self.name_prefix}-{self.start_ms:013}-{self.file_number:06}.jsonl"
        self.file = FileIO(self.folder / name, "x")
        # of this dispatcher's own, also from before its start; another's may lie in the same folder
        own = re.compile(re.escape(self.name_prefix) + r"-\d{13}-\d{6}\.jsonl")
        files = sorted(f for f in self.folder.iterdir() if own.fullmatch(f.name))
        for file in files[: -self.max_files]:
            file.unlink(missing_ok=True)

    def _end_file(self) -> None:
        if self.file is not None:
            with suppress(OSError):
                self.file.close()
            self.file = None
