from dotterelgrade_standins import layers


def test_tokens_of_a_chain_are_those_of_the_model(fleet):
    agents = fleet.chain()
    fleet.admit_chain("r1", agents)
    tokens = fleet.generate(agents[0], "r1", (5, 6, 7), 8)
    assert tokens == layers.expected_tokens((5, 6, 7), layers=9, max_tokens=8)
