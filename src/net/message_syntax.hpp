// Checks messages against the grammar of RFC 9110 and RFC 9112.
//
// http_parser accepts more than the grammar: whitespace before the colon of a
// field, folded lines, bytes other than CRLF after a chunk. Another server can
// read such a message differently and find a second request in its body, so
// `message_parser` passes on only bytes that these checks have accepted.
//
// Load pattern: every byte of every head passes through `message_syntax` once.
// Bodies cost nothing unless they are chunked, and then only their framing.
#ifndef BRONZEHUB_NET_MESSAGE_SYNTAX_HPP
#define BRONZEHUB_NET_MESSAGE_SYNTAX_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "absl/status/status.h"
#include "net/message_head.hpp"

namespace bronzehub::net {

// Checks the bytes of one message as they arrive: the head and, if it is
// chunked, the framing and the trailer fields of the body. Performs no I/O and
// stores no bytes. Not thread-safe.
class message_syntax {
public:
    explicit message_syntax(message_kind kind) : kind_(kind) {}

    // Checks bytes up to the end of the head or of the chunked body. Returns
    // the number of bytes before that end or before the first error.
    std::size_t check(std::string_view bytes);

    // Must be called after the head of a message with a chunked body.
    void begin_chunked_body() { state_ = state::chunk_begin; }

    // Whether the head, or the chunked body that follows it, is complete.
    bool is_complete() const { return state_ == state::complete; }
    // What was found and what was expected; empty without an error.
    std::string_view error() const { return error_; }

private:
    enum class state : std::uint8_t {
        // Before the start line; empty lines are ignored.
        before_message,
        before_message_cr,
        method,
        target,
        version,
        status_line,
        start_line_cr,
        field_begin,
        field_name,
        // Blanks between the name and the colon, in a response.
        after_field_name,
        field_value,
        field_value_cr,
        fields_end_cr,
        chunk_begin,
        chunk_size,
        after_chunk_size,
        chunk_extension,
        chunk_size_cr,
        chunk_data,
        chunk_data_end,
        chunk_data_cr,
        complete,
    };

    // Returns the size of a valid part at the beginning, which is handled at
    // once because most bytes belong to such parts; 0 if there is none.
    std::size_t skip_usual_bytes(std::string_view bytes);
    // Returns the state after this byte, which does not fit if `error_` is set.
    state next_state(char c);
    state check_start_line(char c);
    state check_field_line(char c);
    state check_chunk_framing(char c);
    state fail(std::string_view error);

    message_kind kind_;
    state state_ = state::before_message;
    // Bytes of the current method, target or version.
    std::size_t part_size_ = 0;
    // Bytes of the current chunk that have not arrived.
    std::uint64_t chunk_bytes_left_ = 0;
    std::string_view error_;
};

// The framing fields by which a parser determines the end of a message.
struct framing_fields {
    bool length = false;
    bool chunked = false;
};

// Checks the fields of a head that decide where the message ends, and that the
// parser has recognised them.
absl::Status check_framing_fields(const message_head& head,
                                  framing_fields recognised);

// Checks the target and the Host field of a request. Replaces a target in
// absolute form by its path and query, and Host by its authority, which a
// server has to use instead.
absl::Status check_request_target(message_head& head);

}  // namespace bronzehub::net

#endif
