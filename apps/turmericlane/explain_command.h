#pragma once

#include "command.h"

namespace turmericlane
{

/** `explain`: says what happened to one request, from the logs of all
    instances on standard input.

    @see log_explainer
*/
class explain_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
