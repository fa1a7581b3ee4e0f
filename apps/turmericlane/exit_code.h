#pragma once

namespace turmericlane
{

/** Exit codes of the command-line client. */
enum exit_code : int
{
    exit_ok = 0,
    /** The command failed or its request was refused; a booking did not run. */
    exit_failed = 1,
    /** The flags, arguments or settings are invalid. */
    exit_usage = 2,
    /** A booking may have run. */
    exit_may_have_run = 3
};

} // namespace turmericlane
