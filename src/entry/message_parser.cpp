#include "entry/message_parser.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {

// Passes what the library reports on to the object behind `data`.
struct parser_callbacks {
    static message_parser& self(http_parser* parser) {
        return *static_cast<message_parser*>(parser->data);
    }

    static int on_message_begin(http_parser* parser) {
        self(parser).state_ = message_parser::state::in_head;
        return 0;
    }

    static int add_head_bytes(message_parser& to, std::size_t size) {
        to.head_bytes_ += size;
        if (to.head_bytes_ > to.max_head_bytes_) {
            to.state_ = message_parser::state::head_too_large;
            to.error_ =
                absl::StrCat("head over ", to.max_head_bytes_, " bytes");
            return 1;
        }
        return 0;
    }

    static int on_url(http_parser* parser, const char* at, std::size_t size) {
        self(parser).head_.target.append(at, size);
        return add_head_bytes(self(parser), size);
    }

    static int on_field(http_parser* parser, const char* at, std::size_t size) {
        message_parser& to = self(parser);
        if (std::exchange(to.last_was_value_, false)) {
            to.head_.headers.emplace_back();
        }
        to.head_.headers.back().name.append(at, size);
        return add_head_bytes(to, size);
    }

    static int on_value(http_parser* parser, const char* at, std::size_t size) {
        message_parser& to = self(parser);
        to.last_was_value_ = true;
        to.head_.headers.back().value.append(at, size);
        return add_head_bytes(to, size);
    }

    static int on_headers_complete(http_parser* parser) {
        message_parser& to = self(parser);
        if (to.kind_ == message_kind::request &&
            parser->method == HTTP_CONNECT) {
            return -1;  // Tunnels are not offered.
        }
        to.state_ = message_parser::state::in_body;
        to.head_.status = static_cast<int>(parser->status_code);
        if (to.kind_ == message_kind::request) {
            to.head_.method =
                http_method_str(static_cast<http_method>(parser->method));
            const auto expect = base::find_header(to.head_.headers, "Expect");
            to.head_.expects_continue =
                expect && base::equal_header_names(*expect, "100-continue");
        }
        to.head_.keep_alive = http_should_keep_alive(parser) != 0;
        to.head_.allows_chunks =
            parser->http_major == 1 && parser->http_minor >= 1;
        if (to.has_body() && (parser->flags & F_CONTENTLENGTH) != 0) {
            to.head_.content_length = parser->content_length;
        }
        to.hooks_.on_head(to.head_);
        return to.head_response_ ? 1 : 0;
    }

    static int on_body(http_parser* parser, const char* at, std::size_t size) {
        self(parser).hooks_.on_body(std::string_view(at, size));
        return 0;
    }

    static int on_message_complete(http_parser* parser) {
        message_parser& to = self(parser);
        to.keep_alive_ = http_should_keep_alive(parser) != 0;
        to.state_ = message_parser::state::complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings() {
        static const http_parser_settings result = [] {
            http_parser_settings made;
            http_parser_settings_init(&made);
            made.on_message_begin = on_message_begin;
            made.on_url = on_url;
            made.on_header_field = on_field;
            made.on_header_value = on_value;
            made.on_headers_complete = on_headers_complete;
            made.on_body = on_body;
            made.on_message_complete = on_message_complete;
            return made;
        }();
        return result;
    }
};

message_parser::message_parser(message_kind kind, std::size_t max_head_bytes,
                               parser_hooks hooks)
    : kind_(kind), max_head_bytes_(max_head_bytes), hooks_(std::move(hooks)) {
    next();
}

void message_parser::next(bool head_response) {
    http_parser_init(&parser_, kind_ == message_kind::request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    parser_.data = this;
    head_ = {};
    last_was_value_ = true;
    head_bytes_ = 0;
    head_response_ = head_response;
    keep_alive_ = false;
    state_ = state::idle;
    error_.clear();
}

std::size_t message_parser::feed(std::string_view bytes) {
    if (bytes.empty() || state_ == state::complete || state_ == state::failed ||
        state_ == state::head_too_large) {
        return 0;
    }
    const std::size_t taken = http_parser_execute(
        &parser_, &parser_callbacks::settings(), bytes.data(), bytes.size());
    check_result(taken, bytes.size());
    return taken;
}

// Whether the framing fields of the head announce a body.
bool message_parser::has_body() const {
    constexpr int first_final_status = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return kind_ == message_kind::request ||
           (!head_response_ && head_.status >= first_final_status &&
            head_.status != no_content && head_.status != not_modified);
}

void message_parser::finish() {
    if (state_ == state::in_body) {
        const std::size_t taken = http_parser_execute(
            &parser_, &parser_callbacks::settings(), nullptr, 0);
        check_result(taken, 0);
    }
}

void message_parser::check_result(std::size_t taken, std::size_t given) {
    if (state_ == state::complete || state_ == state::head_too_large) {
        return;
    }
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK) {
        state_ = state::failed;
        error_ = http_errno_description(error);
    } else if (taken != given) {
        state_ = state::failed;
        error_ = "not understood";
    }
}

}  // namespace bronzehub::entry
