#include "entry/schedule_messages.hpp"

namespace bronzehub::entry {
namespace {

// Arrays inside each other in a message.
constexpr std::size_t max_nesting = 8;

}  // namespace

std::string encode_message(const host_message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::optional<host_message> decode_message(std::string_view bytes) {
    try {
        // Each element takes at least one byte. Without the limits, a few bytes
        // could announce a list that does not fit in memory.
        const msgpack::unpack_limit limit(bytes.size(), bytes.size(),
                                          bytes.size(), bytes.size(),
                                          bytes.size(), max_nesting);
        const auto unpacked = msgpack::unpack(bytes.data(), bytes.size(),
                                              nullptr, nullptr, limit);
        host_message result;
        unpacked.get().convert(result);
        if (result.version != host_message::current_version) {
            return std::nullopt;
        }
        return result;
    } catch (const msgpack::unpack_error&) {
        return std::nullopt;
    } catch (const msgpack::type_error&) {
        return std::nullopt;
    }
}

}  // namespace bronzehub::entry
