#include "token_budget.h"

#include <algorithm>

namespace turmericlane
{

void token_budget::refill(double ratio)
{
    tokens_ = std::min(capacity_, tokens_ + ratio);
}

bool token_budget::try_take()
{
    if (!has_token())
        return false;
    tokens_ -= 1.0;
    return true;
}

bool token_budget::has_token() const
{
    return tokens_ >= 1.0;
}

double token_budget::fill_ratio() const
{
    return tokens_ / capacity_;
}

} // namespace turmericlane
