"""Messages of etcd's JSON gateway: encoded requests, and responses parsed in bounded memory.

They follow etcd's `rpc.proto` and the gateway's encoding: bytes are base64, 64-bit integers are strings, and
zero values are omitted.
"""

import re
from base64 import b64decode, b64encode
from typing import Any, NamedTuple

import msgspec

MAX_WHOLE_BYTES = 64 * 1024  # a longer response is parsed as it arrives
MAX_ITEM_BYTES = (
    32 * 1024
)  # maximum length of a key with its value in JSON; valid entries are below a tenth of it
MAX_FRAME_BYTES = 32 * 1024  # maximum length of a response without its items
MAX_ITEMS = 200_000  # maximum number of keys or events in one response
KEY_SEARCH_BYTES = 4096  # number of leading bytes of an overlong item that are searched for its key

INVALID, DENIED, PRECONDITION, UNAUTHENTICATED = 3, 7, 9, 16  # gRPC status codes
_TOKEN_ERRORS = ("invalid auth token", "user name is empty", "revision of auth store is old")


class MalformedResponseError(Exception):
    """The response is not one of etcd, or exceeds a limit."""


class Header(msgspec.Struct):
    """The header of each etcd response: identifiers, and the store's revision."""

    cluster_id: int = 0
    member_id: int = 0
    revision: int = 0
    raft_term: int = 0


class Kv(msgspec.Struct):
    """A key and its value, with the revisions of its creation and last change."""

    key: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class Item(NamedTuple):
    """A key as returned by a range or a watch; `value` is None if it is too long for an entry."""

    key: bytes
    mod_revision: int
    value: bytes | None = b""
    is_deleted: bool = False
    is_new: bool = False  # the key was created by this modification


class ErrorResponse(NamedTuple):
    """An error response of etcd: its gRPC code and message."""

    code: int
    text: str

    @property
    def is_token_error(self) -> bool:
        """Whether a new login may help."""
        return self.code == UNAUTHENTICATED or any(words in self.text for words in _TOKEN_ERRORS)

    @property
    def is_final(self) -> bool:
        """Whether retrying is pointless until a setting changes on either side."""
        return self.code in (INVALID, DENIED, PRECONDITION, UNAUTHENTICATED)

    @property
    def is_compacted(self) -> bool:
        """Whether the revision asked for has been compacted."""
        return "has been compacted" in self.text


class Response(NamedTuple):
    """The response to a call, or one message of a watch."""

    header: Header
    items: list[Item]
    more: bool = False
    total: int = 0
    created: bool = False
    canceled: bool = False
    compacted: int = 0
    fragment: bool = False
    error: ErrorResponse | None = None
    token: str = ""
    lease: int = 0
    ttl_s: int = 0
    deleted: int = 0


class _Event(msgspec.Struct):
    kv: Kv = msgspec.field(default_factory=Kv)
    type: str | int = "PUT"


class _Result(msgspec.Struct):
    header: Header = msgspec.field(default_factory=Header)
    events: list[_Event] = []
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    cancel_reason: str = ""
    fragment: bool = False
    ttl: int = msgspec.field(default=0, name="TTL")
    id: int = msgspec.field(default=0, name="ID")


class _Error(msgspec.Struct):
    message: str = ""
    grpc_code: int = 0
    code: int = 0


class _AnyResponse(msgspec.Struct):
    """All fields used here of the responses to calls; `result` is that of a stream."""

    header: Header = msgspec.field(default_factory=Header)
    kvs: list[Kv] = []
    more: bool = False
    count: int = 0
    token: str = ""
    id: int = msgspec.field(default=0, name="ID")
    ttl: int = msgspec.field(default=0, name="TTL")
    deleted: int = 0
    result: _Result | None = None
    error: str | _Error | None = None
    message: str = ""
    code: int = 0


_decode = msgspec.json.Decoder(_AnyResponse, strict=False).decode
_decode_event = msgspec.json.Decoder(_Event, strict=False).decode
_decode_kv = msgspec.json.Decoder(Kv, strict=False).decode
_KEY = re.compile(rb'"key"\s*:\s*"([A-Za-z0-9+/]*=*)"')
_CREATED = re.compile(rb'"create_revision"\s*:\s*"(\d{1,19})"')
_MOD = re.compile(rb'"mod_revision"\s*:\s*"(\d{1,19})"')
_OUTSIDE, _INSIDE = re.compile(rb'["{}\[\]]'), re.compile(rb'["\\]')


def _item(event: _Event) -> Item:
    kv, deleted = event.kv, event.type in ("DELETE", 1)
    return Item(kv.key, kv.mod_revision, kv.value, deleted, kv.create_revision == kv.mod_revision)


def _response(found: _AnyResponse, items: list[Item]) -> Response:
    if isinstance(e := found.error, _Error):
        return Response(found.header, [], error=ErrorResponse(e.grpc_code or e.code, e.message))
    if e is not None or found.code:  # newer gateways omit `error`
        return Response(found.header, [], error=ErrorResponse(found.code, found.message or e or ""))
    if (r := found.result) is None:
        return Response(
            found.header,
            items,
            found.more,
            found.count,
            token=found.token,
            lease=found.id,
            ttl_s=found.ttl,
            deleted=found.deleted,
        )
    refusal = ErrorResponse(_code_in(r.cancel_reason), r.cancel_reason) if r.canceled else None
    return Response(
        r.header,
        items,
        False,
        0,
        r.created,
        r.canceled,
        r.compact_revision,
        r.fragment,
        refusal,
        lease=r.id,
        ttl_s=r.ttl,
    )


def _code_in(reason: str) -> int:
    """Returns the gRPC code of a canceled watch, which is given only in the text, or 0."""
    if "PermissionDenied" in reason:
        return DENIED
    return UNAUTHENTICATED if "Unauthenticated" in reason else 0


class ResponseReader:
    """Parses responses from pieces of any size: the body of one call, or the lines of a watch.

    A response longer than MAX_WHOLE_BYTES is never buffered completely: each item is parsed as it arrives,
    and the value of an overlong one is skipped. At most MAX_ITEM_BYTES + MAX_FRAME_BYTES + MAX_WHOLE_BYTES
    are buffered, besides the parsed items.
    """

    def __init__(self, lines: bool) -> None:
        self.lines = lines
        self.buffer = bytearray()
        self.long_response: _LongResponse | None = None

    def feed(self, piece: bytes) -> list[Response]:
        """Returns the responses that are now complete.

        Raises:
            MalformedResponseError: The connection must be closed.
        """
        responses: list[Response] = []
        self.buffer += piece
        while self.buffer:
            if self.long_response is not None:
                used = self.long_response.feed(self.buffer)
                del self.buffer[:used]
                if not self.long_response.is_complete:
                    break
                responses.append(self.long_response.response())
                self.long_response = None
            elif self.lines and (end := self.buffer.find(b"\n", 0, MAX_WHOLE_BYTES)) >= 0:
                line = bytes(self.buffer[:end])
                del self.buffer[: end + 1]
                if line.strip():
                    responses.append(self._decode_whole(line))
            elif len(self.buffer) > MAX_WHOLE_BYTES:
                self.long_response = _LongResponse(3 if self.lines else 2)
            else:
                break
        return responses

    def end(self) -> Response:
        """Returns the response to a call, whose body is complete.

        Raises:
            MalformedResponseError: The body is no valid response.
        """
        if self.long_response is not None:
            raise MalformedResponseError("incomplete response")
        return self._decode_whole(bytes(self.buffer))

    def _decode_whole(self, data: bytes) -> Response:
        try:
            found = _decode(data)
        except msgspec.MsgspecError as e:
            raise MalformedResponseError(f"invalid response: {e}") from None
        if found.result is not None:
            return _response(found, [_item(e) for e in found.result.events])
        return _response(found, [Item(kv.key, kv.mod_revision, kv.value) for kv in found.kvs])


class _LongResponse:
    """Parses one long response: the items of the array at nesting `level`, and the frame around them."""

    def __init__(self, level: int) -> None:
        self.level = level
        self.depth = 0
        self.in_string = self.escaped = self.is_complete = False
        self.between_items = False  # inside the array, but outside its items
        self.frame = bytearray()
        self.item: bytearray | None = None
        self.item_length = 0  # bytes of the current item, including skipped ones
        self.items: list[Item] = []

    def feed(self, data: bytearray) -> int:
        """Consumes data up to the end of the response; returns the number of bytes consumed."""
        at = 0
        while at < len(data) and not self.is_complete:
            if self.escaped:
                self._keep(data[at : at + 1])
                self.escaped, at = False, at + 1
                continue
            m = (_INSIDE if self.in_string else _OUTSIDE).search(data, at)
            if m is None:
                self._keep(data[at:])
                return len(data)
            self._keep(data[at : m.start()])
            at = m.end()
            self._token(m[0])
        return at

    def _token(self, token: bytes | bytearray) -> None:
        if self.in_string:
            self.in_string, self.escaped = token != b'"', token == b"\\"
            return self._keep(token)
        if token == b'"':
            self.in_string = True
        elif token in (b"{", b"["):
            if self.between_items and self.item is None:
                self.item, self.item_length = bytearray(), 0
            self.depth += 1
        else:
            self.depth -= 1
            self.between_items = self.between_items and self.depth >= self.level
        self._keep(token)
        if token == b"[" and self.depth == self.level and self.item is None:
            self.between_items = True
        if self.item is not None and self.depth == self.level:
            self._add_item(bytes(self.item))
            self.item = None
        self.is_complete = not self.depth

    def _keep(self, part: bytes | bytearray) -> None:
        if self.item is None:
            # the commas between the items do not belong to the frame
            self.frame += part if not self.between_items else b""
            if len(self.frame) > MAX_FRAME_BYTES:
                raise MalformedResponseError(f"response frame longer than {MAX_FRAME_BYTES} bytes")
            return
        self.item_length += len(part)
        self.item += part[: max(0, MAX_ITEM_BYTES - len(self.item))]

    def _add_item(self, data: bytes) -> None:
        if len(self.items) >= MAX_ITEMS:
            raise MalformedResponseError(f"response with more than {MAX_ITEMS} keys")
        if self.item_length > MAX_ITEM_BYTES:
            key, created, mod = (found.search(data[:KEY_SEARCH_BYTES]) for found in (_KEY, _CREATED, _MOD))
            if key is None or created is None or mod is None:
                raise MalformedResponseError(f"no key in the first {KEY_SEARCH_BYTES} bytes of a long item")
            self.items.append(Item(b64decode(key[1]), int(mod[1]), None, False, created[1] == mod[1]))
            return
        try:
            if self.level == 3:
                self.items.append(_item(_decode_event(data)))
            else:
                kv = _decode_kv(data)
                self.items.append(Item(kv.key, kv.mod_revision, kv.value))
        except msgspec.MsgspecError as e:
            raise MalformedResponseError(f"invalid response: {e}") from None

    def response(self) -> Response:
        try:
            return _response(_decode(bytes(self.frame)), self.items)
        except msgspec.MsgspecError as e:
            raise MalformedResponseError(f"invalid response: {e}") from None


# --- requests


def _encode(**fields: Any) -> bytes:
    return msgspec.json.encode(
        {
            name: b64encode(value).decode() if isinstance(value, bytes) else value
            for name, value in fields.items()
            if value
        }
    )


def prefix_end(prefix: bytes) -> bytes:
    """Returns the first key after all keys with the prefix, for use as `range_end`."""
    stem = prefix.rstrip(b"\xff")
    return stem[:-1] + bytes([stem[-1] + 1]) if stem else b"\0"


def get(key: bytes) -> bytes:
    """Encodes a linearizable read of one key."""
    return _encode(key=key)


def list_page(prefix: bytes, after: bytes, revision: int, limit: int) -> bytes:
    """Encodes a read of up to `limit` keys after `after`, in order, as of `revision` (0: the latest)."""
    first = after + b"\0" if after else prefix
    return _encode(key=first, range_end=prefix_end(prefix), revision=revision, limit=limit)


def newer_than(prefix: bytes, revision: int, revision_after: int) -> bytes:
    """Encodes a read as of `revision`: one key newer than `revision_after`, and the number of keys."""
    end = prefix_end(prefix)
    return _encode(
        key=prefix,
        range_end=end,
        revision=revision,
        min_mod_revision=revision_after + 1,
        limit=1,
        keys_only=True,
    )


def watch(prefix: bytes, start: int) -> bytes:
    """Encodes a watch of all keys with the prefix, from the revision `start` on."""
    request = _encode(
        key=prefix, range_end=prefix_end(prefix), start_revision=start, progress_notify=True, fragment=True
    )
    return b'{"create_request":%b}' % request


def put(key: bytes, value: bytes, lease: int = 0) -> bytes:
    """Encodes the write of one key; 0 is no lease."""
    return _encode(key=key, value=value, lease=lease)


def put_all(pairs: list[tuple[bytes, bytes]]) -> bytes:
    """Encodes the write of several keys in one transaction."""
    return b'{"success":[%b]}' % b",".join(b'{"request_put":%b}' % put(key, value) for key, value in pairs)


def delete(key: bytes) -> bytes:
    """Encodes the deletion of one key."""
    return _encode(key=key)


def login(user: str, password: str) -> bytes:
    """Encodes an authentication request."""
    return msgspec.json.encode({"name": user, "password": password})


def grant(ttl_s: int) -> bytes:
    """Encodes the request of a new lease; `ttl_s` in seconds."""
    return _encode(TTL=ttl_s)


def lease(id: int) -> bytes:
    """Encodes a request on a lease: keep alive or revoke."""
    return _encode(ID=id)
