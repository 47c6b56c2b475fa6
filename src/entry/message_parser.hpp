// HTTP/1.1 messages from bytes, by the parser library that RESTinio uses too.
//
// RESTinio and libcurl buffer and frame messages their own way; an entry daemon
// relays events as they come, on one thread and a fraction of a core, and must
// see where each message ends. docs/platform.md has the figures.
#ifndef BRONZEHUB_ENTRY_MESSAGE_PARSER_HPP
#define BRONZEHUB_ENTRY_MESSAGE_PARSER_HPP

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/http_header.hpp"

namespace bronzehub::entry {

struct message_head {
    // Requests.
    std::string method;
    std::string target;
    // Responses.
    int status = 0;
    base::http_headers headers;
    bool keep_alive = false;
    // Announced length of a body that follows.
    std::optional<std::uint64_t> content_length;
    // The caller waits for an interim response before it sends the body.
    bool expects_continue = false;
    // The other side understands chunks: HTTP/1.1 or later.
    bool allows_chunks = false;
};

struct parser_hooks {
    std::function<void(message_head&)> on_head;
    std::function<void(std::string_view)> on_body;
};

enum class message_kind { request, response };

// Parses one message after the other. Not thread-safe.
class message_parser {
public:
    enum class state {
        // Nothing of the next message has come.
        idle,
        in_head,
        in_body,
        // `next` must be called before more is fed.
        complete,
        failed,
        // The head is larger than allowed.
        head_too_large,
    };

    message_parser(message_kind kind, std::size_t max_head_bytes,
                   parser_hooks hooks);
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    // Feeds bytes up to the end of the present message; returns how many were
    // taken.
    std::size_t feed(std::string_view bytes);

    // The connection ended properly. Completes a response whose end is marked
    // by that alone.
    void finish();

    state where() const { return state_; }
    bool keep_alive() const { return keep_alive_; }
    std::string_view error() const { return error_; }
    const message_head& head() const { return head_; }

    // Prepares for the next message. `head_response`: the next response
    // answers a HEAD request and has no body.
    void next(bool head_response = false);

    // Limit for the heads of messages to come.
    void set_max_head_bytes(std::size_t bytes) { max_head_bytes_ = bytes; }

private:
    friend struct parser_callbacks;

    bool has_body() const;
    void check_result(std::size_t taken, std::size_t given);

    message_kind kind_;
    std::size_t max_head_bytes_;
    parser_hooks hooks_;
    http_parser parser_{};
    message_head head_;
    bool last_was_value_ = true;
    std::size_t head_bytes_ = 0;
    bool head_response_ = false;
    bool keep_alive_ = false;
    state state_ = state::idle;
    std::string error_;
};

}  // namespace bronzehub::entry

#endif
