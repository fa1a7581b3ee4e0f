#include "examples.h"

#include <doctest/doctest.h>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

class recording_listener final : public version_listener
{
public:
    void version_accepted(
        std::shared_ptr<const bundle> in_force, version_origin origin) override
    {
        journal.push_back(
            "accepted " + std::to_string(in_force->version) + " " +
            std::string(to_string(origin.source)));
    }

    void version_refused(
        reason why,
        std::uint64_t version,
        version_origin origin,
        std::string_view) override
    {
        journal.push_back(
            "refused " + std::to_string(version) + " " +
            std::string(to_string(origin.source)) + " " +
            std::string(to_string(why)));
    }

    std::vector<std::string> journal;
};

struct fixture
{
    std::string signed_text(const nlohmann::json& document) const
    {
        auto made = sign_bundle(document.dump(), "test", key);
        REQUIRE(made);
        return made->to_text();
    }

    static trusted_keys trust(const secret_key& key)
    {
        trusted_keys trusted;
        trusted.add(key.to_public_key());
        return trusted;
    }

    secret_key key = secret_key::generate();
    manual_clock time;
    recording_listener listener;
    version_store store{trust(key), time, &listener};
    version_origin platform = version_origin::from_platform();
    version_origin peer = version_origin::from_peer(4);
};

} // namespace

TEST_CASE("a lower version from any source never replaces a higher one")
{
    fixture it;
    auto second = it.signed_text(norte_version(2));
    auto third = it.signed_text(norte_version(3));
    CHECK(it.store.offer(third, it.peer).state == offer_result::accepted);
    for (auto origin : {it.platform, it.peer})
    {
        auto outcome = it.store.offer(second, origin);
        CHECK(outcome.state == offer_result::refused);
        CHECK(outcome.why == reason::stale_version);
    }
    CHECK(it.store.version() == 3);
    CHECK(it.store.in_force()->version == 3);
    CHECK(
        it.listener.journal == std::vector<std::string>{
                                   "accepted 3 peer",
                                   "refused 2 platform stale_version",
                                   "refused 2 peer stale_version"});
}

TEST_CASE("other content under the version in force is refused")
{
    fixture it;
    auto text = it.signed_text(norte_version(1));
    it.store.offer(text, it.platform);
    CHECK(it.store.offer(text, it.peer).state == offer_result::unchanged);
    auto document = norte_version(1);
    document["max_instances"] = 8;
    auto outcome = it.store.offer(it.signed_text(document), it.platform);
    CHECK(outcome.why == reason::version_conflict);
    CHECK(it.store.in_force()->max_instances == 9);
}

TEST_CASE("an envelope that no trusted key signed is refused")
{
    fixture it;
    auto foreign =
        sign_bundle(norte_version(5).dump(), "test", secret_key::generate());
    REQUIRE(foreign);
    CHECK(
        it.store.offer(foreign->to_text(), it.platform).why ==
        reason::bad_signature);

    auto document = nlohmann::json::parse(it.signed_text(norte_version(1)));
    document["bundle"]["version"] = 9;
    CHECK(
        it.store.offer(document.dump(), it.peer).why == reason::bad_signature);
    CHECK(it.store.in_force() == nullptr);
    CHECK(it.store.version() == 0);
}

TEST_CASE("a signed bundle that doesn't pass the checks is refused")
{
    fixture it;
    auto document = norte_version(1);
    document["services"][0]["slots"] = 0;
    envelope made;
    made.canonical_bundle = canonical_text(document);
    made.signer = key_id_of(it.key.to_public_key());
    made.signature = it.key.sign(made.canonical_bundle);
    auto outcome = it.store.offer(made.to_text(), it.platform);
    CHECK(outcome.why == reason::bad_bundle);
    CHECK(outcome.detail.find("/services/0/slots") != std::string::npos);
    CHECK(it.store.offer("{", it.peer).why == reason::bad_bundle);
    CHECK(it.store.in_force() == nullptr);
}

TEST_CASE("a delta is accepted only if its result carries the signature")
{
    fixture it;
    it.store.offer(it.signed_text(norte_version(1)), it.platform);
    auto base = *it.store.in_force_envelope();
    auto later = parse_envelope(it.signed_text(norte_version(2)), "test");
    REQUIRE(later);
    auto delta = make_delta(base, *later);
    REQUIRE(delta);

    auto forged = *delta;
    forged.patch = R"([{"op":"replace","path":"/version","value":7}])";
    CHECK(
        it.store.offer_delta(forged.to_text(), it.peer).why ==
        reason::bad_signature);
    CHECK(
        it.store.offer_delta(delta->to_text(), it.peer).state ==
        offer_result::accepted);
    CHECK(it.store.version() == 2);
    CHECK(it.store.in_force_envelope()->to_text() == later->to_text());
    CHECK(
        it.store.offer_delta(delta->to_text(), it.peer).why ==
        reason::stale_version);
}

TEST_CASE("a peer a few versions behind gets a delta, others the whole")
{
    fixture it;
    for (std::uint64_t n = 1; n <= 7; ++n)
        it.store.offer(it.signed_text(norte_version(n)), it.platform);
    CHECK_FALSE(it.store.delta_from(2));
    CHECK_FALSE(it.store.delta_from(7));
    auto delta = it.store.delta_from(3);
    REQUIRE(delta);

    version_store behind(fixture::trust(it.key), it.time, nullptr);
    behind.offer(it.signed_text(norte_version(3)), it.platform);
    CHECK(
        behind.offer_delta(delta->to_text(), it.peer).state ==
        offer_result::accepted);
    CHECK(behind.version() == 7);
}

TEST_CASE("age and source tell a stale version from a confirmed one")
{
    fixture it;
    CHECK(it.store.age() == duration::zero());
    CHECK(it.store.on_peer_version(4, 1));
    it.store.offer(it.signed_text(norte_version(1)), it.platform);
    CHECK_FALSE(it.store.confirmed());
    it.time.advance(10s);
    CHECK(it.store.age() == 10s);
    CHECK(it.store.since_confirmed() == 10s);

    CHECK_FALSE(it.store.on_peer_version(4, 1));
    CHECK(it.store.confirmed());
    CHECK(it.store.since_confirmed() == duration::zero());
    CHECK(it.store.age() == 10s);
    CHECK(it.store.origin().source == version_source::platform);

    it.time.advance(5s);
    it.store.on_platform_unchanged();
    CHECK(it.store.since_confirmed() == duration::zero());
    it.store.on_pause_detected();
    CHECK_FALSE(it.store.confirmed());

    CHECK(it.store.on_peer_version(4, 2));
    it.store.offer(it.signed_text(norte_version(2)), it.peer);
    CHECK(it.store.confirmed());
    CHECK(it.store.age() == duration::zero());
    CHECK(it.store.origin().source == version_source::peer);
    CHECK(it.store.origin().peer == 4);
}
