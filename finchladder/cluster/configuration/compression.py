"""Compression of configurations that are sent to dispatchers.

A dispatcher's link is slow, and a configuration of a thousand routes has some hundred KB: uncompressed, its
transfer exceeds the timeout of a pull, the more so beside other pulls, and the dispatcher never gets it.
"""

import zlib

from attrs import define

COMPRESSION_LEVEL = 6


def decompress(compressed: bytes) -> bytes:
    """Restores a document; empty for an empty one.

    Raises:
        zlib.error: The bytes are not a compressed document.
    """
    return zlib.decompress(compressed) if compressed else b""


@define
class DocumentCompressor:
    """Compresses each document once, for all subscribers.

    Documents are compared by their bytes, not by version: one that was never acknowledged may be followed by
    another with the same version.
    """

    document: bytes = b""
    compressed: bytes = b""

    def compress(self, document: bytes) -> bytes:
        """The compressed document; empty for an empty one. CPU: O(size), less if it is the last one again."""
        if document != self.document:
            self.document = document
            self.compressed = zlib.compress(document, COMPRESSION_LEVEL) if document else b""
        return self.compressed
