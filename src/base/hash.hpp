// SHA-256 for stored keys and request bodies, and a fast 64-bit hash for
// rendezvous hashing.
#ifndef BRONZEHUB_BASE_HASH_HPP
#define BRONZEHUB_BASE_HASH_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzehub::base {

// SHA-256 in lower-case hexadecimal.
std::string sha256_hex(std::string_view data);

// HMAC-SHA-256 in lower-case hexadecimal.
std::string hmac_sha256_hex(std::string_view key, std::string_view data);

// Compares in a time that depends on the lengths only, so that it does not
// reveal how much of a secret matches.
bool equal_constant_time(std::string_view left, std::string_view right);

// A 64-bit hash that is the same on every host and in every release, because
// daemons of different versions must make the same choice by rendezvous
// hashing.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

}  // namespace bronzehub::base

#endif
