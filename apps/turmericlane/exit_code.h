#pragma once

namespace turmericlane
{

/** Exit codes of the client. */
enum exit_code : int
{
    exit_ok = 0,
    /** The request was refused or failed, and a booking ran nowhere. */
    exit_failed = 1,
    /** The flags, arguments or settings are wrong. */
    exit_usage = 2,
    /** A booking may have run. */
    exit_may_have_run = 3
};

} // namespace turmericlane
