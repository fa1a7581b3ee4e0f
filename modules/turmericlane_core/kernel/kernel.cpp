#include "kernel.h"

#include <cassert>

namespace turmericlane
{

void kernel::add(std::shared_ptr<service> new_service)
{
    assert(new_service != nullptr);
    assert(started_count_ == 0);
    assert(find(new_service->name()) == nullptr);
    services_.push_back(std::move(new_service));
}

std::optional<std::string> kernel::start()
{
    assert(started_count_ == 0);
    for (const auto& it : services_)
    {
        if (auto error = it->start(*this))
        {
            stop();
            return std::string(it->name()) + ": " + *error;
        }
        ++started_count_;
    }
    return std::nullopt;
}

void kernel::stop()
{
    while (started_count_ > 0)
        services_[--started_count_]->stop();
}

std::shared_ptr<service> kernel::find(std::string_view name) const
{
    for (const auto& it : services_)
        if (it->name() == name)
            return it;
    return nullptr;
}

} // namespace turmericlane
