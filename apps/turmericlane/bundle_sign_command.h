#pragma once

#include "command.h"

namespace turmericlane
{

/** `bundle sign`: signs a bundle and writes the signed envelope. */
class bundle_sign_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
