import hypothesis
from hypothesis import strategies
import pytest

from dotterelgrade import addresses


def test_an_address_is_split():
    address = addresses.parse("10.0.0.1:80")
    assert (address.host, address.port) == ("10.0.0.1", 80)
    assert str(address) == "10.0.0.1:80"


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1:65536",
        "10.0.0.1:080000",
        "10.0.0.1:80 ",
        "10.0.0.1:80\n",
        " 10.0.0.1:80",
        "10.0.0.256:80",
        "10.1:80",
        "::1:80",
        "0.0.0.0:80",
        "224.0.0.1:80",
        "10.0.0.1\x00:80",
    ],
)
def test_no_other_text_is_an_address(text):
    with pytest.raises(ValueError, match="IP:PORT"):
        addresses.parse(text)


@hypothesis.given(strategies.text(max_size=30))
def test_any_text_is_an_address_or_an_error(text):
    try:
        address = addresses.parse(text)
    except ValueError:
        return
    assert 1 <= address.port <= 65_535
    assert str(address) == text
