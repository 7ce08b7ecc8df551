import pytest

from dotterelgrade import registry


@pytest.fixture
def shapes():
    return registry.Registry("shape")


def test_makes_a_new_instance_of_a_registered_class(shapes):
    @shapes.register("round")
    class Round:
        pass

    first, second = shapes.make("round"), shapes.make("round")
    assert isinstance(first, Round)
    assert first is not second


def test_names_are_sorted(shapes):
    shapes.register("square")(dict)
    shapes.register("round")(list)
    assert shapes.names() == ["round", "square"]


def test_an_unknown_name_lists_the_known_ones(shapes):
    shapes.register("round")(list)
    with pytest.raises(ValueError, match="shape: expected one of round, got"):
        shapes.make("flat")
