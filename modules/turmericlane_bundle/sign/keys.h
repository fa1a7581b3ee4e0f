#pragma once

#include "hex.h"

namespace turmericlane
{

/** An ed25519 public key. */
using public_key = std::array<std::uint8_t, 32>;

/** An ed25519 signature. */
using signature_bytes = std::array<std::uint8_t, 64>;

/** Identifier of a public key: the first 8 bytes of its BLAKE2b hash. */
using key_id = std::array<std::uint8_t, 8>;

/** BLAKE2b-256 hash of a document in canonical form. */
using content_hash = std::array<std::uint8_t, 32>;

/** Returns the identifier of a public key. */
key_id key_id_of(const public_key& key);

/** Returns the hash of a document in canonical form. */
content_hash hash_of(std::string_view text);

} // namespace turmericlane
