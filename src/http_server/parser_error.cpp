#include "http_server/parser_error.hpp"

#include <algorithm>
#include <array>

namespace bronzehub::http_server {
namespace {

struct error_entry {
    std::string_view name;
    int status;
};

// The parser names the callback that refused its input; RESTinio's callbacks
// refuse only what is over a limit.
constexpr std::array error_table{
    error_entry{"HPE_CB_url", 414},
    error_entry{"HPE_CB_header_field", 431},
    error_entry{"HPE_CB_header_value", 431},
    error_entry{"HPE_HEADER_OVERFLOW", 431},
    error_entry{"HPE_CB_headers_complete", 413},
    error_entry{"HPE_CB_body", 413},
    error_entry{"HPE_", 400},
};

}  // namespace

int parser_error_status(std::string_view message) {
    constexpr std::string_view marker = "parser error ";
    const std::size_t start = message.find(marker);
    if (start == message.npos) {
        return 0;
    }
    const std::string_view name = message.substr(start + marker.size());
    const auto found =
        std::ranges::find_if(error_table, [name](const error_entry& entry) {
            return name.starts_with(entry.name);
        });
    return found == error_table.end() ? 0 : found->status;
}

}  // namespace bronzehub::http_server
