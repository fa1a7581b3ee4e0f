#pragma once

#include "command.h"

namespace turmericlane
{

/** `bundle check`: checks a bundle and reports its first error. */
class bundle_check_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
