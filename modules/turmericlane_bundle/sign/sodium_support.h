#pragma once

#include <string_view>

namespace turmericlane
{

/** Initialises libsodium on the first call. This fails only without a random
    source; the process is aborted then, because no key could be generated. */
void initialise_sodium();

/** Returns the bytes of a text in the type that libsodium takes. */
const unsigned char* bytes_of(std::string_view text) noexcept;

} // namespace turmericlane
