#pragma once

#include "../gather/answer_rule.h"
#include "forward_request.h"

namespace turmericlane
{

/** Returns the limits on the time of a request's answer, from its arrival: the
    route's target without the way to the caller, and what the caller waits. */
answer_limits limits_of(const forward_request& request);

} // namespace turmericlane
