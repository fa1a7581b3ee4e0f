#pragma once

#include "hex.h"

namespace turmericlane
{

/** An ed25519 public key. */
using public_key = std::array<std::uint8_t, 32>;

/** An ed25519 signature. */
using signature_bytes = std::array<std::uint8_t, 64>;

/** Short name of a public key: the first 8 bytes of its BLAKE2b hash. */
using key_id = std::array<std::uint8_t, 8>;

/** BLAKE2b-256 of a canonical text. */
using content_hash = std::array<std::uint8_t, 32>;

/** Short name of a public key. */
key_id id_of(const public_key& of);

/** Hash of a canonical text. */
content_hash hash_of(std::string_view canonical);

} // namespace turmericlane
