#include "examples.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

using namespace turmericlane;

namespace
{

/** A folder that is removed with its files. */
class scratch_folder
{
public:
    scratch_folder()
    {
        auto pattern =
            (std::filesystem::temp_directory_path() / "bundle_tests.XXXXXX")
                .string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        path_ = pattern;
    }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    ~scratch_folder()
    {
        std::filesystem::remove_all(path_);
    }
    std::string file(const char* name) const
    {
        return path_ + "/" + name;
    }

private:
    std::string path_;
};

constexpr const char* rfc_8032_seed =
    "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60";

} // namespace

TEST_CASE("keys and signatures agree with RFC 8032, test 1")
{
    auto key = secret_key::from_hex_seed(rfc_8032_seed);
    REQUIRE(key);
    CHECK(
        to_hex(key->to_public()) ==
        "d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a");
    CHECK(
        to_hex(key->sign("")) ==
        "e5564300c360ac729086e2cc806e828a84877f1eb8e5d974d873e06522490155"
        "5fb8821590a33bacc61e39701cf9b46bd25bf5f0595bbe24655141438e7a100b");
}

TEST_CASE("a signature covers the content and names its key")
{
    auto key = secret_key::generate();
    auto other = secret_key::generate();
    auto text = read_example("jamaica");
    auto made = sign_bundle(text, "jamaica.json", key);
    REQUIRE(made);
    auto read = parse_envelope(made->to_text(), "envelope");
    REQUIRE(read);
    CHECK(read->canonical == made->canonical);
    CHECK(read->version == 1);

    trusted_keys trusted;
    CHECK_FALSE(verify_envelope(*read, trusted));
    trusted.add(other.to_public());
    CHECK_FALSE(verify_envelope(*read, trusted));
    trusted.add(key.to_public());
    CHECK(verify_envelope(*read, trusted));

    auto changed = *read;
    changed.canonical.back() = ' ';
    CHECK_FALSE(verify_envelope(changed, trusted));
    changed = *read;
    changed.signer = id_of(other.to_public());
    CHECK_FALSE(verify_envelope(changed, trusted));
}

TEST_CASE("a bundle with an error is not signed")
{
    auto document = example_document("norte");
    document["max_instances"] = 0;
    auto made =
        sign_bundle(document.dump(), "norte.json", secret_key::generate());
    REQUIRE_FALSE(made);
    CHECK(
        made.error().to_string() ==
        "norte.json: /max_instances: 0 is out of range; accepted: 1 to "
        "100000");
}

TEST_CASE("an envelope with a missing or malformed part is refused")
{
    auto made = sign_bundle(read_example("norte"), "n", secret_key::generate());
    REQUIRE(made);
    auto check = [&](const char* field, const nlohmann::json& value)
    {
        CAPTURE(field);
        auto document = nlohmann::json::parse(made->to_text());
        document[field] = value;
        auto read = parse_envelope(document.dump(), "e");
        REQUIRE_FALSE(read);
        CHECK(read.error().path.starts_with("/" + std::string(field)));
    };
    check("signature", "00");
    check("key_id", 7);
    check("bundle", nlohmann::json::array());
    check("bundle", {{"version", "1"}});
    check("comment", "x");
}

TEST_CASE("a secret key that others may read is refused")
{
    scratch_folder folder;
    auto path = folder.file("key");
    auto key = secret_key::generate();
    REQUIRE_FALSE(write_key_files(path, key));
    auto loaded = load_secret_key(path);
    REQUIRE(loaded);
    CHECK(loaded->to_public() == key.to_public());
    auto trusted = load_trusted_keys(path + ".pub");
    REQUIRE(trusted);
    CHECK(trusted->verify("x", id_of(key.to_public()), loaded->sign("x")));

    for (mode_t mode : {0640U, 0604U, 0601U, 0660U, 0700U})
    {
        CAPTURE(mode);
        REQUIRE(chmod(path.c_str(), mode) == 0);
        auto refused = load_secret_key(path);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().find("0600") != std::string::npos);
    }
    REQUIRE(chmod(path.c_str(), 0400) == 0);
    CHECK(load_secret_key(path));
}

TEST_CASE("key files are never overwritten")
{
    scratch_folder folder;
    auto path = folder.file("key");
    REQUIRE_FALSE(write_key_files(path, secret_key::generate()));
    auto before = load_secret_key(path);
    REQUIRE(before);
    CHECK(write_key_files(path, secret_key::generate()));
    std::filesystem::remove(path + ".pub");
    CHECK(write_key_files(path, secret_key::generate()));
    auto after = load_secret_key(path);
    REQUIRE(after);
    CHECK(after->to_public() == before->to_public());
}

TEST_CASE("errors about keys never repeat the key")
{
    auto almost = std::string(rfc_8032_seed).substr(1);
    REQUIRE(setenv("TURMERICLANE_TEST_KEY", almost.c_str(), 1) == 0);
    auto refused = secret_key_from_environment("TURMERICLANE_TEST_KEY");
    unsetenv("TURMERICLANE_TEST_KEY");
    REQUIRE_FALSE(refused);
    CHECK(
        refused.error() ==
        "TURMERICLANE_TEST_KEY: not a secret key; expected 64 hexadecimal "
        "digits");
}

TEST_CASE("a list of trusted keys with an error is refused as a whole")
{
    auto first = to_hex(secret_key::generate().to_public());
    auto second = to_hex(secret_key::generate().to_public());
    auto keys = trusted_keys::parse(first + ", " + second + "\n" + first);
    REQUIRE(keys);
    CHECK(keys->size() == 2);
    CHECK_FALSE(trusted_keys::parse(first + ",abc"));
    CHECK_FALSE(trusted_keys::parse(" , "));
}
