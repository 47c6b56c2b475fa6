// HTTP header fields as the server and the backend client exchange them.
#ifndef BRONZEHUB_BASE_HTTP_HEADER_HPP
#define BRONZEHUB_BASE_HTTP_HEADER_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bronzehub::base {

struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

// Fields in the order in which they were received or are to be sent. A name
// may occur more than once.
using http_headers = std::vector<http_header>;

// Compares field names, which are case-insensitive ASCII.
bool equal_header_names(std::string_view left, std::string_view right);

// The value of the first field called `name`. The view refers to `headers`.
// O(number of fields).
std::optional<std::string_view> find_header(const http_headers& headers,
                                            std::string_view name);

// True when a field can be sent as it is: the name is a token and the value
// has no control character that could end the line or start another field.
bool is_valid_header(const http_header& field);

// True for the fields that describe one connection or the framing of one
// message, such as Connection and Transfer-Encoding. They are not forwarded.
bool is_hop_by_hop_header(std::string_view name);

}  // namespace bronzehub::base

#endif
