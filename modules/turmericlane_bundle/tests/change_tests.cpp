#include "examples.h"

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

envelope sign_document(const nlohmann::json& document, const secret_key& key)
{
    auto signed_bundle = sign_bundle(document.dump(), "test", key);
    REQUIRE(signed_bundle);
    return *signed_bundle;
}

nlohmann::json norte_with_changes()
{
    auto document = norte_version(2);
    document["services"][1]["groups"][3]["searchers"][0]["leaving"] = true;
    document["services"][0]["epoch"] = 2;
    document["policy"]["min_coverage"] = 0.25;
    return document;
}

} // namespace

TEST_CASE("applying a delta gives the same signed version")
{
    auto key = secret_key::generate();
    auto base = sign_document(norte_version(1), key);
    auto later_envelope = sign_document(norte_with_changes(), key);
    auto delta = make_delta(base, later_envelope);
    REQUIRE(delta);
    CHECK(delta->to_text().size() < 1000);
    auto parsed_delta = parse_delta(delta->to_text(), "peer");
    REQUIRE(parsed_delta);
    auto patch_result = apply_delta(base, *parsed_delta);
    REQUIRE(patch_result);
    CHECK(patch_result->to_text() == later_envelope.to_text());
    CHECK(patch_result->version == 2);
}

TEST_CASE("no delta is made that is as large as the bundle or larger")
{
    auto key = secret_key::generate();
    auto base = sign_document(norte_version(1), key);
    auto document = example_document("jamaica");
    document["version"] = 2;
    CHECK_FALSE(make_delta(base, sign_document(document, key)));
}

TEST_CASE("a delta applies only to its own base")
{
    auto key = secret_key::generate();
    auto base = sign_document(norte_version(1), key);
    auto delta = make_delta(base, sign_document(norte_with_changes(), key));
    REQUIRE(delta);
    auto other_version = sign_document(norte_version(3), key);
    CHECK_FALSE(apply_delta(other_version, *delta));
    auto document = norte_version(1);
    document["max_instances"] = 8;
    CHECK_FALSE(apply_delta(sign_document(document, key), *delta));
}

TEST_CASE("a hostile patch is refused and doesn't stop the process")
{
    auto base = sign_document(norte_version(1), secret_key::generate());
    auto deep_path = std::string();
    for (int n = 0; n < 17; ++n)
        deep_path += "/a";
    const std::string patches[] = {
        R"([{"op":"copy","from":"/services","path":"/services/-"}])",
        R"([{"op":"move","from":"/ranks","path":"/policy"}])",
        R"([{"op":"add","path":"/version/x","value":1}])",
        R"([{"op":"add","path":"/services/999999999999","value":1}])",
        R"([{"op":"add","path":"/services/99999999999999999999","value":1}])",
        R"([{"op":"remove","path":""}])",
        R"([{"op":"replace","path":"","value":[]}])",
        R"([{"op":"remove","path":"/version"}])",
        R"([{"op":"replace","path":"/version","value":-1}])",
        R"([{"op":"test","path":"/version","value":9}])",
        R"([{"op":"add","path":"/a"}])",
        R"([{"op":"add","path":7,"value":1}])",
        R"([{"path":"/a","value":1}])",
        R"([{"op":"add","path":"no slash","value":1}])",
        R"([{"op":"add","path":"/a~2","value":1}])",
        R"([{"op":"add","path":")" + deep_path + R"(","value":1}])",
        R"([7])",
        R"({})",
        "[",
    };
    for (const auto& patch : patches)
    {
        CAPTURE(patch);
        bundle_delta delta;
        delta.base_version = base.version;
        delta.base_hash = hash_of(base.canonical_bundle);
        delta.patch = patch;
        CHECK_FALSE(apply_delta(base, delta));
    }
}

TEST_CASE("a patch can't build a bundle above the size limit")
{
    auto base = sign_document(norte_version(1), secret_key::generate());
    bundle_delta delta;
    delta.base_version = base.version;
    delta.base_hash = hash_of(base.canonical_bundle);
    auto value = std::string(max_bundle_bytes - 100, 'x');
    delta.patch = R"([{"op":"add","path":"/x","value":")" + value + R"("}])";
    auto patch_result = apply_delta(base, delta);
    REQUIRE_FALSE(patch_result);
    CHECK(patch_result.error().detail == "the result is above the size limit");
}

TEST_CASE("a diff identifies elements by key, not by position")
{
    auto old_document = norte_version(1);
    auto new_document = norte_with_changes();
    auto& searchers = new_document["services"][0]["groups"][0]["searchers"];
    searchers.erase(0);
    searchers.push_back(
        {{"id", 500},
         {"address", "127.0.0.1"},
         {"port", 24000},
         {"data_centre", "bilbao"},
         {"leaving", false}});
    std::swap(new_document["services"][2], new_document["services"][3]);
    auto changes =
        diff_bundles(old_document.dump(), "a", new_document.dump(), "b");
    REQUIRE(changes);

    std::vector<std::string> lines;
    for (const auto& it : *changes)
        lines.push_back(
            std::string(to_string(it.kind)) + " " +
            std::string(to_string(it.subject)) + " " + it.path + " " +
            it.old_value.substr(0, 12) + ">" + it.new_value.substr(0, 12));
    const std::string leaving_path =
        "/services/dues_ledger/groups/3/searchers/40/leaving";
    const std::string searchers_path =
        "/services/phone_desk/groups/0/searchers/";
    const std::vector<std::string> expected = {
        "changed search_policy /policy/min_coverage 0>0.25",
        "changed searcher " + leaving_path + " false>true",
        "changed service /services/phone_desk/epoch 1>2",
        "removed searcher " + searchers_path + "1 {\"address\":\">",
        "added searcher " + searchers_path + "500 >{\"address\":\"",
        "changed setting /version 1>2"};
    CHECK(lines == expected);
}

// Guards against a diff that throws if only one version has a field.
TEST_CASE("a diff shows an optional field that is added, changed or removed")
{
    auto old_document = norte_version(1);
    auto new_document = old_document;
    new_document["ordinal_data_centres"].push_back("bilbao");
    auto value_changes =
        diff_bundles(old_document.dump(), "a", new_document.dump(), "b");
    REQUIRE(value_changes);
    REQUIRE(value_changes->size() == 1);
    CHECK(value_changes->front().kind == change_kind::changed);
    CHECK(value_changes->front().path == "/ordinal_data_centres");
    old_document.erase("ordinal_data_centres");
    auto additions =
        diff_bundles(old_document.dump(), "a", new_document.dump(), "b");
    REQUIRE(additions);
    REQUIRE(additions->size() == 1);
    CHECK(additions->front().kind == change_kind::added);
    auto removals =
        diff_bundles(new_document.dump(), "a", old_document.dump(), "b");
    REQUIRE(removals);
    REQUIRE(removals->size() == 1);
    CHECK(removals->front().kind == change_kind::removed);
}

TEST_CASE("the error of a diff contains the name of the invalid file")
{
    auto changes = diff_bundles(read_example("norte"), "a", "{}", "b.json");
    REQUIRE_FALSE(changes);
    CHECK(changes.error().file == "b.json");
}
