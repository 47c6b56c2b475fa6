#include "entry/schedule_messages.hpp"

namespace bronzehub::entry {

std::string encode_message(const host_message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::optional<host_message> decode_message(std::string_view bytes) {
    try {
        const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
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
