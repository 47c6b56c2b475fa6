#include "exchange.hpp"

namespace bronzehub::standin {
namespace {

std::string find_or_empty(const std::map<std::string, std::string>& fields,
                          const std::string& name) {
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

}  // namespace

std::string request::header(const std::string& name) const {
    return find_or_empty(headers, name);
}

std::string request::parameter(const std::string& name) const {
    return find_or_empty(query, name);
}

}  // namespace bronzehub::standin
