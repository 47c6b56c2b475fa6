#include "entry/schedule_messages.hpp"

namespace bronzehub::entry {

std::string encode_message(const schedule_message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

std::optional<schedule_message> decode_message(std::string_view bytes) {
    try {
        const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
        schedule_message result;
        unpacked.get().convert(result);
        if (result.version != schedule_message::current_version) {
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
