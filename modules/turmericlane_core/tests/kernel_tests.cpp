#include <turmericlane_core/turmericlane_core.h>

#include <doctest/doctest.h>

using namespace turmericlane;

namespace
{

class recording_service final : public service
{
public:
    recording_service(
        std::string name,
        std::vector<std::string>& calls,
        bool is_failing = false)
        : name_(std::move(name))
        , calls_(calls)
        , is_failing_(is_failing)
    {
    }

    std::string_view name() const noexcept override
    {
        return name_;
    }

    std::optional<std::string> start(kernel&) override
    {
        if (is_failing_)
            return "port is taken";
        calls_.push_back("start " + name_);
        return std::nullopt;
    }

    void stop() override
    {
        calls_.push_back("stop " + name_);
    }

private:
    std::string name_;
    std::vector<std::string>& calls_;
    bool is_failing_;
};

} // namespace

TEST_CASE("services stop in the reverse order of their start")
{
    std::vector<std::string> calls;
    kernel test_kernel;
    test_kernel.add(std::make_shared<recording_service>("a", calls));
    test_kernel.add(std::make_shared<recording_service>("b", calls));
    CHECK_FALSE(test_kernel.start());
    test_kernel.stop();
    CHECK(
        calls ==
        std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

TEST_CASE("a failed start stops the started services and names the failed one")
{
    std::vector<std::string> calls;
    kernel test_kernel;
    test_kernel.add(std::make_shared<recording_service>("a", calls));
    test_kernel.add(std::make_shared<recording_service>("b", calls, true));
    CHECK(test_kernel.start() == "b: port is taken");
    CHECK(calls == std::vector<std::string>{"start a", "stop a"});
}

TEST_CASE("each wire value of a reason is read back as that reason")
{
    for (auto it : all_reasons())
    {
        CHECK(parse_reason(static_cast<std::uint8_t>(it)) == it);
        CHECK(to_string(it) != "unknown");
    }
    CHECK_FALSE(parse_reason(255));
}

TEST_CASE("each rank name is read back as that rank")
{
    for (auto it : all_ranks)
        CHECK(parse_rank(to_string(it)) == it);
    CHECK_FALSE(parse_rank("vital"));
}
