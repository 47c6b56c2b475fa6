#include "net/message_syntax.hpp"

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>
#include <optional>
#include <string>
#include <utility>

namespace bronzehub::net {
namespace {

// Classes of bytes, as bits of a table entry.
constexpr std::uint8_t token_byte = 1;
constexpr std::uint8_t value_byte = 2;
constexpr std::uint8_t target_byte = 4;
constexpr std::uint8_t host_byte = 8;

constexpr bool is_alphanumeric(unsigned int byte) {
    return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= 'a' && byte <= 'z');
}

constexpr std::array<std::uint8_t, 256> byte_classes = [] {
    constexpr std::string_view token_symbols = "!#$%&'*+-.^_`|~";
    // Unreserved characters, subcomponent delimiters and percent encodings.
    constexpr std::string_view host_symbols = "-._~%!$&'()*+,;=";
    std::array<std::uint8_t, 256> result{};
    for (unsigned int byte = 0; byte < result.size(); ++byte) {
        const char c = static_cast<char>(byte);
        std::uint8_t classes = 0;
        if (is_alphanumeric(byte) ||
            token_symbols.find(c) != token_symbols.npos) {
            classes |= token_byte;
        }
        if (c == '\t' || (byte >= 0x20 && byte != 0x7f)) {
            classes |= value_byte;
        }
        // Delimiters that RFC 3986 excludes, such as '|', are accepted: clients
        // send them unencoded and no server ends a target there. A fragment is
        // never part of a request.
        if (byte > 0x20 && byte < 0x7f && c != '#') {
            classes |= target_byte;
        }
        if (is_alphanumeric(byte) ||
            host_symbols.find(c) != host_symbols.npos) {
            classes |= host_byte;
        }
        result[byte] = classes;
    }
    return result;
}();

bool has_class(char c, std::uint8_t byte_class) {
    return (byte_classes[static_cast<unsigned char>(c)] & byte_class) != 0;
}

// Number of bytes before the first one that is not of this class.
std::size_t prefix_size(std::string_view bytes, std::uint8_t byte_class) {
    std::size_t size = 0;
    while (size < bytes.size() && has_class(bytes[size], byte_class)) {
        ++size;
    }
    return size;
}

// Number of bytes before one that may not be part of a field value. Checks
// eight bytes at a time, as values make up most of a head.
std::size_t value_size(std::string_view bytes) {
    constexpr std::uint64_t ones = 0x0101010101010101;
    constexpr std::uint64_t high_bits = 0x80 * ones;
    std::size_t size = 0;
    for (std::uint64_t word = 0; size + sizeof(word) <= bytes.size();
         size += sizeof(word)) {
        std::memcpy(&word, bytes.data() + size, sizeof(word));
        // A subtraction borrows into the high bit of a byte below 0x20, or of
        // one that equals DEL and has become zero. It may also do so above such
        // a byte, which only ends the loop.
        const std::uint64_t is_control = (word - 0x20 * ones) & ~word;
        const std::uint64_t without_del = word ^ (0x7f * ones);
        const std::uint64_t is_del = (without_del - ones) & ~without_del;
        if (((is_control | is_del) & high_bits) != 0) {
            break;
        }
    }
    return size + prefix_size(bytes.substr(size), value_byte);
}

// Size of the complete field lines at the beginning that are valid.
std::size_t field_lines_size(std::string_view bytes) {
    std::size_t size = 0;
    while (true) {
        const std::string_view line = bytes.substr(size);
        const std::size_t name = prefix_size(line, token_byte);
        if (name == 0 || name == line.size() || line[name] != ':') {
            return size;
        }
        const std::size_t end = name + 1 + value_size(line.substr(name + 1));
        if (!line.substr(end).starts_with("\r\n")) {
            return size;
        }
        size += end + 2;
    }
}

bool is_blank(char c) {
    return c == ' ' || c == '\t';
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

std::optional<std::uint64_t> hexadecimal_digit(char c) {
    if (is_digit(c)) {
        return c - '0';
    }
    constexpr int lower_case_bit = 0x20;
    const int lower = static_cast<unsigned char>(c) | lower_case_bit;
    if (lower >= 'a' && lower <= 'f') {
        return lower - 'a' + 10;
    }
    return std::nullopt;
}

// Whether the text is a host with an optional port.
bool is_host_and_port(std::string_view text) {
    std::size_t host_size = 0;
    if (text.starts_with('[')) {
        const std::size_t end = text.find(']');
        if (end == std::string_view::npos ||
            !std::ranges::all_of(text.substr(1, end - 1), [](char c) {
                return c == ':' || has_class(c, host_byte);
            })) {
            return false;
        }
        host_size = end + 1;
    } else {
        host_size = std::min(text.find(':'), text.size());
        if (!std::ranges::all_of(text.substr(0, host_size), [](char c) {
                return has_class(c, host_byte);
            })) {
            return false;
        }
    }
    const std::string_view port = text.substr(host_size);
    return port.empty() || (port.front() == ':' &&
                            std::ranges::all_of(port.substr(1), is_digit));
}

// Returns the text after a scheme that this server handles, if there is one.
std::optional<std::string_view> strip_scheme(std::string_view target) {
    constexpr std::array<std::string_view, 2> schemes{"http://", "https://"};
    for (const std::string_view scheme : schemes) {
        if (base::equal_header_names(target.substr(0, scheme.size()), scheme)) {
            return target.substr(scheme.size());
        }
    }
    return std::nullopt;
}

// Compares sizes first, as most fields have another name.
bool has_name(const base::http_header& field, std::string_view name) {
    return field.name.size() == name.size() &&
           base::equal_header_names(field.name, name);
}

absl::Status invalid(std::string_view message) {
    return absl::InvalidArgumentError({message.data(), message.size()});
}

}  // namespace

message_syntax::state message_syntax::fail(std::string_view error) {
    error_ = error;
    return state_;
}

message_syntax::state message_syntax::check_start_line(char c) {
    constexpr std::string_view version = "HTTP/1.";
    switch (state_) {
        case state::before_message:
            if (c == '\r') {
                return state::before_message_cr;
            }
            if (c == '\n') {
                return state_;
            }
            state_ = kind_ == message_kind::request ? state::method
                                                    : state::status_line;
            return check_start_line(c);
        case state::before_message_cr:
            return c == '\n' ? state::before_message
                             : fail("found CR without LF before the message");
        case state::method:
            if (c == ' ' && part_size_ > 0) {
                part_size_ = 0;
                return state::target;
            }
            ++part_size_;
            return has_class(c, token_byte)
                       ? state_
                       : fail("expected a method, then a space");
        case state::target:
            if (c == ' ' && part_size_ > 0) {
                part_size_ = 0;
                return state::version;
            }
            ++part_size_;
            return has_class(c, target_byte)
                       ? state_
                       : fail(
                             "expected a target of visible ASCII "
                             "characters without a fragment");
        case state::version:
            if (part_size_ < version.size()
                    ? c == version[part_size_]
                    : part_size_ == version.size() && is_digit(c)) {
                ++part_size_;
                return state_;
            }
            if (part_size_ == version.size() + 1 && (c == '\r' || c == '\n')) {
                return c == '\r' ? state::start_line_cr : state::field_begin;
            }
            return fail("expected version HTTP/1.x at the end of the line");
        case state::status_line:
            if (c == '\r' || c == '\n') {
                return c == '\r' ? state::start_line_cr : state::field_begin;
            }
            return has_class(c, value_byte)
                       ? state_
                       : fail("found a control character in the status line");
        default:  // start_line_cr
            return c == '\n' ? state::field_begin
                             : fail("found CR without LF in the start line");
    }
}

message_syntax::state message_syntax::check_field_line(char c) {
    switch (state_) {
        case state::field_begin:
            if (c == '\r') {
                return state::fields_end_cr;
            }
            if (c == '\n') {
                return state::complete;
            }
            if (is_blank(c)) {
                return fail("found a folded line or a blank before a field");
            }
            return has_class(c, token_byte) ? state::field_name
                                            : fail("expected a field name");
        case state::field_name:
            if (c == ':') {
                return state::field_value;
            }
            // A proxy has to remove blanks from a response. http_parser, which
            // reads it next, knows no tab at this place.
            if (c == ' ' && kind_ == message_kind::response) {
                return state::after_field_name;
            }
            return has_class(c, token_byte)
                       ? state_
                       : fail("expected a colon after the field name");
        case state::after_field_name:
            if (c == ':') {
                return state::field_value;
            }
            return c == ' ' ? state_
                            : fail("expected a colon after the field name");
        case state::field_value:
            if (c == '\r') {
                return state::field_value_cr;
            }
            if (c == '\n') {
                return state::field_begin;
            }
            return has_class(c, value_byte)
                       ? state_
                       : fail("found a control character in a field value");
        case state::field_value_cr:
            return c == '\n' ? state::field_begin
                             : fail("found CR without LF in a field value");
        default:  // fields_end_cr
            return c == '\n' ? state::complete
                             : fail("found CR without LF after the fields");
    }
}

message_syntax::state message_syntax::check_chunk_framing(char c) {
    switch (state_) {
        case state::chunk_begin:
        case state::chunk_size: {
            if (const auto digit = hexadecimal_digit(c)) {
                const std::uint64_t left =
                    state_ == state::chunk_begin ? 0 : chunk_bytes_left_;
                constexpr int bits = 4;
                if (left > std::numeric_limits<std::uint64_t>::max() >> bits) {
                    return fail("found a chunk size over 64 bits");
                }
                chunk_bytes_left_ = (left << bits) | *digit;
                return state::chunk_size;
            }
            if (state_ == state::chunk_begin) {
                return fail("expected a chunk size");
            }
            return is_blank(c) ? state::after_chunk_size
                   : c == ';'  ? state::chunk_extension
                   : c == '\r' ? state::chunk_size_cr
                               : fail("expected CRLF after the chunk size");
        }
        case state::after_chunk_size:
            return is_blank(c) ? state_
                   : c == ';'  ? state::chunk_extension
                               : fail("expected an extension after the blank");
        case state::chunk_extension:
            if (c == '\r') {
                return state::chunk_size_cr;
            }
            return has_class(c, value_byte)
                       ? state_
                       : fail("found a control character in an extension");
        case state::chunk_size_cr:
            if (c != '\n') {
                return fail("found CR without LF after the chunk size");
            }
            return chunk_bytes_left_ > 0 ? state::chunk_data
                                         : state::field_begin;
        case state::chunk_data_end:
            return c == '\r' ? state::chunk_data_cr
                             : fail("expected CRLF after the chunk");
        default:  // chunk_data_cr
            return c == '\n' ? state::chunk_begin
                             : fail("found CR without LF after the chunk");
    }
}

message_syntax::state message_syntax::next_state(char c) {
    if (state_ < state::field_begin) {
        return check_start_line(c);
    }
    return state_ < state::chunk_begin ? check_field_line(c)
                                       : check_chunk_framing(c);
}

std::size_t message_syntax::skip_usual_bytes(std::string_view bytes) {
    switch (state_) {
        case state::target: {
            const std::size_t size = prefix_size(bytes, target_byte);
            part_size_ += size;
            return size;
        }
        case state::field_begin:
            return field_lines_size(bytes);
        case state::field_name:
            return prefix_size(bytes, token_byte);
        case state::status_line:
        case state::field_value:
            return value_size(bytes);
        case state::chunk_begin: {
            // A line with at most this many digits and no extension.
            constexpr std::size_t max_digits = 8;
            std::uint64_t chunk_size = 0;
            std::size_t digits = 0;
            while (digits < std::min(bytes.size(), max_digits)) {
                const auto digit = hexadecimal_digit(bytes[digits]);
                if (!digit) {
                    break;
                }
                chunk_size = (chunk_size << 4) | *digit;
                ++digits;
            }
            if (chunk_size == 0 || !bytes.substr(digits).starts_with("\r\n")) {
                return 0;
            }
            chunk_bytes_left_ = chunk_size;
            state_ = state::chunk_data;
            return digits + 2;
        }
        case state::chunk_data: {
            const auto size = static_cast<std::size_t>(
                std::min<std::uint64_t>(chunk_bytes_left_, bytes.size()));
            chunk_bytes_left_ -= size;
            if (chunk_bytes_left_ > 0) {
                return size;
            }
            const bool has_end = bytes.substr(size).starts_with("\r\n");
            state_ = has_end ? state::chunk_begin : state::chunk_data_end;
            return size + (has_end ? 2 : 0);
        }
        default:
            return 0;
    }
}

std::size_t message_syntax::check(std::string_view bytes) {
    std::size_t checked = 0;
    while (!is_complete() && error_.empty()) {
        while (const std::size_t size =
                   skip_usual_bytes(bytes.substr(checked))) {
            checked += size;
        }
        if (checked == bytes.size()) {
            break;
        }
        const state next = next_state(bytes[checked]);
        if (!error_.empty()) {
            break;
        }
        state_ = next;
        ++checked;
    }
    return checked;
}

absl::Status check_framing_fields(const message_head& head,
                                  framing_fields recognised) {
    const base::http_header* length = nullptr;
    const base::http_header* coding = nullptr;
    for (const base::http_header& field : head.headers) {
        const bool is_length = has_name(field, "Content-Length");
        if (!is_length && !has_name(field, "Transfer-Encoding")) {
            continue;
        }
        if (std::exchange(is_length ? length : coding, &field) != nullptr) {
            return invalid(
                "found several Content-Length or Transfer-Encoding fields, "
                "expected one");
        }
    }
    if (length != nullptr && (length->value.empty() ||
                              !std::ranges::all_of(length->value, is_digit))) {
        return invalid("expected a decimal number in Content-Length");
    }
    if (coding != nullptr && length != nullptr) {
        return invalid("found both Content-Length and Transfer-Encoding");
    }
    if (coding != nullptr &&
        !base::equal_header_names(coding->value, "chunked")) {
        return invalid("expected \"chunked\" in Transfer-Encoding");
    }
    // HTTP/1.0 has no transfer codings; an older hop may have removed this one.
    if (coding != nullptr && !head.supports_chunked) {
        return invalid("found Transfer-Encoding in HTTP/1.0");
    }
    if (recognised.length != (length != nullptr) ||
        recognised.chunked != (coding != nullptr)) {
        return invalid("found a framing field that the parser does not use");
    }
    return absl::OkStatus();
}

absl::Status check_request_target(message_head& head) {
    base::http_header* host = nullptr;
    for (base::http_header& field : head.headers) {
        if (has_name(field, "Host") && std::exchange(host, &field) != nullptr) {
            return invalid("found several Host fields, expected one");
        }
    }
    // HTTP/1.1 requires the field, also beside a target in absolute form.
    if (host == nullptr && head.supports_chunked) {
        return invalid("found no Host field");
    }
    if (host != nullptr && !is_host_and_port(host->value)) {
        return invalid("expected a host and port in Host");
    }
    if (head.target.starts_with('/') ||
        (head.target == "*" && head.method == "OPTIONS")) {
        return absl::OkStatus();
    }
    const auto after_scheme = strip_scheme(head.target);
    if (!after_scheme) {
        return invalid("expected a target in origin or absolute form");
    }
    const std::size_t end =
        std::min(after_scheme->find_first_of("/?"), after_scheme->size());
    const std::string_view authority = after_scheme->substr(0, end);
    if (authority.empty() || authority.starts_with(':') ||
        !is_host_and_port(authority)) {
        return invalid("expected a host and port in the target");
    }
    if (host == nullptr) {
        head.headers.push_back({"Host", ""});
        host = &head.headers.back();
    }
    host->value = authority;
    const std::string_view rest = after_scheme->substr(end);
    const bool concerns_server = rest.empty() && head.method == "OPTIONS";
    std::string target = concerns_server         ? "*"
                         : rest.starts_with('/') ? ""
                                                 : "/";
    target.append(rest);
    head.target = std::move(target);
    return absl::OkStatus();
}

}  // namespace bronzehub::net
