#pragma once

#include "command.h"

namespace turmericlane
{

/** `status`: shows the version in force on every instance, its age and
    source. */
class status_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
