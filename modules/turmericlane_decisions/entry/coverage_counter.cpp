#include "coverage_counter.h"

#include <cassert>

namespace turmericlane
{

void coverage_counter::add_service(const service_map& service)
{
    auto group_count = static_cast<std::uint32_t>(service.groups.size());
    services_.push_back({service.id, 0, group_count});
    total_groups_ += group_count;
}

void coverage_counter::add_answer(std::size_t service_index)
{
    assert(service_index < services_.size());
    auto& service = services_[service_index];
    assert(service.answered_groups < service.total_groups);
    ++service.answered_groups;
    ++answered_groups_;
}

void coverage_counter::clear_answers()
{
    for (auto& it : services_)
        it.answered_groups = 0;
    answered_groups_ = 0;
}

std::size_t coverage_counter::answered_groups() const noexcept
{
    return answered_groups_;
}

double coverage_counter::overall_coverage() const noexcept
{
    if (total_groups_ == 0)
        return 0.0;
    return static_cast<double>(answered_groups_) /
           static_cast<double>(total_groups_);
}

const std::vector<service_coverage>& coverage_counter::services() const noexcept
{
    return services_;
}

} // namespace turmericlane
