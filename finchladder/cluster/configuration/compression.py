"""Configurations as they travel to dispatchers: compressed, as their routes repeat each other's keys.

A dispatcher's link is slow, and a configuration of a thousand routes has some hundred KB: uncompressed it
took longer than a pull may, several pulls at once made it longer still, and some dispatchers never got it.
"""

import zlib

from attrs import define

COMPRESSION_LEVEL = 6


def decompress(compressed: bytes) -> bytes:
    """The document in JSON; empty for an empty one. zlib.error if it was not packed."""
    return zlib.decompress(compressed) if compressed else b""


@define
class DocumentCompressor:
    """Compresses each document once, whoever asks for it. Documents are told apart by their bytes: a version
    that was not acknowledged may be followed by another one with its number.
    """

    document: bytes = b""
    compressed: bytes = b""

    def compress(self, document: bytes) -> bytes:
        """The document, compressed; empty for an empty one. CPU: O(size), little if it is the last again."""
        if document != self.document:
            self.document = document
            self.compressed = zlib.compress(document, COMPRESSION_LEVEL) if document else b""
        return self.compressed
