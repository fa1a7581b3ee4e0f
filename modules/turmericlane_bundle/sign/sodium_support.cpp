#include "sodium_support.h"

#include <cstdlib>
#include <sodium.h>

namespace turmericlane
{

void initialise_sodium()
{
    static const int status = sodium_init();
    if (status < 0)
        std::abort();
}

const unsigned char* bytes_of(std::string_view text) noexcept
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace turmericlane
