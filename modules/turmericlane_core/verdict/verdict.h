#pragma once

#include "reason.h"

namespace turmericlane
{

/** Whether a request may have run on a backend server. */
enum class outcome : std::uint8_t
{
    /** It ran nowhere: no byte of it can have reached a backend server. */
    not_run,
    /** It may have run; the system cannot tell. */
    may_have_run,
    /** It ran, and the answer is known. */
    ran
};

/** Returns the name that answers, metrics and logs use. */
std::string_view to_string(outcome value) noexcept;

/** Final statement about a request: whether it may have run, and why not.

    A caller may repeat a request with not_run freely. After may_have_run it
    may repeat only what is safe to run twice.

    @see reason, outcome
*/
struct verdict
{
    outcome result = outcome::not_run;
    reason why = reason::none;

    /** A request that ran. */
    static constexpr verdict success() noexcept
    {
        return {outcome::ran, reason::none};
    }

    /** A request that ran nowhere. */
    static constexpr verdict refused(reason why) noexcept
    {
        return {outcome::not_run, why};
    }

    /** A request that may have run. */
    static constexpr verdict unknown(reason why) noexcept
    {
        return {outcome::may_have_run, why};
    }

    friend constexpr bool
    operator==(const verdict&, const verdict&) noexcept = default;
};

} // namespace turmericlane
