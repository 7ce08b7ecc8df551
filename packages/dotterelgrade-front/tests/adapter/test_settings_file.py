import pytest

from dotterelgrade import errors
from dotterelgrade_platform import settings_file

_FILE = """
node = "front-a-1"
ip = "10.1.0.40"
zone = "a"
internal_ports = [7340, 7355]
a_new_field = 1
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
file_descriptors = 1570
memory_mb = 222
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 400
[platform]
address = "10.200.1.7:8223"
"""


def test_the_file_is_converted_to_front_settings(tmp_path):
    path = tmp_path / "local.toml"
    path.write_text(_FILE)
    settings = settings_file.load(str(path))
    assert settings.failure_domain == "a"
    assert settings.peer_address == "10.1.0.40:7340"
    assert settings.retry_slack == 400
    assert settings.memory_bytes == 222e6


@pytest.mark.parametrize(
    ("field", "default", "other"),
    [
        ("admission", "priority", "uniform"),
        ("retry_after", "forecast", "fixed"),
        ("spillover", "fixed", "adaptive"),
    ],
)
def test_the_table_of_policies_is_optional(tmp_path, field, default, other):
    path = tmp_path / "local.toml"
    path.write_text(_FILE)
    assert getattr(settings_file.load(str(path)), field) == default
    path.write_text(f'{_FILE}[routing]\n{field} = "{other}"\n')
    assert getattr(settings_file.load(str(path)), field) == other


def test_the_environment_names_the_file(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_text(_FILE)
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(path))
    assert settings_file.load().node == "front-a-1"


@pytest.mark.parametrize(
    "text",
    [
        "",
        "node = ",
        _FILE.replace('"10.1.0.40:8227"', "5"),
        _FILE.replace("10.1.0.40:8220", "nowhere"),
        _FILE.replace("10.1.0.40:8220", "10.1.0.40:99999"),
        _FILE.replace("[7340, 7355]", "[-7340, 7355]"),
        _FILE.replace("grace_s = 8", "grace_s = nan"),
        _FILE.replace("grace_s = 8", "grace_s = inf"),
        _FILE.replace("memory_mb = 222", "memory_mb = 0"),
        _FILE + '[routing]\nretry_after = "soon"\n',
        _FILE.replace("a_new_field = 1", "a = " + "[" * 100_000),
        _FILE + '[routing]\nadmission = "fair"',
        _FILE + '[routing]\nspillover = "other"\n',
        _FILE + "[routing]\nspillover = 1\n",
    ],
    ids=[
        "empty",
        "cut",
        "number",
        "no port",
        "large port",
        "negative port",
        "not a number",
        "infinite",
        "no memory",
        "unknown policy of retry times",
        "nested",
        "unknown policy of admission",
        "unknown policy of spillover",
        "policy without a name",
    ],
)
def test_an_invalid_file_is_rejected_with_a_reason(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(errors.DotterelgradeError, match="settings"):
        settings_file.load(str(path))


# By the decoder, which names the key, or by the settings themselves.
_NUMBER_REJECTED = (
    r"`float` [<>]= .*\$\.bounds\.(grace_s|budget_window_s"
    r"|retry_budget_ratio|budget_slack)|must (be positive|not be negative)"
)


@pytest.mark.parametrize("value", ["0", "-1", "nan", "inf"])
@pytest.mark.parametrize("name", ["grace_s = 8", "budget_window_s = 10"])
def test_a_time_that_is_not_positive_is_rejected(tmp_path, name, value):
    """A stop cut all requests, or each first request of a service failed."""
    path = tmp_path / "local.toml"
    key = name.partition("=")[0]
    path.write_text(_FILE.replace(name, f"{key}= {value}"))
    with pytest.raises(errors.DotterelgradeError, match=_NUMBER_REJECTED):
        settings_file.load(str(path))


@pytest.mark.parametrize("value", ["-1", "nan"])
@pytest.mark.parametrize("name", ["retry_budget_ratio = 0.2", "_slack = 400"])
def test_a_budget_that_is_negative_is_rejected(tmp_path, name, value):
    path = tmp_path / "local.toml"
    key = name.partition("=")[0]
    path.write_text(_FILE.replace(name, f"{key}= {value}"))
    with pytest.raises(errors.DotterelgradeError, match=_NUMBER_REJECTED):
        settings_file.load(str(path))


def test_without_a_file_the_error_names_the_variable(monkeypatch):
    monkeypatch.delenv(settings_file.PATH_VARIABLE, raising=False)
    with pytest.raises(errors.DotterelgradeError, match="names no settings"):
        settings_file.load()
