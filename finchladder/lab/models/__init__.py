"""The world as plain state machines: times come in, actions go out. No sockets, clock, asyncio, global.

Randomness is a `random.Random` that is handed in, so the same seed and the same calls give the same actions.
Drivers on sockets and the kernel of virtual time play the same models.
"""
