#pragma once

#include <string>
#include <string_view>

namespace turmericlane
{

/** Name, help text and kind of a setting. */
struct setting_description
{
    /** Name of the flag without the leading dashes: lower-case words joined
        by `-`. */
    std::string name = {};
    /** Purpose of the setting, in one line. */
    std::string help = {};
    /** Unit of the value; empty if it has none. */
    std::string unit = {};
    /** True if there is no default, so that a missing value is an error. */
    bool is_required = false;
    /** True if the value is not printed and must come from the environment;
        other users of the machine can see the flags of a process. */
    bool is_secret = false;
};

/** A typed setting with a default and a range of accepted values.

    The environment variable of the setting `peer-port` is
    TURMERICLANE_PEER_PORT.

    @see settings
*/
class setting
{
public:
    explicit setting(setting_description description);
    virtual ~setting() = default;
    setting(const setting&) = delete;
    setting& operator=(const setting&) = delete;

    /** Returns the name, help text and kind of the setting. */
    const setting_description& description() const noexcept;

    /** Returns the name of the environment variable. */
    std::string environment_variable() const;

    /** Parses a text and sets the value if it is accepted.
        @returns false if it is not; the current value is kept */
    virtual bool assign(std::string_view text) = 0;

    /** Returns the current value as text. */
    virtual std::string text() const = 0;

    /** Returns the accepted range or format for people, without the unit. */
    virtual std::string accepted_values() const = 0;

    /** True if the flag may be given without a value, which means true. */
    virtual bool is_flag() const noexcept;

private:
    setting_description description_;
};

} // namespace turmericlane
