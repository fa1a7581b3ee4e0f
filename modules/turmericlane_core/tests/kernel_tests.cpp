#include <turmericlane_core/turmericlane_core.h>

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

class recording_service final : public service
{
public:
    recording_service(
        std::string name, std::vector<std::string>& journal, bool fails = false)
        : name_(std::move(name))
        , journal_(journal)
        , fails_(fails)
    {
    }

    std::string_view name() const noexcept override
    {
        return name_;
    }

    std::optional<std::string> start(kernel&) override
    {
        if (fails_)
            return "port is taken";
        journal_.push_back("start " + name_);
        return std::nullopt;
    }

    void stop() override
    {
        journal_.push_back("stop " + name_);
    }

private:
    std::string name_;
    std::vector<std::string>& journal_;
    bool fails_;
};

} // namespace

TEST_CASE("services stop in the reverse order of their start")
{
    std::vector<std::string> journal;
    kernel tested;
    tested.add(std::make_shared<recording_service>("a", journal));
    tested.add(std::make_shared<recording_service>("b", journal));
    CHECK_FALSE(tested.start());
    tested.stop();
    CHECK(
        journal ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

TEST_CASE("a failed start stops what was started and names the service")
{
    std::vector<std::string> journal;
    kernel tested;
    tested.add(std::make_shared<recording_service>("a", journal));
    tested.add(std::make_shared<recording_service>("b", journal, true));
    CHECK(tested.start() == "b: port is taken");
    CHECK(journal == std::vector<std::string>{"start a", "stop a"});
}

TEST_CASE("reason values survive the round trip over the wire")
{
    for (auto it : all_reasons())
    {
        CHECK(parse_reason(static_cast<std::uint8_t>(it)) == it);
        CHECK(to_string(it) != "unknown");
    }
    CHECK_FALSE(parse_reason(255));
}

TEST_CASE("rank names survive the round trip")
{
    for (auto it : all_ranks)
        CHECK(parse_rank(to_string(it)) == it);
    CHECK_FALSE(parse_rank("vital"));
}
