"""Number types with the bounds within which the processes can compute.

`msgspec` checks them while it decodes. A number outside of them, and one that
is not finite, is a fault of the document.
"""

from typing import Annotated

import msgspec

# Up to here JSON readers and 64-bit frames hold whole numbers exactly, also in
# sums of a few thousand.
MAX_COUNT = 2**53
# The end of the year 9999.
_MAX_UNIX_MS = 253_402_300_799_999
# Ample for any amount; sums and products of a few stay finite.
MAX_AMOUNT = 1e15
# 31 years; timers and sockets reject much longer timeouts.
_MAX_DURATION_MS = 1e12
# No model has as many; tables by layer stay small.
_MAX_LAYERS = 65_536
# Each slot is taken over a connection, which has a port.
_MAX_SLOTS = 65_535

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]
Layer = Annotated[int, msgspec.Meta(ge=0, le=_MAX_LAYERS)]
# Index of a last layer; without any layer the one before the first.
LastLayer = Annotated[int, msgspec.Meta(ge=-1, le=_MAX_LAYERS)]
# Fits into a frame as it is; for values that are passed on, not computed with.
Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AMOUNT)]
# Of a value that is measured, and may be off a little below zero.
Measured = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
# Also infinite, but never no number.
SignedNumber = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT)]
DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_DURATION_MS)]
# Sent in headers, where a control character would end the line.
HeaderText = Annotated[str, msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]*\Z")]
