#include "read_errors.h"

#include <cassert>

namespace turmericlane
{

void read_errors::add(std::string path, std::string detail)
{
    if (!first_)
        first_ = bundle_error{{}, std::move(path), std::move(detail)};
}

bool read_errors::failed() const noexcept
{
    return first_.has_value();
}

const bundle_error& read_errors::first() const
{
    assert(first_);
    return *first_;
}

} // namespace turmericlane
