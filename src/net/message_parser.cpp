#include "net/message_parser.hpp"

#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::net {
namespace {

// Fields of an ordinary head; the vector of a larger one grows.
constexpr std::size_t usual_field_count = 16;

void remove_trailing_blanks(std::string& text) {
    while (text.ends_with(' ') || text.ends_with('\t')) {
        text.pop_back();
    }
}

}  // namespace

// Callbacks of http_parser; the `data` pointer of the library's parser refers
// to the `message_parser` that they update.
struct parser_callbacks {
    static message_parser& self(http_parser* parser) {
        return *static_cast<message_parser*>(parser->data);
    }

    static int on_message_begin(http_parser* parser) {
        self(parser).state_ = message_parser::state::in_head;
        return 0;
    }

    static int add_head_bytes(message_parser& parsed, std::size_t size) {
        parsed.head_bytes_ += size;
        if (parsed.head_bytes_ > parsed.max_head_bytes_) {
            parsed.state_ = message_parser::state::head_too_large;
            parsed.error_ =
                absl::StrCat("head over ", parsed.max_head_bytes_, " bytes");
            return 1;
        }
        return 0;
    }

    static int on_url(http_parser* parser, const char* at, std::size_t size) {
        self(parser).head_.target.append(at, size);
        return add_head_bytes(self(parser), size);
    }

    static int on_field(http_parser* parser, const char* at, std::size_t size) {
        message_parser& parsed = self(parser);
        if (!parsed.is_trailer()) {
            if (std::exchange(parsed.last_token_was_value_, false)) {
                if (parsed.head_.headers.empty()) {
                    parsed.head_.headers.reserve(usual_field_count);
                }
                parsed.head_.headers.emplace_back();
            }
            parsed.head_.headers.back().name.append(at, size);
        }
        return add_head_bytes(parsed, size);
    }

    static int on_value(http_parser* parser, const char* at, std::size_t size) {
        message_parser& parsed = self(parser);
        if (!parsed.is_trailer()) {
            parsed.last_token_was_value_ = true;
            parsed.head_.headers.back().value.append(at, size);
        }
        return add_head_bytes(parsed, size);
    }

    static int on_headers_complete(http_parser* parser) {
        message_parser& parsed = self(parser);
        if (parsed.kind_ == message_kind::request &&
            parser->method == HTTP_CONNECT) {
            return -1;  // Tunnels are not supported.
        }
        parsed.head_.status = static_cast<int>(parser->status_code);
        parsed.head_.supports_chunked =
            parser->http_major == 1 && parser->http_minor >= 1;
        if (parsed.kind_ == message_kind::request) {
            parsed.head_.method =
                http_method_str(static_cast<http_method>(parser->method));
        }
        if (const absl::Status status = parsed.check_head(); !status.ok()) {
            parsed.fail({status.message().data(), status.message().size()});
            return -1;
        }
        parsed.state_ = message_parser::state::in_body;
        if ((parser->flags & F_CHUNKED) != 0) {
            parsed.syntax_.begin_chunked_body();
        }
        if (parsed.kind_ == message_kind::request) {
            const auto expect =
                base::find_header(parsed.head_.headers, "Expect");
            parsed.head_.expects_continue =
                expect && base::equal_header_names(*expect, "100-continue");
        }
        parsed.head_.keep_alive = http_should_keep_alive(parser) != 0;
        if (parsed.has_body() && (parser->flags & F_CONTENTLENGTH) != 0) {
            parsed.head_.content_length = parser->content_length;
        }
        parsed.hooks_.on_head(parsed.head_);
        return parsed.response_to_head_ ? 1 : 0;
    }

    static int on_body(http_parser* parser, const char* at, std::size_t size) {
        self(parser).hooks_.on_body(std::string_view(at, size));
        return 0;
    }

    static int on_message_complete(http_parser* parser) {
        message_parser& parsed = self(parser);
        parsed.keep_alive_ = http_should_keep_alive(parser) != 0;
        parsed.state_ = message_parser::state::complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& settings() {
        static const http_parser_settings result = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_message_begin = on_message_begin;
            callbacks.on_url = on_url;
            callbacks.on_header_field = on_field;
            callbacks.on_header_value = on_value;
            callbacks.on_headers_complete = on_headers_complete;
            callbacks.on_body = on_body;
            callbacks.on_message_complete = on_message_complete;
            return callbacks;
        }();
        return result;
    }
};

message_parser::message_parser(message_kind kind, std::size_t max_head_bytes,
                               parser_hooks hooks)
    : kind_(kind),
      max_head_bytes_(max_head_bytes),
      hooks_(std::move(hooks)),
      syntax_(kind) {
    next();
}

void message_parser::next(bool response_to_head) {
    http_parser_init(&parser_, kind_ == message_kind::request ? HTTP_REQUEST
                                                              : HTTP_RESPONSE);
    parser_.data = this;
    syntax_ = message_syntax(kind_);
    head_ = {};
    last_token_was_value_ = true;
    head_bytes_ = 0;
    response_to_head_ = response_to_head;
    keep_alive_ = false;
    state_ = state::idle;
    error_.clear();
}

std::size_t message_parser::feed(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size() && !has_ended()) {
        const std::string_view rest = bytes.substr(consumed);
        // After the end of the head, the syntax check is complete unless the
        // body is chunked.
        const bool is_checked = !syntax_.is_complete();
        const std::size_t size = is_checked ? syntax_.check(rest) : rest.size();
        const std::size_t used = size > 0 ? execute(rest.substr(0, size)) : 0;
        consumed += used;
        if (is_checked && !has_ended() && !syntax_.error().empty()) {
            fail(syntax_.error());
        }
    }
    return consumed;
}

std::size_t message_parser::execute(std::string_view bytes) {
    const std::size_t consumed = http_parser_execute(
        &parser_, &parser_callbacks::settings(), bytes.data(), bytes.size());
    check_parse_result(consumed, bytes.size());
    return consumed;
}

void message_parser::fail(std::string_view error) {
    state_ = state::failed;
    error_ = error;
}

absl::Status message_parser::check_head() {
    for (auto& [name, value] : head_.headers) {
        // A response may have blanks before the colon, which are to be removed,
        // and http_parser keeps the blanks after values.
        remove_trailing_blanks(name);
        remove_trailing_blanks(value);
    }
    const framing_fields recognised{
        .length = (parser_.flags & F_CONTENTLENGTH) != 0,
        .chunked = (parser_.flags & F_CHUNKED) != 0};
    if (absl::Status status = check_framing_fields(head_, recognised);
        !status.ok()) {
        return status;
    }
    return kind_ == message_kind::request ? check_request_target(head_)
                                          : absl::OkStatus();
}

// Whether the kind, status and request method allow the message a body.
bool message_parser::has_body() const {
    constexpr int first_final_status = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return kind_ == message_kind::request ||
           (!response_to_head_ && head_.status >= first_final_status &&
            head_.status != no_content && head_.status != not_modified);
}

void message_parser::finish() {
    if (state_ == state::in_body) {
        const std::size_t consumed = http_parser_execute(
            &parser_, &parser_callbacks::settings(), nullptr, 0);
        check_parse_result(consumed, 0);
    }
}

void message_parser::check_parse_result(std::size_t consumed,
                                        std::size_t given) {
    if (has_ended()) {
        return;
    }
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (error != HPE_OK) {
        fail(http_errno_description(error));
    } else if (consumed != given) {
        fail("parser stopped before the end of the input");
    }
}

}  // namespace bronzehub::net
