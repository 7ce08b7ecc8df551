"""What a process holds, as the platform counts it."""

import pathlib

# States of a TCP connection in which received bytes wait to be read.
_OPEN_STATES = frozenset({"01", "08"})


def own_bytes(pid: int) -> int:
    """Returns the anonymous memory of a process, without mapped files."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024
    return 0


def unread_bytes(ip: str) -> tuple[int, int]:
    """Returns what waits at an address.

    Args:
        ip: A loopback address that one process has for itself.

    Returns:
        Bytes that were received and not read yet, and the connections.
    """
    local = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = connections = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(f"{local}:") and fields[3] in _OPEN_STATES:
            total += int(fields[4].partition(":")[2], 16)
            connections += 1
    return total, connections
