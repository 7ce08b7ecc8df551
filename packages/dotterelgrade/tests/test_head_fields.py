"""Guards against heads that cost much, or that two parsers read differently."""

import pytest

from dotterelgrade import head_fields


def test_fields_are_found_without_case_and_in_any_number():
    lines = b"".join(b"a%d: %d\r\n" % (n, n) for n in range(2_000))
    fields = head_fields.parse(lines + b"Content-Type:  x \r\n")
    assert len(fields) == 2_001
    assert (fields.get("A1999"), fields.typeheader) == ("1999", "x")
    del fields["a0"]
    assert fields.get("a0", "none") == "none"


def test_only_wanted_fields_are_kept():
    fields = head_fields.parse(b"a: b\r\nHost: c\r\n", wanted={"host"})
    assert list(fields.headers) == ["Host: c\r\n"]


@pytest.mark.parametrize(
    "lines",
    [
        b"no colon\r\n",
        b"a: b\r\n folded\r\n",
        b": no name\r\n",
        b"sp ace: b\r\n",
        b"Content-Length: 1\r\nContent-Length: 2\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    ],
)
def test_other_lines_are_refused(lines):
    """The end of a body that is not clear hides another request in it."""
    with pytest.raises(ValueError, match="field|several|Transfer-Encoding"):
        head_fields.parse(lines)
