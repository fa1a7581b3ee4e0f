#include "key_file.h"

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

namespace turmericlane
{

namespace
{

/** A secret key file holds 64 digits and a line end. */
constexpr std::size_t max_secret_file_bytes = 128;

/** A file descriptor that is closed at the end of its scope. */
class scoped_file
{
public:
    explicit scoped_file(int descriptor)
        : descriptor_(descriptor)
    {
    }
    scoped_file(const scoped_file&) = delete;
    scoped_file& operator=(const scoped_file&) = delete;
    ~scoped_file()
    {
        if (descriptor_ >= 0)
            close(descriptor_);
    }
    int get() const noexcept
    {
        return descriptor_;
    }

private:
    int descriptor_;
};

std::string error_text(const std::string& path, int code)
{
    return path + ": " + std::strerror(code);
}

/** Returns nothing if only the owner may read an open file. */
std::optional<std::string> check_access(const std::string& path, int file)
{
    struct stat status;
    if (fstat(file, &status) != 0)
        return error_text(path, errno);
    if (!S_ISREG(status.st_mode))
        return path + ": not a regular file";
    if ((status.st_mode & 07177U) != 0)
        return path + ": others may access the secret key; the permissions "
                      "must be 0600 or stricter";
    return std::nullopt;
}

std::optional<std::string>
write_new_file(const std::string& path, mode_t mode, std::string_view text)
{
    scoped_file file(
        open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode));
    if (file.get() < 0)
        return error_text(path, errno);
    auto n = write(file.get(), text.data(), text.size());
    if (n != static_cast<ssize_t>(text.size()) || fsync(file.get()) != 0)
        return error_text(path, errno);
    return std::nullopt;
}

} // namespace

result<secret_key> load_secret_key(const std::string& path)
{
    using made = result<secret_key>;
    scoped_file file(open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (file.get() < 0)
        return made::failure(error_text(path, errno));
    if (auto problem = check_access(path, file.get()))
        return made::failure(*problem);
    std::array<char, max_secret_file_bytes> buf{};
    auto n = read(file.get(), buf.data(), buf.size());
    if (n < 0)
        return made::failure(error_text(path, errno));
    auto key =
        secret_key::from_hex_seed({buf.data(), static_cast<std::size_t>(n)});
    sodium_memzero(buf.data(), buf.size());
    if (!key)
        return made::failure(path + ": " + key.error());
    return key;
}

result<secret_key> secret_key_from_environment(const std::string& variable)
{
    using made = result<secret_key>;
    const char* text = std::getenv(variable.c_str());
    if (text == nullptr || *text == '\0')
        return made::failure(variable + " is not set");
    auto key = secret_key::from_hex_seed(text);
    if (!key)
        return made::failure(variable + ": " + key.error());
    return key;
}

result<trusted_keys> load_trusted_keys(const std::string& path)
{
    using made = result<trusted_keys>;
    std::ifstream file(path);
    if (!file)
        return made::failure(path + ": can't be opened");
    std::string list;
    for (std::string line; std::getline(file, line);)
        if (!line.starts_with('#'))
            list += line + '\n';
    auto keys = trusted_keys::parse(list);
    if (!keys)
        return made::failure(path + ": " + keys.error());
    return keys;
}

std::optional<std::string>
write_key_files(const std::string& path, const secret_key& key)
{
    auto public_path = path + ".pub";
    if (access(public_path.c_str(), F_OK) == 0)
        return public_path + ": there is a file already";
    // The first half of libsodium's secret key is the seed.
    auto seed = to_hex(std::span(key.bytes_).first(32)) + '\n';
    auto problem = write_new_file(path, 0600, seed);
    sodium_memzero(seed.data(), seed.size());
    if (problem)
        return problem;
    return write_new_file(public_path, 0644, to_hex(key.to_public()) + '\n');
}

} // namespace turmericlane
