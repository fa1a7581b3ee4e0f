#include "error_recorder.h"

#include <cassert>

namespace turmericlane
{

void error_recorder::add(std::string path, std::string detail)
{
    if (!first_error_)
        first_error_ = bundle_error{{}, std::move(path), std::move(detail)};
}

bool error_recorder::has_error() const noexcept
{
    return first_error_.has_value();
}

const bundle_error& error_recorder::first_error() const
{
    assert(first_error_);
    return *first_error_;
}

} // namespace turmericlane
