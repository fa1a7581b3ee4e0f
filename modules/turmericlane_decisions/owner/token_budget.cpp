#include "token_budget.h"

#include <algorithm>

namespace turmericlane
{

void token_budget::earn(double ratio)
{
    tokens_ = std::min(capacity_, tokens_ + ratio);
}

bool token_budget::try_take()
{
    if (!can_take())
        return false;
    tokens_ -= 1.0;
    return true;
}

bool token_budget::can_take() const
{
    return tokens_ >= 1.0;
}

double token_budget::fill() const
{
    return tokens_ / capacity_;
}

} // namespace turmericlane
