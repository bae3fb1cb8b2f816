"""Compresses configurations that are sent to dispatchers.

A configuration of a thousand routes has several hundred KB. Over the slow link of a dispatcher its
uncompressed transfer exceeds the timeout of a pull, especially with concurrent pulls, and the dispatcher
never receives it.
"""

import zlib

from attrs import define

COMPRESSION_LEVEL = 6


def decompress(compressed: bytes) -> bytes:
    """Decompresses a document; empty input stays empty.

    Raises:
        zlib.error: The bytes are not a valid compressed document.
    """
    return zlib.decompress(compressed) if compressed else b""


@define
class DocumentCompressor:
    """Compresses each document once for all subscribers.

    Documents are compared by content, not by version, because a different document may reuse the version of
    one that was never acknowledged.
    """

    document: bytes = b""
    compressed: bytes = b""

    def compress(self, document: bytes) -> bytes:
        """The compressed document; empty for an empty one. CPU: O(size), unless it is the last one again."""
        if document != self.document:
            self.document = document
            self.compressed = zlib.compress(document, COMPRESSION_LEVEL) if document else b""
        return self.compressed
