#include "http_server/response_head.hpp"

#include <algorithm>
#include <array>

#include "absl/strings/str_cat.h"

namespace bronzehub::http_server {
namespace {

struct status_entry {
    int status;
    std::string_view phrase;
};

constexpr std::array status_table{
    status_entry{200, "OK"},
    status_entry{201, "Created"},
    status_entry{202, "Accepted"},
    status_entry{204, "No Content"},
    status_entry{304, "Not Modified"},
    status_entry{400, "Bad Request"},
    status_entry{401, "Unauthorized"},
    status_entry{403, "Forbidden"},
    status_entry{404, "Not Found"},
    status_entry{405, "Method Not Allowed"},
    status_entry{408, "Request Timeout"},
    status_entry{409, "Conflict"},
    status_entry{412, "Precondition Failed"},
    status_entry{413, "Content Too Large"},
    status_entry{414, "URI Too Long"},
    status_entry{422, "Unprocessable Content"},
    status_entry{429, "Too Many Requests"},
    status_entry{431, "Request Header Fields Too Large"},
    status_entry{499, "Client Closed Request"},
    status_entry{500, "Internal Server Error"},
    status_entry{502, "Bad Gateway"},
    status_entry{503, "Service Unavailable"},
    status_entry{504, "Gateway Timeout"},
};

absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

bool is_content_length(const base::http_header& field) {
    return base::equal_header_names(field.name, "Content-Length");
}

bool is_forwarded(const base::http_header& field, body_framing framing) {
    return base::is_valid_header(field) &&
           !base::is_hop_by_hop_header(field.name) &&
           (framing == body_framing::no_body || !is_content_length(field));
}

}  // namespace

bool has_no_body(std::string_view method, int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return method == "HEAD" || status == no_content || status == not_modified;
}

std::string_view reason_phrase(int status) {
    const auto found =
        std::ranges::find(status_table, status, &status_entry::status);
    return found == status_table.end() ? "Unknown" : found->phrase;
}

std::string format_head(const response_head& head,
                        const base::http_headers& headers) {
    std::string text = absl::StrCat("HTTP/1.1 ", head.status, " ",
                                    to_absl(reason_phrase(head.status)));
    absl::StrAppend(&text, "\r\nConnection: ",
                    head.keep_alive ? "keep-alive" : "close", "\r\n");
    for (const base::http_header& field : headers) {
        if (is_forwarded(field, head.framing)) {
            absl::StrAppend(&text, field.name, ": ", field.value, "\r\n");
        }
    }
    if (head.framing == body_framing::content_length) {
        absl::StrAppend(&text, "Content-Length: ", head.content_length, "\r\n");
    } else if (head.framing == body_framing::chunked) {
        text += "Transfer-Encoding: chunked\r\n";
    }
    text += "\r\n";
    return text;
}

}  // namespace bronzehub::http_server
