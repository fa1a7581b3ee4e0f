#pragma once

#include <string>
#include <string_view>

namespace turmericlane
{

/** What every setting states about itself. */
struct setting_description
{
    /** Name of the flag without its dashes: lower-case words joined by `-`. */
    std::string name = {};
    /** What the setting is for, in one line. */
    std::string help = {};
    /** Unit of the value; empty if it has none. */
    std::string unit = {};
    /** There is no default; a missing value is an error. */
    bool required = false;
    /** The value is neither printed nor accepted as a flag, because other
        users of the machine can see the flags of a process. */
    bool secret = false;
};

/** One typed setting with default and accepted range.

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

    /** What the setting states about itself. */
    const setting_description& description() const noexcept;

    /** Name of the environment variable. */
    std::string variable() const;

    /** Takes over a value if it is accepted.
        @returns false if it is not; the present value is kept */
    virtual bool assign(std::string_view text) = 0;

    /** The present value as text. */
    virtual std::string text() const = 0;

    /** The accepted range or form, without the unit. */
    virtual std::string accepted() const = 0;

    /** True if a flag without a value stands for true. */
    virtual bool is_flag() const noexcept;

private:
    setting_description description_;
};

} // namespace turmericlane
