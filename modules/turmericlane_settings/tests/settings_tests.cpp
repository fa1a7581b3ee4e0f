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
        auto position = variables.find(variable);
        if (position == variables.end())
            return std::nullopt;
        return position->second;
    }

    std::map<std::string, std::string> variables;
};

struct fixture
{
    parse_outcome parse(std::vector<const char*> arguments)
    {
        return program_settings.parse(arguments, variables, 1);
    }

    fixed_environment variables;
    settings program_settings{"tested [FLAGS] [FILE]", "Program under test."};
    integer_setting& port = program_settings.add<integer_setting>(
        {"peer-port", "port for peers", "port"}, 7000, 1, 65535);
    millisecond_setting& pause = program_settings.add<millisecond_setting>(
        {"pause-limit", "longest pause"}, 500ms, 10ms, 60s);
    real_setting& share =
        program_settings.add<real_setting>({"share", "a share"}, 0.5, 0.0, 1.0);
    flag_setting& json =
        program_settings.add<flag_setting>({"json", "print JSON"});
    choice_setting& rank = program_settings.add<choice_setting>(
        {"rank", "rank of work"},
        std::vector<std::string>{"ordinary", "urgent"});
    text_setting& file = program_settings.add<text_setting>(
        {"key-file", "key"}, "file name", 20);
    endpoint_list_setting& peers =
        program_settings.add<endpoint_list_setting>({"peers", "peers"}, 2);
    text_setting& secret = program_settings.add<text_setting>(
        {"peer-key", "key", "", false, true}, "key", 4);
};

std::string error_of(std::vector<const char*> arguments)
{
    fixture it;
    auto outcome = it.parse(std::move(arguments));
    CHECK(outcome.state == parse_state::invalid);
    CHECK(outcome.error.find('\n') == std::string::npos);
    return outcome.error;
}

} // namespace

TEST_CASE(
    "flags take precedence over the environment, and both over the default")
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
    CHECK(it.pause.as_duration() == 20ms);
    CHECK(it.share.value() == 0.5);
    CHECK(it.json.value());
    CHECK(it.rank.value() == "urgent");
    CHECK(it.secret.value() == "abcd");
    CHECK(outcome.arguments == std::vector<std::string>{"file"});
    REQUIRE(it.peers.value().size() == 2);
    CHECK(it.peers.value()[1] == ip_endpoint{"::1", 2});
    CHECK(it.peers.text() == "127.0.0.1:1,[::1]:2");
}

TEST_CASE("the error about a value names the setting, value and accepted range")
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

TEST_CASE("unknown flags, missing values and repeated flags are errors")
{
    CHECK(error_of({"--port", "1"}) == "--port: unknown flag; see --help");
    CHECK(error_of({"-x"}) == "-x: unknown flag; see --help");
    CHECK(error_of({"--peer-port"}) == "--peer-port: the value is missing");
    CHECK(
        error_of({"--rank=urgent", "--rank=urgent"}) == "--rank: given twice");
    CHECK(error_of({"a", "b"}).find("\"b\"") != std::string::npos);
}

TEST_CASE("a secret setting has no flag and its value is not printed")
{
    CHECK(error_of({"--peer-key=abcd"}).find("unknown") != std::string::npos);
    fixture it;
    it.variables.variables = {{"TURMERICLANE_PEER_KEY", "abcdefgh"}};
    auto outcome = it.parse({});
    CHECK(outcome.state == parse_state::invalid);
    CHECK(outcome.error.find("abcdefgh") == std::string::npos);

    fixture allowed_secret;
    allowed_secret.variables.variables = {{"TURMERICLANE_PEER_KEY", "wxyz"}};
    CHECK(allowed_secret.parse({}).state == parse_state::ready);
    for (const auto& line : allowed_secret.program_settings.describe())
        CHECK(line.find("wxyz") == std::string::npos);
    CHECK(
        allowed_secret.program_settings.help().find("wxyz") ==
        std::string::npos);
}

TEST_CASE("the error about a missing setting names its flag and variable")
{
    settings program_settings("tested", "Program under test.");
    program_settings.add<integer_setting>(
        {"ordinal", "index of the instance", "", true}, 0, 0, 8);
    fixed_environment empty_environment;
    CHECK(
        program_settings.parse({}, empty_environment).error ==
        "--ordinal or TURMERICLANE_ORDINAL: the value is missing; accepted: "
        "0 to 8");
}

TEST_CASE("the help text states variable, default, unit and accepted range")
{
    fixture it;
    CHECK(it.parse({"--peer-port", "--help"}).state == parse_state::invalid);
    fixture invalid_rank;
    CHECK(invalid_rank.parse({"--rank=vital"}).state == parse_state::invalid);
    fixture help_requested;
    CHECK(help_requested.parse({"--help"}).state == parse_state::help);
    auto text = help_requested.program_settings.help();
    CHECK(
        text.find("  --peer-port=VALUE\n"
                  "      port for peers\n"
                  "      1 to 65535 (port); default 7000; "
                  "TURMERICLANE_PEER_PORT\n") != std::string::npos);
}
