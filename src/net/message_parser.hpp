// An incremental HTTP/1.1 parser based on http_parser, the library that
// RESTinio uses too.
//
// RESTinio and libcurl buffer and frame messages themselves. An entry daemon
// relays events as they arrive, on one thread and a fraction of a core, and
// must know where each message ends. docs/platform.md has the measurements.
//
// `message_syntax` checks all bytes first, because http_parser is lenient.
// Trailer fields of a chunked body are checked and dropped: they must not be
// taken for fields of the head.
#ifndef BRONZEHUB_NET_MESSAGE_PARSER_HPP
#define BRONZEHUB_NET_MESSAGE_PARSER_HPP

#include <http_parser.h>

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "net/message_head.hpp"
#include "net/message_syntax.hpp"

namespace bronzehub::net {

// Callbacks of a `message_parser`.
struct parser_hooks {
    // Called once for each message, when its head is complete.
    std::function<void(message_head&)> on_head;
    // Called for each part of the body; the bytes are valid during the call.
    std::function<void(std::string_view)> on_body;
};

// Parses the messages of one connection one after another. Not thread-safe.
class message_parser {
public:
    enum class state {
        // No byte of the next message has arrived.
        idle,
        in_head,
        in_body,
        // The message is complete; `next` must be called before `feed`.
        complete,
        // The message is malformed; `error` says why.
        failed,
        // The head exceeds `max_head_bytes`.
        head_too_large,
    };

    message_parser(message_kind kind, std::size_t max_head_bytes,
                   parser_hooks hooks);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    // Parses bytes up to the end of the current message and returns how many
    // were consumed.
    std::size_t feed(std::string_view bytes);

    // Must be called when the peer has closed the connection without an error.
    // Completes a response whose body is delimited only by the end of the
    // connection.
    void finish();

    state current_state() const { return state_; }
    // Whether the connection may be reused after the complete message.
    bool keep_alive() const { return keep_alive_; }
    // Why the state is `failed` or `head_too_large`.
    std::string_view error() const { return error_; }
    const message_head& head() const { return head_; }
    // Hands over the head of the complete message.
    message_head take_head() { return std::exchange(head_, {}); }
    // Memory that the fields take, which is far more than their bytes.
    std::size_t head_memory() const {
        return head_.headers.capacity() * sizeof(base::http_header) +
               2 * head_bytes_;
    }

    // Prepares for the next message. With `response_to_head`, that message is
    // the response to a HEAD request and has no body.
    void next(bool response_to_head = false);

    // Sets the size limit for the heads of later messages.
    void set_max_head_bytes(std::size_t bytes) { max_head_bytes_ = bytes; }

private:
    friend struct parser_callbacks;

    bool has_body() const;
    bool is_trailer() const { return state_ == state::in_body; }
    // Whether no more bytes of this message are accepted.
    bool has_ended() const {
        return state_ == state::complete || state_ == state::failed ||
               state_ == state::head_too_large;
    }
    // Passes bytes that are valid by themselves to http_parser.
    std::size_t execute(std::string_view bytes);
    void check_parse_result(std::size_t consumed, std::size_t given);
    // Checks what the fields of the complete head mean together.
    absl::Status check_head();
    void fail(std::string_view error);

    message_kind kind_;
    std::size_t max_head_bytes_;
    parser_hooks hooks_;
    http_parser parser_{};
    message_syntax syntax_;
    message_head head_;
    bool last_token_was_value_ = true;
    std::size_t head_bytes_ = 0;
    bool response_to_head_ = false;
    bool keep_alive_ = false;
    state state_ = state::idle;
    std::string error_;
};

}  // namespace bronzehub::net

#endif
