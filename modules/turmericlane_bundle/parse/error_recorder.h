#pragma once

#include "bundle_error.h"

#include <optional>

namespace turmericlane
{

/** Keeps the first error of a document, so that readers need no error check
    after each field. */
class error_recorder
{
public:
    /** Records an error if it is the first one. */
    void add(std::string path, std::string detail);

    /** True if an error was recorded. */
    bool has_error() const noexcept;

    /** Returns the first error, whose file is empty. There must be an error. */
    const bundle_error& first_error() const;

private:
    std::optional<bundle_error> first_error_;
};

} // namespace turmericlane
