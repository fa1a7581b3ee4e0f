#include "coverage.h"

#include <cassert>

namespace turmericlane
{

void coverage::add_service(const service_map& of)
{
    auto total = static_cast<std::uint32_t>(of.groups.size());
    services_.push_back({of.id, 0, total});
    total_ += total;
}

void coverage::on_answered(std::size_t service_position)
{
    assert(service_position < services_.size());
    auto& counted = services_[service_position];
    assert(counted.answered_groups < counted.total_groups);
    ++counted.answered_groups;
    ++answered_;
}

void coverage::clear_answers()
{
    for (auto& it : services_)
        it.answered_groups = 0;
    answered_ = 0;
}

std::size_t coverage::answered() const noexcept
{
    return answered_;
}

double coverage::overall() const noexcept
{
    if (total_ == 0)
        return 0.0;
    return static_cast<double>(answered_) / static_cast<double>(total_);
}

const std::vector<service_coverage>& coverage::services() const noexcept
{
    return services_;
}

} // namespace turmericlane
