"""Writes capture files in a separate thread, so that a hanging disk never blocks the dispatcher."""

import re
import threading
from contextlib import suppress
from io import FileIO
from pathlib import Path

from loguru import logger

STANDARD_OUTPUT = "-"  # in place of a folder: one endless stream, for hosts without a persistent disk
WRITE_INTERVAL_S = 0.1  # seconds between two writes, so that many small blocks become one
CLOSE_TIMEOUT_S = 1.0  # maximum wait for queued blocks at the end


class CaptureFiles(threading.Thread):
    """A thread that writes blocks in order and deletes the oldest files; callers never block on it."""

    def __init__(self, folder: str, name: str, start_ms: int, max_files: int, max_queued_bytes: int) -> None:
        super().__init__(name="capture files", daemon=True)
        self.folder, self.max_files, self.max_queued_bytes = Path(folder), max_files, max_queued_bytes
        self.name_prefix = "capture-" + re.sub(r"[^\w.-]", "_", name, flags=re.ASCII)
        self.start_ms, self.file_number = start_ms, 0
        self.lock, self.closing = threading.Lock(), threading.Event()
        self.queue: list[tuple[bool, bytes]] = []  # blocks; True: starts a new file
        self.queued_bytes, self.failed = 0, False  # includes the bytes being written
        self.is_failure_logged = False  # a failure is logged once until the disk works again
        self.file: FileIO | None = None

    def open(self, data: bytes) -> bool:
        """Queues the first block of a new file and clears an earlier failure; False if it was not queued."""
        with self.lock:
            self.failed = False
        return self._enqueue(True, data)

    def write(self, data: bytes) -> bool:
        """Queues a block for the current file; False if the disk has failed or is too slow."""
        return self._enqueue(False, data)

    def _enqueue(self, starts_file: bool, data: bytes) -> bool:
        with self.lock:
            # a disk that can't keep up, or hangs, counts as failed
            self.failed = self.failed or self.queued_bytes + len(data) > self.max_queued_bytes
            if not self.failed:
                self.queue.append((starts_file, data))
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
        first = 0
        for n, (starts_file, _) in enumerate([*queue, (True, b"")]):
            if starts_file and n > first:
                self._write(queue[first][0], b"".join(data for _, data in queue[first:n]))
                first = n
        with self.lock:
            self.queued_bytes -= sum(len(data) for _, data in queue)

    def _write(self, starts_file: bool, data: bytes) -> None:
        try:
            if starts_file:
                self._new_file()
            if self.file is not None:
                remaining = memoryview(data)
                while remaining:
                    remaining = remaining[self.file.write(remaining) :]
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
        # files of this dispatcher, also of earlier starts; other dispatchers may use the same folder
        own_file = re.compile(re.escape(self.name_prefix) + r"-\d{13}-\d{6}\.jsonl")
        files = sorted(f for f in self.folder.iterdir() if own_file.fullmatch(f.name))
        for file in files[: -self.max_files]:
            file.unlink(missing_ok=True)

    def _end_file(self) -> None:
        if self.file is not None:
            with suppress(OSError):
                self.file.close()
            self.file = None
