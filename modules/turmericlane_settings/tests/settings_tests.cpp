#include <turmericlane_settings/turmericlane_settings.h>

#include <doctest/doctest.h>

#include <map>

using namespace turmericlane;
using namespace std::chrono_literals;

namespace
{

class fixed_environment final : public environment
{
public:
    std::optional<std::string> find(const std::string& variable) const override
    {
        auto found = variables.find(variable);
        if (found == variables.end())
            return std::nullopt;
        return found->second;
    }

    std::map<std::string, std::string> variables;
};

struct fixture
{
    parse_outcome parse(std::vector<const char*> arguments)
    {
        return declared.parse(arguments, variables, 1);
    }

    fixed_environment variables;
    settings declared{"tested [FLAGS] [FILE]", "Program under test."};
    integer_setting& port = declared.add<integer_setting>(
        {"peer-port", "port for peers", "port"}, 7000, 1, 65535);
    millisecond_setting& pause = declared.add<millisecond_setting>(
        {"pause-limit", "longest pause"}, 500ms, 10ms, 60s);
    real_setting& share =
        declared.add<real_setting>({"share", "a share"}, 0.5, 0.0, 1.0);
    flag_setting& json = declared.add<flag_setting>({"json", "print JSON"});
    choice_setting& rank = declared.add<choice_setting>(
        {"rank", "rank of work"},
        std::vector<std::string>{"ordinary", "urgent"});
    text_setting& file =
        declared.add<text_setting>({"key-file", "key"}, "file name", 20);
    endpoint_list_setting& peers =
        declared.add<endpoint_list_setting>({"peers", "peers"}, 2);
    text_setting& secret = declared.add<text_setting>(
        {"peer-key", "key", "", false, true}, "key", 4);
};

std::string error_of(std::vector<const char*> arguments)
{
    fixture it;
    auto outcome = it.parse(std::move(arguments));
    CHECK(outcome.state == parse_state::wrong);
    CHECK(outcome.error.find('\n') == std::string::npos);
    return outcome.error;
}

} // namespace

TEST_CASE("a flag goes before the environment, which goes before the default")
{
    fixture it;
    it.variables.variables = {
        {"TURMERICLANE_PEER_PORT", "8000"},
        {"TURMERICLANE_PAUSE_LIMIT", "20"},
        {"TURMERICLANE_JSON", "1"},
        {"TURMERICLANE_SHARE", ""},
        {"TURMERICLANE_PEER_KEY", "abcd"}};
    auto outcome = it.parse(
        {"--peer-port", "9000", "file", "--rank=urgent", "--peers",
         "127.0.0.1:1,[::1]:2"});
    CHECK_MESSAGE(outcome.state == parse_state::ready, outcome.error);
    CHECK(it.port.value() == 9000);
    CHECK(it.pause.span() == 20ms);
    CHECK(it.share.value() == 0.5);
    CHECK(it.json.value());
    CHECK(it.rank.value() == "urgent");
    CHECK(it.secret.value() == "abcd");
    CHECK(outcome.arguments == std::vector<std::string>{"file"});
    REQUIRE(it.peers.value().size() == 2);
    CHECK(it.peers.value()[1] == ip_endpoint{"::1", 2});
    CHECK(it.peers.text() == "127.0.0.1:1,[::1]:2");
}

TEST_CASE("a wrong value is named with setting and accepted range")
{
    CHECK(
        error_of({"--peer-port=70000"}) ==
        "--peer-port: \"70000\" is wrong; accepted: 1 to 65535 (port)");
    CHECK(
        error_of({"--pause-limit", "5"}) ==
        "--pause-limit: \"5\" is wrong; accepted: 10 to 60000 (ms)");
    for (const auto* it :
         {"--peer-port=", "--peer-port=1x", "--peer-port= 1",
          "--peer-port=0x10", "--peer-port=-1",
          "--peer-port=99999999999999999999", "--share=nan", "--share=1.01",
          "--rank=vital", "--json=maybe",
          "--key-file=", "--key-file=123456789012345678901",
          "--peers=localhost:1", "--peers=127.0.0.1:0", "--peers=127.0.0.1:1,",
          "--peers=::1:2", "--peers=1.1.1.1:1,1.1.1.1:2,1.1.1.1:3"})
    {
        CAPTURE(it);
        CHECK(error_of({it}).find("accepted: ") != std::string::npos);
    }
    CHECK(error_of({"--rank", "a\nb"}).find("\"a?b\"") != std::string::npos);

    fixture it;
    it.variables.variables = {{"TURMERICLANE_SHARE", "2"}};
    CHECK(
        it.parse({}).error ==
        "TURMERICLANE_SHARE: \"2\" is wrong; accepted: 0 to 1");
}

TEST_CASE("flags that don't exist, lack a value or repeat are errors")
{
    CHECK(error_of({"--port", "1"}) == "--port: unknown flag; see --help");
    CHECK(error_of({"-x"}) == "-x: unknown flag; see --help");
    CHECK(error_of({"--peer-port"}) == "--peer-port: the value is missing");
    CHECK(
        error_of({"--rank=urgent", "--rank=urgent"}) == "--rank: given twice");
    CHECK(error_of({"a", "b"}).find("\"b\"") != std::string::npos);
}

TEST_CASE("a secret is neither a flag nor printed")
{
    CHECK(error_of({"--peer-key=abcd"}).find("unknown") != std::string::npos);
    fixture it;
    it.variables.variables = {{"TURMERICLANE_PEER_KEY", "abcdefgh"}};
    auto outcome = it.parse({});
    CHECK(outcome.state == parse_state::wrong);
    CHECK(outcome.error.find("abcdefgh") == std::string::npos);

    fixture other;
    other.variables.variables = {{"TURMERICLANE_PEER_KEY", "wxyz"}};
    CHECK(other.parse({}).state == parse_state::ready);
    for (const auto& line : other.declared.describe())
        CHECK(line.find("wxyz") == std::string::npos);
    CHECK(other.declared.help().find("wxyz") == std::string::npos);
}

TEST_CASE("a missing required setting is named with flag and variable")
{
    settings declared("tested", "Program under test.");
    declared.add<integer_setting>(
        {"ordinal", "index of the instance", "", true}, 0, 0, 8);
    fixed_environment none;
    CHECK(
        declared.parse({}, none).error ==
        "--ordinal or TURMERICLANE_ORDINAL: the value is missing; accepted: "
        "0 to 8");
}

TEST_CASE("the help states variable, default, unit and range")
{
    fixture it;
    CHECK(it.parse({"--peer-port", "--help"}).state == parse_state::wrong);
    fixture other;
    CHECK(other.parse({"--rank=vital"}).state == parse_state::wrong);
    fixture third;
    CHECK(third.parse({"--help"}).state == parse_state::help);
    auto text = third.declared.help();
    CHECK(
        text.find("  --peer-port=VALUE\n"
                  "      port for peers\n"
                  "      1 to 65535 (port); default 7000; "
                  "TURMERICLANE_PEER_PORT\n") != std::string::npos);
}
