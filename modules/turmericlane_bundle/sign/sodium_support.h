#pragma once

#include <string_view>

namespace turmericlane
{

/** Initialises libsodium once. It fails only without a random source; the
    process ends then, because no key could be drawn. */
void require_sodium();

/** The bytes of a text, as libsodium takes them. */
const unsigned char* bytes_of(std::string_view text) noexcept;

} // namespace turmericlane
