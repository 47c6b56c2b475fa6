// HTTP header fields, as the HTTP server and the client of the backend servers
// use them.
#ifndef BRONZEHUB_BASE_HTTP_HEADER_HPP
#define BRONZEHUB_BASE_HTTP_HEADER_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::base {

// One header field.
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

// Header fields in the order in which they are received or sent. A name may
// occur more than once.
using http_headers = std::vector<http_header>;

// Compares field names, which are case-insensitive ASCII.
bool equal_header_names(std::string_view left, std::string_view right);

// The value of the first field called `name`. The view refers to `headers`.
// O(number of fields).
std::optional<std::string_view> find_header(const http_headers& headers,
                                            std::string_view name);

// True when a field can be sent unchanged: its name is an HTTP token and its
// value has no control character that could end the line or start another
// field.
bool is_valid_header(const http_header& field);

// True for fields that apply to one connection or to the framing of one
// message, such as Connection and Transfer-Encoding. They are not forwarded.
bool is_hop_by_hop_header(std::string_view name);

}  // namespace bronzehub::base

#endif
