#include "examples.h"

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

envelope sign(const nlohmann::json& document, const secret_key& key)
{
    auto made = sign_bundle(document.dump(), "test", key);
    REQUIRE(made);
    return *made;
}

nlohmann::json changed_norte()
{
    auto document = norte_version(2);
    document["services"][1]["groups"][3]["searchers"][0]["leaving"] = true;
    document["services"][0]["epoch"] = 2;
    document["policy"]["min_coverage"] = 0.25;
    return document;
}

} // namespace

TEST_CASE("a delta carries a signed version to the same content")
{
    auto key = secret_key::generate();
    auto base = sign(norte_version(1), key);
    auto later = sign(changed_norte(), key);
    auto delta = make_delta(base, later);
    REQUIRE(delta);
    CHECK(delta->to_text().size() < 1000);
    auto read = parse_delta(delta->to_text(), "peer");
    REQUIRE(read);
    auto result = apply_delta(base, *read);
    REQUIRE(result);
    CHECK(result->to_text() == later.to_text());
    CHECK(result->version == 2);
}

TEST_CASE("a delta that is no smaller than the bundle is not made")
{
    auto key = secret_key::generate();
    auto base = sign(norte_version(1), key);
    auto document = example_document("jamaica");
    document["version"] = 2;
    CHECK_FALSE(make_delta(base, sign(document, key)));
}

TEST_CASE("a delta is applied to its own base only")
{
    auto key = secret_key::generate();
    auto base = sign(norte_version(1), key);
    auto delta = make_delta(base, sign(changed_norte(), key));
    REQUIRE(delta);
    auto other_version = sign(norte_version(3), key);
    CHECK_FALSE(apply_delta(other_version, *delta));
    auto document = norte_version(1);
    document["max_instances"] = 8;
    CHECK_FALSE(apply_delta(sign(document, key), *delta));
}

TEST_CASE("a hostile patch is refused and doesn't stop the process")
{
    auto base = sign(norte_version(1), secret_key::generate());
    auto deep = std::string();
    for (int n = 0; n < 17; ++n)
        deep += "/a";
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
        R"([{"op":"add","path":")" + deep + R"(","value":1}])",
        R"([7])",
        R"({})",
        "[",
    };
    for (const auto& it : patches)
    {
        CAPTURE(it);
        bundle_delta delta;
        delta.base_version = base.version;
        delta.base_hash = hash_of(base.canonical);
        delta.patch = it;
        CHECK_FALSE(apply_delta(base, delta));
    }
}

TEST_CASE("a patch can't build a bundle above the size limit")
{
    auto base = sign(norte_version(1), secret_key::generate());
    bundle_delta delta;
    delta.base_version = base.version;
    delta.base_hash = hash_of(base.canonical);
    auto value = std::string(max_bundle_bytes - 100, 'x');
    delta.patch = R"([{"op":"add","path":"/x","value":")" + value + R"("}])";
    auto applied = apply_delta(base, delta);
    REQUIRE_FALSE(applied);
    CHECK(applied.error().detail == "the result is above the size limit");
}

TEST_CASE("a diff names elements by key, whatever their position")
{
    auto before = norte_version(1);
    auto after = changed_norte();
    auto& replicas = after["services"][0]["groups"][0]["searchers"];
    replicas.erase(0);
    replicas.push_back(
        {{"id", 500},
         {"address", "127.0.0.1"},
         {"port", 24000},
         {"data_centre", "bilbao"},
         {"leaving", false}});
    std::swap(after["services"][2], after["services"][3]);
    auto changes = diff_bundles(before.dump(), "a", after.dump(), "b");
    REQUIRE(changes);

    std::vector<std::string> lines;
    for (const auto& it : *changes)
        lines.push_back(
            std::string(to_string(it.kind)) + " " +
            std::string(to_string(it.subject)) + " " + it.path + " " +
            it.old_value.substr(0, 12) + ">" + it.new_value.substr(0, 12));
    const std::string leaving =
        "/services/dues_ledger/groups/3/searchers/40/leaving";
    const std::string replicas_path =
        "/services/phone_desk/groups/0/searchers/";
    const std::vector<std::string> expected = {
        "changed search_policy /policy/min_coverage 0>0.25",
        "changed searcher " + leaving + " false>true",
        "changed service /services/phone_desk/epoch 1>2",
        "removed searcher " + replicas_path + "1 {\"address\":\">",
        "added searcher " + replicas_path + "500 >{\"address\":\"",
        "changed setting /version 1>2"};
    CHECK(lines == expected);
}

// Guards against a diff that throws on a field that only one version has.
TEST_CASE("a diff shows that an optional field comes, changes and goes")
{
    auto before = norte_version(1);
    auto after = before;
    after["ordinal_data_centres"].push_back("bilbao");
    auto changed = diff_bundles(before.dump(), "a", after.dump(), "b");
    REQUIRE(changed);
    REQUIRE(changed->size() == 1);
    CHECK(changed->front().kind == change_kind::changed);
    CHECK(changed->front().path == "/ordinal_data_centres");
    before.erase("ordinal_data_centres");
    auto added = diff_bundles(before.dump(), "a", after.dump(), "b");
    REQUIRE(added);
    REQUIRE(added->size() == 1);
    CHECK(added->front().kind == change_kind::added);
    auto removed = diff_bundles(after.dump(), "a", before.dump(), "b");
    REQUIRE(removed);
    REQUIRE(removed->size() == 1);
    CHECK(removed->front().kind == change_kind::removed);
}

TEST_CASE("a diff of a bundle with an error names the file")
{
    auto changes = diff_bundles(read_example("norte"), "a", "{}", "b.json");
    REQUIRE_FALSE(changes);
    CHECK(changes.error().file == "b.json");
}
