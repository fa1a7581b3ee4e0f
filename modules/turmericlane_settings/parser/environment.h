#pragma once

#include <optional>
#include <string>

namespace turmericlane
{

/** Source of environment variables; tests provide their own.

    @see settings
*/
class environment
{
public:
    virtual ~environment() = default;

    /** Returns the value of a variable, or nothing if it is not set. */
    virtual std::optional<std::string>
    find(const std::string& variable) const = 0;
};

/** The environment of the process, which must not change while find reads
    it. */
class process_environment final : public environment
{
public:
    std::optional<std::string> find(const std::string& variable) const override;
};

} // namespace turmericlane
