// MessagePack form of the messages between daemons.
//
// Only the peer transport and tests call this; deciding libraries exchange
// `message` values.
#ifndef BRONZEHUB_PROTOCOL_CODEC_HPP
#define BRONZEHUB_PROTOCOL_CODEC_HPP

#include <span>
#include <string>

#include "absl/status/statusor.h"
#include "protocol/messages.hpp"

namespace bronzehub::protocol {

// Encodes a message. O(size of the message).
std::string encode(const message& value);

// Decodes one message.
//
// Errors: kInvalidArgument when the bytes are not a message of a known type;
// kUnimplemented when the major version differs from `major_version`.
absl::StatusOr<message> decode(std::span<const char> bytes);

}  // namespace bronzehub::protocol

#endif
