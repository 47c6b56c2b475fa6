#include "peer/handshake.hpp"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>

#include "absl/strings/str_cat.h"
#include "base/hash.hpp"
#include "protocol/messages.hpp"

namespace bronzehub::peer {

std::string make_nonce() {
    std::array<unsigned char, 32> bytes{};
    // Without randomness a recorded proof could be replayed.
    if (RAND_bytes(bytes.data(), bytes.size()) != 1) {
        std::abort();
    }
    return base::sha256_hex(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

std::string make_proof(std::string_view key, side prover,
                       const introduction& both) {
    std::string text = "bronzehub peer proof\n";
    text += prover == side::dialler ? "dialler\n" : "acceptor\n";
    // Lengths keep two different lists of parts from giving the same text.
    for (const std::string* part :
         {&both.dialler_host, &both.acceptor_host, &both.dialler_nonce,
          &both.acceptor_nonce}) {
        absl::StrAppend(&text, part->size(), ":", *part, "\n");
    }
    return base::hmac_sha256_hex(key, text);
}

absl::Status check_proof(std::string_view key, side prover,
                         const introduction& both, std::string_view proof) {
    if (!base::equal_constant_time(make_proof(key, prover, both), proof)) {
        return absl::PermissionDeniedError(
            "peer authentication: the peer does not know the shared key");
    }
    return absl::OkStatus();
}

std::string version_text(std::uint32_t major) {
    return absl::StrCat(major, ".", protocol::minor_version);
}

absl::Status check_version(std::uint32_t major, std::string_view found) {
    const std::string expected = absl::StrCat(major, ".");
    if (!found.starts_with(expected)) {
        return absl::UnimplementedError(
            absl::StrCat("peer protocol: found version ", std::string(found),
                         ", expected major version ", major));
    }
    return absl::OkStatus();
}

}  // namespace bronzehub::peer
