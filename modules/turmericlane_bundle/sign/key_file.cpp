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

/** Read limit; a secret key file holds 64 digits and a line end. */
constexpr std::size_t max_secret_file_bytes = 128;

/** Owns a file descriptor and closes it at the end of its scope. */
class scoped_descriptor
{
public:
    explicit scoped_descriptor(int descriptor)
        : descriptor_(descriptor)
    {
    }
    scoped_descriptor(const scoped_descriptor&) = delete;
    scoped_descriptor& operator=(const scoped_descriptor&) = delete;
    ~scoped_descriptor()
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

std::string error_text(const std::string& path, int error_number)
{
    return path + ": " + std::strerror(error_number);
}

/** Checks that an open file may be accessed by its owner only.
    @returns nothing on success, otherwise the error */
std::optional<std::string> check_access(const std::string& path, int descriptor)
{
    struct stat status;
    if (fstat(descriptor, &status) != 0)
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
    scoped_descriptor file(
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
    using key_result = result<secret_key>;
    scoped_descriptor file(
        open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK));
    if (file.get() < 0)
        return key_result::failure(error_text(path, errno));
    if (auto problem = check_access(path, file.get()))
        return key_result::failure(*problem);
    std::array<char, max_secret_file_bytes> buf{};
    auto n = read(file.get(), buf.data(), buf.size());
    if (n < 0)
        return key_result::failure(error_text(path, errno));
    auto key =
        secret_key::from_hex_seed({buf.data(), static_cast<std::size_t>(n)});
    sodium_memzero(buf.data(), buf.size());
    if (!key)
        return key_result::failure(path + ": " + key.error());
    return key;
}

result<secret_key> secret_key_from_environment(const std::string& variable)
{
    using key_result = result<secret_key>;
    const char* text = std::getenv(variable.c_str());
    if (text == nullptr || *text == '\0')
        return key_result::failure(variable + " is not set");
    auto key = secret_key::from_hex_seed(text);
    if (!key)
        return key_result::failure(variable + ": " + key.error());
    return key;
}

result<trusted_keys> load_trusted_keys(const std::string& path)
{
    using keys_result = result<trusted_keys>;
    std::ifstream file(path);
    if (!file)
        return keys_result::failure(path + ": cannot be opened");
    std::string list;
    for (std::string line; std::getline(file, line);)
        if (!line.starts_with('#'))
            list += line + '\n';
    auto keys = trusted_keys::parse(list);
    if (!keys)
        return keys_result::failure(path + ": " + keys.error());
    return keys;
}

std::optional<std::string>
write_key_files(const std::string& path, const secret_key& key)
{
    auto public_path = path + ".pub";
    if (access(public_path.c_str(), F_OK) == 0)
        return public_path + ": file already exists";
    // The first half of libsodium's secret key is the seed.
    auto seed = to_hex(std::span(key.bytes_).first(32)) + '\n';
    auto problem = write_new_file(path, 0600, seed);
    sodium_memzero(seed.data(), seed.size());
    if (problem)
        return problem;
    return write_new_file(
        public_path, 0644, to_hex(key.to_public_key()) + '\n');
}

} // namespace turmericlane
