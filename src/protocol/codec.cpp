#include "protocol/codec.hpp"

#include <array>
#include <cstddef>
#include <msgpack.hpp>
#include <string_view>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

MSGPACK_ADD_ENUM(bronzehub::protocol::member_state);
MSGPACK_ADD_ENUM(bronzehub::protocol::release_reason);

namespace bronzehub::protocol {
namespace {

// One field of a struct: its key on the wire and its member.
template <class Struct, class Member>
struct field {
    std::string_view key;
    Member Struct::* member;
};

template <class Struct, class Member>
constexpr auto make_field(std::string_view key, Member Struct::* member) {
    return field<Struct, Member>{key, member};
}

template <class Struct>
struct fields_of;

template <>
struct fields_of<sender> {
    static constexpr auto list = std::tuple(
        make_field("h", &sender::host), make_field("i", &sender::incarnation),
        make_field("s", &sender::sequence));
};
template <>
struct fields_of<member_update> {
    static constexpr auto list =
        std::tuple(make_field("h", &member_update::host),
                   make_field("a", &member_update::address),
                   make_field("d", &member_update::failure_domain),
                   make_field("i", &member_update::incarnation),
                   make_field("s", &member_update::state),
                   make_field("c", &member_update::configuration_version));
};
template <>
struct fields_of<probe> {
    static constexpr auto list = std::tuple(
        make_field("p", &probe::probe_id), make_field("t", &probe::target),
        make_field("u", &probe::updates), make_field("f", &probe::full_view));
};
template <>
struct fields_of<probe_ack> {
    static constexpr auto list =
        std::tuple(make_field("p", &probe_ack::probe_id),
                   make_field("t", &probe_ack::target),
                   make_field("u", &probe_ack::updates),
                   make_field("f", &probe_ack::full_view));
};
template <>
struct fields_of<probe_request> {
    static constexpr auto list =
        std::tuple(make_field("p", &probe_request::probe_id),
                   make_field("t", &probe_request::target),
                   make_field("u", &probe_request::updates));
};
template <>
struct fields_of<usage_row> {
    static constexpr auto list =
        std::tuple(make_field("s", &usage_row::service),
                   make_field("o", &usage_row::organisation),
                   make_field("t", &usage_row::served_total),
                   make_field("r", &usage_row::running),
                   make_field("e", &usage_row::expected_remainder),
                   make_field("w", &usage_row::waiting),
                   make_field("g", &usage_row::last_grant));
};
template <>
struct fields_of<usage_report> {
    static constexpr auto list =
        std::tuple(make_field("f", &usage_report::complete),
                   make_field("r", &usage_report::rows));
};
template <>
struct fields_of<waiting_row> {
    static constexpr auto list =
        std::tuple(make_field("s", &waiting_row::service),
                   make_field("o", &waiting_row::organisation),
                   make_field("w", &waiting_row::waiting),
                   make_field("a", &waiting_row::oldest_wait_ms),
                   make_field("g", &waiting_row::last_grant));
};
template <>
struct fields_of<work_announcement> {
    static constexpr auto list =
        std::tuple(make_field("r", &work_announcement::rows));
};
template <>
struct fields_of<slot_grant> {
    static constexpr auto list =
        std::tuple(make_field("g", &slot_grant::grant_id),
                   make_field("t", &slot_grant::term),
                   make_field("b", &slot_grant::backend_server),
                   make_field("s", &slot_grant::service),
                   make_field("o", &slot_grant::organisation));
};
template <>
struct fields_of<grant_release> {
    static constexpr auto list =
        std::tuple(make_field("g", &grant_release::grant_id),
                   make_field("t", &grant_release::term),
                   make_field("b", &grant_release::backend_server),
                   make_field("r", &grant_release::reason),
                   make_field("c", &grant_release::served),
                   make_field("f", &grant_release::first_byte_ms),
                   make_field("d", &grant_release::duration_ms),
                   make_field("n", &grant_release::output_units));
};
template <>
struct fields_of<running_grant> {
    static constexpr auto list =
        std::tuple(make_field("g", &running_grant::grant_id),
                   make_field("t", &running_grant::term),
                   make_field("h", &running_grant::dispatcher),
                   make_field("b", &running_grant::backend_server),
                   make_field("s", &running_grant::service),
                   make_field("o", &running_grant::organisation));
};
template <>
struct fields_of<inventory> {
    static constexpr auto list =
        std::tuple(make_field("g", &inventory::grants));
};
template <>
struct fields_of<leaving_notice> {
    static constexpr auto list =
        std::tuple(make_field("b", &leaving_notice::backend_servers));
};
template <>
struct fields_of<configuration_notice> {
    static constexpr auto list =
        std::tuple(make_field("v", &configuration_notice::version));
};
template <>
struct fields_of<configuration_request> {
    static constexpr auto list =
        std::tuple(make_field("v", &configuration_request::have_version));
};
template <>
struct fields_of<configuration_delta> {
    static constexpr auto list =
        std::tuple(make_field("f", &configuration_delta::from_version),
                   make_field("t", &configuration_delta::to_version),
                   make_field("c", &configuration_delta::changes),
                   make_field("s", &configuration_delta::snapshot));
};

template <class T>
concept described = requires { fields_of<T>::list; };

using packer = msgpack::packer<msgpack::sbuffer>;

void pack_text(packer& out, std::string_view text) {
    out.pack_str(static_cast<std::uint32_t>(text.size()));
    out.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

template <class T>
void pack_value(packer& out, const T& value) {
    out.pack(value);
}

template <described T>
void pack_value(packer& out, const T& value);

template <described T>
void pack_value(packer& out, const std::vector<T>& values) {
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const T& value : values) {
        pack_value(out, value);
    }
}

template <described T>
void pack_value(packer& out, const T& value) {
    std::apply(
        [&](const auto&... each) {
            out.pack_map(sizeof...(each));
            ((pack_text(out, each.key), pack_value(out, value.*each.member)),
             ...);
        },
        fields_of<T>::list);
}

template <class T>
void read_value(const msgpack::object& in, T& value) {
    in.convert(value);
}

template <described T>
void read_value(const msgpack::object& in, T& value);

template <described T>
void read_value(const msgpack::object& in, std::vector<T>& values) {
    if (in.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    values.resize(in.via.array.size);
    for (std::uint32_t i = 0; i < in.via.array.size; ++i) {
        read_value(in.via.array.ptr[i], values[i]);
    }
}

std::string_view text_of(const msgpack::object& in) {
    if (in.type != msgpack::type::STR) {
        throw msgpack::type_error();
    }
    return {in.via.str.ptr, in.via.str.size};
}

template <described T>
void read_value(const msgpack::object& in, T& value) {
    if (in.type != msgpack::type::MAP) {
        throw msgpack::type_error();
    }
    for (std::uint32_t i = 0; i < in.via.map.size; ++i) {
        const auto& pair = in.via.map.ptr[i];
        const std::string_view key = text_of(pair.key);
        std::apply(
            [&](const auto&... each) {
                ((each.key == key ? read_value(pair.val, value.*each.member)
                                  : void()),
                 ...);
            },
            fields_of<T>::list);
    }
}

// Reads the content as the type with the given index in `body`.
template <std::size_t... Index>
bool read_body(std::size_t type, const msgpack::object& in, body& content,
               std::index_sequence<Index...>) {
    const auto read_as = [&]<std::size_t Candidate>() {
        std::variant_alternative_t<Candidate, body> value;
        read_value(in, value);
        content = std::move(value);
        return true;
    };
    return ((type == Index && read_as.template operator()<Index>()) || ...);
}

// Positions in the envelope, which is an array:
// [major, minor, sender, type, content].
enum envelope_index : std::uint32_t {
    at_major,
    at_minor,
    at_sender,
    at_type,
    at_content,
    envelope_size
};

absl::StatusOr<message> read_message(const msgpack::object& root) {
    if (root.type != msgpack::type::ARRAY ||
        root.via.array.size < envelope_size) {
        return absl::InvalidArgumentError(
            "peer message: expected an array of at least 5 elements");
    }
    const msgpack::object* items = root.via.array.ptr;
    const auto major = items[at_major].as<std::uint32_t>();
    if (major != major_version) {
        return absl::UnimplementedError(
            absl::StrCat("peer message: found major version ", major,
                         ", expected ", major_version));
    }
    message result;
    read_value(items[at_sender], result.from);
    const auto type = items[at_type].as<std::size_t>();
    if (!read_body(type, items[at_content], result.content,
                   std::make_index_sequence<std::variant_size_v<body>>())) {
        return absl::InvalidArgumentError(
            absl::StrCat("peer message: unknown type ", type));
    }
    return result;
}

}  // namespace

std::string encode(const message& value) {
    msgpack::sbuffer buffer;
    packer out(buffer);
    out.pack_array(envelope_size);
    out.pack(major_version);
    out.pack(minor_version);
    pack_value(out, value.from);
    out.pack(value.content.index());
    std::visit([&](const auto& content) { pack_value(out, content); },
               value.content);
    return {buffer.data(), buffer.size()};
}

absl::StatusOr<message> decode(std::span<const char> bytes) {
    // The library reports malformed input by exceptions; they end here.
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size());
        return read_message(handle.get());
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("peer message: ", error.what()));
    }
}

}  // namespace bronzehub::protocol
