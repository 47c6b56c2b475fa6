// Mutual authentication of two daemons when they connect.
//
//   dialler  -> acceptor  hello: version, host name, nonce
//   acceptor -> dialler   version, host name, nonce
//   dialler  -> acceptor  proof of the dialler
//   acceptor -> dialler   proof of the acceptor
//
// A proof is the HMAC-SHA-256 under the shared key of the side, both names
// and both nonces. It authenticates the peer at connect time; the messages
// that follow are neither encrypted nor authenticated one by one.
#ifndef BRONZEHUB_PEER_HANDSHAKE_HPP
#define BRONZEHUB_PEER_HANDSHAKE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace bronzehub::peer {

enum class side { dialler, acceptor };

// What both sides know once the hellos are exchanged.
struct introduction {
    std::string dialler_host;
    std::string acceptor_host;
    std::string dialler_nonce;
    std::string acceptor_nonce;
};

// 32 random bytes in hexadecimal.
std::string make_nonce();

// The proof that `prover` knows the shared key.
std::string make_proof(std::string_view key, side prover,
                       const introduction& both);

// kPermissionDenied when the proof was made with another key, names or nonces.
absl::Status check_proof(std::string_view key, side prover,
                         const introduction& both, std::string_view proof);

// The version text "major.minor" of a hello.
std::string version_text(std::uint32_t major);

// kUnimplemented when the other daemon's major version differs from `major`.
absl::Status check_version(std::uint32_t major, std::string_view found);

}  // namespace bronzehub::peer

#endif
