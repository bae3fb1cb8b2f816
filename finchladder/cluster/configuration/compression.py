"""Compresses configurations that are sent to dispatchers.

A configuration of a thousand routes has several hundred KB. Without compression its transfer over a slow link
would take longer than the timeout of a pull, especially with concurrent pulls, and the dispatcher would never
receive it.
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
    """Compresses the current document once for all subscribers.

    A document is recognized by its content, not by its version, because the version of a document that was
    never acknowledged may be used again for a different one.
    """

    document: bytes = b""
    compressed: bytes = b""

    def compress(self, document: bytes) -> bytes:
        """The compressed document; empty for an empty one. CPU: O(size), if the document has changed."""
        if document != self.document:
            self.document = document
            self.compressed = zlib.compress(document, COMPRESSION_LEVEL) if document else b""
        return self.compressed
