#pragma once

#include "reason.h"

namespace turmericlane
{

/** Whether a request may have run on a backend server. */
enum class outcome : std::uint8_t
{
    /** It did not run: no byte of it can have reached a backend server. */
    not_run,
    /** It may have run; the system can't tell. */
    may_have_run,
    /** It ran, and its answer is known. */
    ran
};

/** Returns the name of an outcome in answers, metrics and logs. */
std::string_view to_string(outcome value) noexcept;

/** Final statement about a request: whether it may have run on a backend
    server, and the reason if it did not succeed.

    After not_run a caller may repeat the request. After may_have_run it may
    repeat only a request that is safe to run twice.

    @see reason, outcome
*/
struct verdict
{
    outcome result = outcome::not_run;
    reason cause = reason::none;

    /** Returns the verdict on a request that ran. */
    static constexpr verdict success() noexcept
    {
        return {outcome::ran, reason::none};
    }

    /** Returns the verdict on a request that did not run. */
    static constexpr verdict refused(reason cause) noexcept
    {
        return {outcome::not_run, cause};
    }

    /** Returns the verdict on a request that may have run. */
    static constexpr verdict unknown(reason cause) noexcept
    {
        return {outcome::may_have_run, cause};
    }

    friend constexpr bool
    operator==(const verdict&, const verdict&) noexcept = default;
};

} // namespace turmericlane
