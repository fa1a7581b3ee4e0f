#pragma once

#include "command.h"

namespace turmericlane
{

/** `book`: takes a ticket and sends one booking with it. A booking whose
    outcome is unknown is never retried automatically; the ticket is printed, so
    that an operator can safely repeat the same booking. */
class book_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
