#pragma once

#include "command.h"

namespace turmericlane
{

/** `bundle keygen`: writes a new key pair to two files. */
class bundle_keygen_command final : public command
{
public:
    std::string_view name() const noexcept override;
    std::string_view usage() const noexcept override;
    std::string_view summary() const noexcept override;
    int run(std::span<const char* const> arguments) override;
};

} // namespace turmericlane
