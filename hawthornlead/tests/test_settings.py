"""Tests of the settings table and of reading INI files."""

import base64

import pytest
from hypothesis import given, settings, strategies

from hawthornlead.settings import (
    FITS,
    READERS,
    SETTINGS,
    SettingError,
    configure_settings,
    default_settings,
    read_settings,
)
from hawthornlead.signatures import generate_key, public_text

KEY = base64.b64encode(bytes(32)).decode()
VALID = """
[vm]
vm_name = vm-1
data_centre = bilbao
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:8081
[platform]
store_address = 127.0.0.1:9000
vm_list_address = [::1]:9001
"""


@pytest.fixture
def read(tmp_path):
    """Read the settings from a text."""

    def read_text(text):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        return read_settings(str(path))

    return read_text


def places(result):
    return [(error.section, error.key) for error in result.unwrap_err()]


def test_valid_file_over_defaults(read):
    values = read(VALID + "[grants]\ngrant_size = 12\n").unwrap()
    assert values["VM_NAME"] == "vm-1"
    assert values["GRANT_SIZE"] == 12
    assert values["LEASE_S"] == SETTINGS["LEASE_S"].default


def test_free_section_holds_any_key(read):
    ana, ben = public_text(generate_key()), public_text(generate_key())
    values = read(VALID + f"[operators]\nana = {ana}\nben = {ben}\n").unwrap()
    assert values["OPERATORS"] == {"ana": ana, "ben": ben}


def test_public_key_is_checked_before_the_start(read):
    key = public_text(generate_key())
    for bad in ("abc", "!", key[:-4], ""):
        found = read(VALID + f"[operators]\nana = {key}\nben = {bad}\n")
        assert places(found) == [("operators", "ben")]


def test_every_invalid_operator_key_is_reported(read):
    """Guards against a mistyped key that ends the VM's start with a traceback.

    The traceback would not name the key.
    """
    text = f"[operators]\nana = abc\nben = {KEY}\ncai = {KEY[4:]}\n"
    outcome = read(VALID + text + "[grants]\ngrant_size = x\n")
    wanted = [("grants", "grant_size"), ("operators", "ana"), ("operators", "cai")]
    assert places(outcome) == wanted
    assert configure_settings(default_settings(OPERATORS={"ana": "x"})).is_err()


def test_missing_file_is_one_error(tmp_path):
    (error,) = read_settings(str(tmp_path / "none.ini")).unwrap_err()
    assert "none.ini" in error.found


@pytest.mark.parametrize(
    "text", ["no section", "[vm]\nvm_name=a\nvm_name=b\n", "[vm]\n[vm]\n"]
)
def test_malformed_file(read, text):
    (error,) = read(text).unwrap_err()
    assert error.allowed == "a readable INI file"


@pytest.mark.parametrize(
    ("section", "key", "text"),
    [
        ("vm", "region", "a b"),
        ("vm", "region", ""),
        ("vm", "metrics_address", "localhost:80"),
        ("vm", "metrics_address", "127.0.0.1"),
        ("vm", "metrics_address", "127.0.0.1:70000"),
        ("platform", "store_timeout_s", "soon"),
        ("platform", "store_timeout_s", "nan"),
        ("platform", "store_timeout_s", "inf"),
        ("platform", "store_timeout_s", "0.01"),
        ("grants", "grant_size", "1.5"),
        ("grants", "grant_size", "0"),
        ("grants", "grant_size", "2000"),
        ("logs", "log_level", "loud"),
        ("scheduling", "fair_shares", "maybe"),
        ("scheduling", "plain_places", ""),
    ],
)
def test_a_value_that_is_not_allowed(read, section, key, text):
    body = VALID.replace("[vm]", f"[vm]\n{key} = {text}") if section == "vm" else VALID
    if section == "platform":
        body = VALID.replace("[platform]", f"[platform]\n{key} = {text}")
    if section not in ("vm", "platform"):
        body = VALID + f"[{section}]\n{key} = {text}\n"
    (error,) = read(body).unwrap_err()
    assert (error.section, error.key, error.found) == (section, key, text)
    assert error.allowed


def test_unknown_section_and_keys(read):
    text = VALID + "[grants]\nsize = 3\nlease_s = 3\n[extra]\na = 1\n[DEFAULT]\nb = 2\n"
    assert places(read(text)) == [
        ("grants", "size"),
        ("grants", "lease_s"),
        ("extra", ""),
        ("DEFAULT", ""),
    ]


def test_all_errors_at_once(read):
    # If only the first error were reported, a file with five errors would take five
    # starts to correct. Missing, malformed, unknown and conflicting keys are found in
    # different steps, so each step must run.
    text = "[vm]\nvm_name = a b\n[lease]\nlease_s = 1\n[tls]\ntls_key = k\n[x]\n"
    assert set(places(read(text))) == {
        ("vm", "vm_name"),
        ("x", ""),
        ("vm", "data_centre"),
        ("vm", "caller_address"),
        ("vm", "peer_address"),
        ("platform", "store_address"),
        ("platform", "vm_list_address"),
        ("lease", "lease_renew_s"),
        ("tls", "tls_key"),
    }


def test_a_key_with_an_error_is_reported_once(read):
    text = VALID + "[lease]\nlease_s = 1000\nlease_renew_s = 5\n"
    assert places(read(text)) == [("lease", "lease_s")]


@pytest.mark.parametrize(("lesser", "greater", "factor"), FITS)
def test_settings_that_must_fit(lesser, greater, factor):
    values = default_settings()
    values[lesser] = values[greater] / factor
    assert configure_settings(values).is_ok()
    values[lesser] = values[greater] / factor * 1.01
    (error,) = configure_settings(values).unwrap_err()
    assert error.key == lesser.lower()


def test_certificate_and_key_come_together():
    for name in ("TLS_CERTIFICATE", "TLS_KEY"):
        (error,) = configure_settings(default_settings(**{name: "f"})).unwrap_err()
        assert error.section == "tls"


@pytest.mark.parametrize(("text", "on"), [("yes", True), ("Off", False), ("1", True)])
def test_switches_read_the_usual_words(read, text, on):
    body = VALID + f"[scheduling]\nfair_shares = {text}\n"
    assert read(body).unwrap()["FAIR_SHARES"] is on


def test_defaults_pass_their_own_readers():
    for name, row in SETTINGS.items():
        if row.default is None:
            continue
        text = str(row.default)
        assert READERS[row.kind](text, row) == row.default, name


def test_error_as_text():
    error = SettingError("vm", "region", "", "letters")
    assert str(error) == "[vm] region: found '', allowed: letters"
    unknown = SettingError("x", "", "an unknown section", "vm")
    assert str(unknown) == "[x]: found 'an unknown section', allowed: vm"


def test_error_of_the_whole_file_is_one_line(read):
    (error,) = read("no section").unwrap_err()
    assert str(error).endswith("'no section'; allowed: a readable INI file")
    assert "\n" not in str(error)


@settings(derandomize=True)
@given(strategies.sampled_from(sorted(SETTINGS)), strategies.text(max_size=20))
def test_readers_refuse_only_by_value_error(name, text):
    row = SETTINGS[name]
    try:
        READERS[row.kind](text, row)
    except ValueError as error:
        assert str(error)
