"""Tests of server-sent events that are received in parts."""

from hypothesis import given
from hypothesis import strategies as st

from finchladder.cluster.routing.event_stream import EventBuffer


@given(st.lists(st.integers(1, 40), min_size=1, max_size=12), st.data())
def test_events_are_released_complete_however_the_bytes_are_split(
    sizes: list[int], data: st.DataObject
) -> None:
    events = [b"id: %d\ndata: %s\n\n" % (n, b"x" * size) for n, size in enumerate(sizes, 1)]
    stream = b"".join(events)
    stop = data.draw(st.integers(0, len(stream)))
    buffer, released, position = EventBuffer(), b"", 0
    while position < stop:
        step = data.draw(st.integers(1, 30))
        released += buffer.feed(stream[position : min(position + step, stop)])
        position += step
    complete = [event for n, event in enumerate(events) if sum(map(len, events[: n + 1])) <= stop]
    assert released == b"".join(complete)
    assert buffer.last_event_id == (str(len(complete)) if complete else "")
    assert buffer.has_incomplete == (len(released) < stop)
