// Messages in a stream of bytes: four bytes of length, most significant
// first, then the message.
#ifndef BRONZEHUB_PEER_FRAMING_HPP
#define BRONZEHUB_PEER_FRAMING_HPP

#include <cstddef>
#include <functional>
#include <span>
#include <string>

#include "absl/status/status.h"

namespace bronzehub::peer {

inline constexpr std::size_t length_prefix_bytes = 4;

// A message with its length in front. The size must fit into four bytes.
std::string frame_message(const std::string& message);

// Cuts a stream into messages. Not thread-safe.
class frame_reader {
public:
    // The bytes are only valid during the call. A failure ends the stream.
    using message_hook = std::function<absl::Status(std::span<const char>)>;

    frame_reader(std::size_t max_message_bytes, message_hook on_message);

    // Consumes the next bytes of the stream. Returns kResourceExhausted as
    // soon as a length above the limit is seen, and the first failure of the
    // hook; the reader must not be used afterwards.
    absl::Status read(std::span<const char> bytes);

private:
    std::size_t max_message_bytes_;
    message_hook on_message_;
    std::string buffer_;
};

}  // namespace bronzehub::peer

#endif
