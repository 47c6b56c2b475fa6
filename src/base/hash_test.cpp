#include "base/hash.hpp"

#include <catch2/catch.hpp>

namespace bronzehub::base {
namespace {

// Guards against digests that differ from the published SHA-256 vectors: no
// stored key would match any more.
TEST_CASE("SHA-256 matches published vectors") {
    const auto [input, digest] = GENERATE(table<std::string, std::string>({
        {"",
         "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
        {"abc",
         "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
    }));
    CHECK(sha256_hex(input) == digest);
}

// Guards against a change of the hash between releases: daemons of the two
// releases would then disagree on which host schedules a backend server.
TEST_CASE("the stable hash has fixed values") {
    const auto [data, seed, expected] =
        GENERATE(table<std::string, std::uint64_t, std::uint64_t>({
            {"", 0, 0xf52a15e9a9b5e89bULL},
            {"a", 0, 0x2c0bdbf481420f8ULL},
            {"a", 1, 0x270aeb36a95726cfULL},
        }));
    CHECK(stable_hash(data, seed) == expected);
}

// Guards against a comparison that accepts a prefix or a similar key.
TEST_CASE("the constant-time comparison distinguishes equal from different") {
    CHECK(equal_constant_time("key", "key"));
    CHECK_FALSE(equal_constant_time("key", "kex"));
    CHECK_FALSE(equal_constant_time("key", "ke"));
}

}  // namespace
}  // namespace bronzehub::base
