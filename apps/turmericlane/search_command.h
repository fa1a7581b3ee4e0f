#pragma once

#include "command.h"

namespace turmericlane
{

/** `search`: sends one search and prints its answer and coverage. */
class search_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
