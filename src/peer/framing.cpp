#include "peer/framing.hpp"

#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::peer {
namespace {

constexpr unsigned int byte_bits = 8;

std::size_t read_length(std::span<const char> bytes) {
    std::size_t length = 0;
    for (const char byte : bytes.first(length_prefix_bytes)) {
        length = (length << byte_bits) | static_cast<unsigned char>(byte);
    }
    return length;
}

}  // namespace

std::string frame_message(const std::string& message) {
    std::string framed;
    framed.reserve(length_prefix_bytes + message.size());
    for (std::size_t left = length_prefix_bytes; left > 0; --left) {
        framed += static_cast<char>(message.size() >> (byte_bits * (left - 1)));
    }
    return framed + message;
}

frame_reader::frame_reader(std::size_t max_message_bytes,
                           message_hook on_message)
    : max_message_bytes_(max_message_bytes),
      on_message_(std::move(on_message)) {}

absl::Status frame_reader::read(std::span<const char> bytes) {
    buffer_.append(bytes.data(), bytes.size());
    std::span<const char> rest(buffer_);
    while (rest.size() >= length_prefix_bytes) {
        const std::size_t length = read_length(rest);
        if (length > max_message_bytes_) {
            return absl::ResourceExhaustedError(
                absl::StrCat("peer message: found ", length,
                             " bytes, expected at most ", max_message_bytes_));
        }
        if (rest.size() < length_prefix_bytes + length) {
            break;
        }
        absl::Status status =
            on_message_(rest.subspan(length_prefix_bytes, length));
        if (!status.ok()) {
            return status;
        }
        rest = rest.subspan(length_prefix_bytes + length);
    }
    buffer_.erase(0, buffer_.size() - rest.size());
    return absl::OkStatus();
}

}  // namespace bronzehub::peer
