#include "base/hash.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <span>

namespace bronzehub::base {
namespace {

std::string to_hex(std::span<const unsigned char> bytes) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

}  // namespace

std::string sha256_hex(std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return to_hex(std::span(digest).first(size));
}

std::string hmac_sha256_hex(std::string_view key, std::string_view data) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(),
         digest.data(), &size);
    return to_hex(std::span(digest).first(size));
}

bool equal_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed) {
    // FNV-1a followed by the finaliser of SplitMix64, which spreads the low
    // bits that FNV leaves correlated for short names.
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ seed;
    for (const char c : data) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 30U;
    hash *= 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 27U;
    hash *= 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31U);
}

}  // namespace bronzehub::base
