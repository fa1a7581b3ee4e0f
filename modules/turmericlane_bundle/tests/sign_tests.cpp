#include "examples.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

using namespace turmericlane;

namespace
{

/** A temporary folder that is removed with its files. */
class temporary_folder
{
public:
    temporary_folder()
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "bundle_tests.XXXXXX")
                .string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder()
    {
        std::filesystem::remove_all(path_);
    }
    std::string path_of(const char* name) const
    {
        return path_ + "/" + name;
    }

private:
    std::string path_;
};

constexpr const char* rfc_8032_seed =
    "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60";

} // namespace

TEST_CASE("keys and signatures match test 1 of RFC 8032")
{
    auto key = secret_key::from_hex_seed(rfc_8032_seed);
    REQUIRE(key);
    CHECK(
        to_hex(key->to_public_key()) ==
        "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    CHECK(
        to_hex(key->sign("")) ==
        "e5564300c360ac729086e2cc806e828a84877f1eb8e5d974d873e06522490155"
        "5fb8821590a33bacc61e39701cf9b46bd25bf5f0595bbe24655141438e7a100b");
}

TEST_CASE("a signature covers the content and the key identifier")
{
    auto key = secret_key::generate();
    auto other_key = secret_key::generate();
    auto text = read_example("jamaica");
    auto signed_bundle = sign_bundle(text, "jamaica.json", key);
    REQUIRE(signed_bundle);
    auto parsed_envelope = parse_envelope(signed_bundle->to_text(), "envelope");
    REQUIRE(parsed_envelope);
    CHECK(parsed_envelope->canonical_bundle == signed_bundle->canonical_bundle);
    CHECK(parsed_envelope->version == 1);

    trusted_keys accepted_keys;
    CHECK_FALSE(verify_envelope(*parsed_envelope, accepted_keys));
    accepted_keys.add(other_key.to_public_key());
    CHECK_FALSE(verify_envelope(*parsed_envelope, accepted_keys));
    accepted_keys.add(key.to_public_key());
    CHECK(verify_envelope(*parsed_envelope, accepted_keys));

    auto forged_envelope = *parsed_envelope;
    forged_envelope.canonical_bundle.back() = ' ';
    CHECK_FALSE(verify_envelope(forged_envelope, accepted_keys));
    forged_envelope = *parsed_envelope;
    forged_envelope.signer = key_id_of(other_key.to_public_key());
    CHECK_FALSE(verify_envelope(forged_envelope, accepted_keys));
}

TEST_CASE("a bundle with an error is not signed")
{
    auto document = example_document("norte");
    document["max_instances"] = 0;
    auto signed_bundle =
        sign_bundle(document.dump(), "norte.json", secret_key::generate());
    REQUIRE_FALSE(signed_bundle);
    CHECK(
        signed_bundle.error().to_string() ==
        "norte.json: /max_instances: 0 is out of range; accepted: 1 to "
        "100000");
}

TEST_CASE("an envelope with a missing or malformed part is refused")
{
    auto signed_bundle =
        sign_bundle(read_example("norte"), "n", secret_key::generate());
    REQUIRE(signed_bundle);
    auto check_refused = [&](const char* field, const nlohmann::json& value)
    {
        CAPTURE(field);
        auto document = nlohmann::json::parse(signed_bundle->to_text());
        document[field] = value;
        auto parsed_envelope = parse_envelope(document.dump(), "e");
        REQUIRE_FALSE(parsed_envelope);
        CHECK(
            parsed_envelope.error().path.starts_with("/" + std::string(field)));
    };
    check_refused("signature", "00");
    check_refused("key_id", 7);
    check_refused("bundle", nlohmann::json::array());
    check_refused("bundle", {{"version", "1"}});
    check_refused("comment", "x");
}

TEST_CASE("a secret key that others may read is refused")
{
    temporary_folder folder;
    auto path = folder.path_of("key");
    auto key = secret_key::generate();
    REQUIRE_FALSE(write_key_files(path, key));
    auto loaded_key = load_secret_key(path);
    REQUIRE(loaded_key);
    CHECK(loaded_key->to_public_key() == key.to_public_key());
    auto public_keys = load_trusted_keys(path + ".pub");
    REQUIRE(public_keys);
    CHECK(public_keys->verify(
        "x", key_id_of(key.to_public_key()), loaded_key->sign("x")));

    for (mode_t mode : {0640U, 0604U, 0601U, 0660U, 0700U})
    {
        CAPTURE(mode);
        REQUIRE(chmod(path.c_str(), mode) == 0);
        auto refused_key = load_secret_key(path);
        REQUIRE_FALSE(refused_key);
        CHECK(refused_key.error().find("0600") != std::string::npos);
    }
    REQUIRE(chmod(path.c_str(), 0400) == 0);
    CHECK(load_secret_key(path));
}

TEST_CASE("key files are never overwritten")
{
    temporary_folder folder;
    auto path = folder.path_of("key");
    REQUIRE_FALSE(write_key_files(path, secret_key::generate()));
    auto key_before = load_secret_key(path);
    REQUIRE(key_before);
    CHECK(write_key_files(path, secret_key::generate()));
    std::filesystem::remove(path + ".pub");
    CHECK(write_key_files(path, secret_key::generate()));
    auto key_after = load_secret_key(path);
    REQUIRE(key_after);
    CHECK(key_after->to_public_key() == key_before->to_public_key());
}

TEST_CASE("errors about keys never contain the key")
{
    auto short_seed = std::string(rfc_8032_seed).substr(1);
    REQUIRE(setenv("TURMERICLANE_TEST_KEY", short_seed.c_str(), 1) == 0);
    auto key_result = secret_key_from_environment("TURMERICLANE_TEST_KEY");
    unsetenv("TURMERICLANE_TEST_KEY");
    REQUIRE_FALSE(key_result);
    CHECK(
        key_result.error() ==
        "TURMERICLANE_TEST_KEY: not a secret key; expected 64 hexadecimal "
        "digits");
}

TEST_CASE("a list of trusted keys with an error is refused as a whole")
{
    auto first_key = to_hex(secret_key::generate().to_public_key());
    auto second_key = to_hex(secret_key::generate().to_public_key());
    auto keys =
        trusted_keys::parse(first_key + ", " + second_key + "\n" + first_key);
    REQUIRE(keys);
    CHECK(keys->size() == 2);
    CHECK_FALSE(trusted_keys::parse(first_key + ",abc"));
    CHECK_FALSE(trusted_keys::parse(" , "));
}
