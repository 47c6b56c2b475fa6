#include "exchange.hpp"

#include <charconv>

namespace bronzehub::standin {
namespace {

std::string find_or_empty(const std::map<std::string, std::string>& fields,
                          const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

}  // namespace

std::string unescape(std::string_view text) {
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        unsigned int code = 0;
        const char* digits = text.data() + at + 1;
        if (text[at] == '%' && at + 2 < text.size() &&
            std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2) {
            result += static_cast<char>(code);
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

std::string request::header(const std::string& name) const {
    return find_or_empty(headers, name);
}

std::string request::parameter(const std::string& name) const {
    return find_or_empty(query, name);
}

}  // namespace bronzehub::standin
