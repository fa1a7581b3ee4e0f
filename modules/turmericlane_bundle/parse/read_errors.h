#pragma once

#include "bundle_error.h"

#include <optional>

namespace turmericlane
{

/** Keeps the first error of a read, so that readers need no check after each
    field. */
class read_errors
{
public:
    /** Records an error unless there is one already. */
    void add(std::string path, std::string detail);

    /** True once an error was recorded. */
    bool failed() const noexcept;

    /** The first error; its file is empty. There must be one. */
    const bundle_error& first() const;

private:
    std::optional<bundle_error> first_;
};

} // namespace turmericlane
