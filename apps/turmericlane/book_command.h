#pragma once

#include "command.h"

namespace turmericlane
{

/** `book`: takes a ticket and sends one booking with it. A booking whose
    outcome is unknown is never sent again by itself; the ticket is printed, so
    that a person can repeat the same booking safely. */
class book_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
