import pathlib

from dotterelgrade import error_page
from dotterelgrade import errors

_PAGE = pathlib.Path(__file__).parents[3] / "docs" / "ERRORS.md"


def test_generated_page_is_current():
    assert _PAGE.read_text(encoding="utf-8") == error_page.as_markdown()


def test_every_kind_has_a_response_and_a_description():
    assert set(errors.RESPONSES) == set(errors.ErrorKind)
    assert set(error_page.DESCRIPTIONS) == set(errors.ErrorKind)
