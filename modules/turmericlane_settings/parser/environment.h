#pragma once

#include <optional>
#include <string>

namespace turmericlane
{

/** Source of environment variables. Tests use their own.

    @see settings
*/
class environment
{
public:
    virtual ~environment() = default;

    /** Value of a variable, or nothing if it is not set. */
    virtual std::optional<std::string>
    find(const std::string& variable) const = 0;
};

/** The environment of the process. Nothing may change it meanwhile. */
class process_environment final : public environment
{
public:
    std::optional<std::string> find(const std::string& variable) const override;
};

} // namespace turmericlane
