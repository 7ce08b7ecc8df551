"""Mutants of what is decoded from outside the processes."""

from dotterelgrade_standins import mutant

_CODEC_TEST = "packages/dotterelgrade-front/tests/adapter/test_codec.py"
_FOLLOWER_TEST = "packages/dotterelgrade-front/tests/test_feed_follower.py"
_FRAMES_TEST = "packages/dotterelgrade-front/tests/test_peer_frames.py"
_DIRECTORY_TEST = "packages/dotterelgrade-front/tests/test_chain_directory.py"
_HOSTS_TEST = "packages/dotterelgrade/tests/test_host_list.py"
_RELAY_TEST = "packages/dotterelgrade-routing/tests/test_relay_encoding.py"
_DECODERS_RUNS = "packages/dotterelgrade-standins/tests/test_fuzz_decoders.py"

MUTANTS = (
    mutant.Mutant(
        name="decoder-lists-its-exceptions",
        promise=mutant.IN_FORCE,
        module="dotterelgrade.decoding",
        old="    except Exception as error:\n        return result.Failure",
        new="    except ValueError as error:\n        return result.Failure",
        check=_CODEC_TEST,
    ),
    mutant.Mutant(
        name="front-stops-at-an-odd-record",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_front.guarded_records",
        old="        except Exception:",
        new="        except KeyError:",
        check=_FOLLOWER_TEST,
    ),
    mutant.Mutant(
        name="odd-host-hides-the-others",
        promise=mutant.IN_FORCE,
        module="dotterelgrade.host_list",
        old="        return _parse_each(items)",
        new="        raise",
        check=_HOSTS_TEST,
    ),
    mutant.Mutant(
        name="front-uses-any-port",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade.addresses",
        old="if match is None or int(match[2]) > _MAX_PORT:",
        new="if match is None:",
        check=_DECODERS_RUNS,
    ),
    mutant.Mutant(
        name="front-uses-any-layers",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade.bounded",
        old="_MAX_LAYERS = 65_536",
        new="_MAX_LAYERS = 10**12",
        check=_CODEC_TEST,
    ),
    mutant.Mutant(
        name="front-uses-layers-beyond-the-model",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade_front.chain_directory",
        old="held.within(engine.all_layers())",
        new="held",
        check=_DIRECTORY_TEST,
    ),
    mutant.Mutant(
        name="planner-adds-up-any-number",
        promise=mutant.ENOUGH_ROOM,
        module="dotterelgrade.bounded",
        old="Amount = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AMOUNT)]",
        new="Amount = float",
        check=_FRAMES_TEST,
    ),
    mutant.Mutant(
        name="front-decompresses-any-page",
        promise=mutant.IN_FORCE,
        module="dotterelgrade_routing.relay_encoding",
        old="if size > MAX_PAGE_BYTES:",
        new="if size < 0:",
        check=_RELAY_TEST,
    ),
)
