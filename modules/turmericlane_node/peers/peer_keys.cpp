#include "peer_keys.h"

#include <sys/stat.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

namespace turmericlane
{

namespace
{

using key_list_result = result<shared_key_list>;

constexpr std::string_view environment_prefix = "env:";

result<std::string> read_key_text(const std::string& path)
{
    if (path.starts_with(environment_prefix))
    {
        const auto variable = path.substr(environment_prefix.size());
        const auto* value = std::getenv(variable.c_str());
        if (value == nullptr)
            return result<std::string>::failure(
                "the environment variable " + variable + " is not set");
        return std::string(value);
    }
    struct stat file_status = {};
    if (stat(path.c_str(), &file_status) != 0)
        return result<std::string>::failure(
            "the peer key file " + path + " can't be read");
    if ((file_status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return result<std::string>::failure(
            "the peer key file " + path +
            " must be readable by its owner only (mode 0600)");
    std::ifstream file(path);
    std::ostringstream buf;
    buf << file.rdbuf();
    return buf.str();
}

} // namespace

result<shared_key_list> load_peer_keys(const std::string& path)
{
    const auto text = read_key_text(path);
    if (!text)
        return key_list_result::failure(text.error());
    shared_key_list keys;
    std::istringstream lines(*text);
    std::string line;
    while (lines >> line)
    {
        const auto key = parse_shared_key(line);
        if (!key)
            return key_list_result::failure(
                "peer key " + std::to_string(keys.size() + 1) + " in " + path +
                " is not 64 hexadecimal digits");
        keys.push_back(*key);
    }
    if (keys.empty())
        return key_list_result::failure("there is no peer key in " + path);
    return keys;
}

} // namespace turmericlane
