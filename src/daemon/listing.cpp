#include "daemon/listing.hpp"

#include <algorithm>
#include <charconv>
#include <ranges>
#include <vector>

#include "absl/strings/str_cat.h"
#include "configuration/json_form.hpp"

namespace bronzehub::daemon {
namespace {

struct page_request {
    std::uint32_t after = 0;
    std::size_t limit = default_page_size;
};

bool parse(std::string_view text, auto& out) {
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), out);
    return error == std::errc() && end == text.data() + text.size();
}

absl::Status bad_parameter(std::string_view text) {
    return absl::InvalidArgumentError(absl::StrCat(
        "query: found \"", absl::string_view(text.data(), text.size()),
        "\", expected after=<number> or limit=<1 to ", max_page_size, ">"));
}

absl::StatusOr<page_request> parse_query(std::string_view query) {
    page_request result;
    while (!query.empty()) {
        const std::string_view parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(parameter.size() + 1, query.size()));
        const std::size_t equals = parameter.find('=');
        const std::string_view name = parameter.substr(0, equals);
        const std::string_view value = equals == std::string_view::npos
                                           ? ""
                                           : parameter.substr(equals + 1);
        const bool valid = name == "after"   ? parse(value, result.after)
                           : name == "limit" ? parse(value, result.limit) &&
                                                   result.limit >= 1 &&
                                                   result.limit <= max_page_size
                                             : false;
        if (!valid) {
            return bad_parameter(parameter);
        }
    }
    return result;
}

void leave_out_digests(nlohmann::json& item) {
    const auto keys = item.find("keys");
    if (keys == item.end()) {
        return;
    }
    for (auto& key : *keys) {
        key.erase("sha256");
    }
}

template <class Object>
nlohmann::json make_page(const std::vector<Object>& objects,
                         const page_request& request, std::uint64_t version) {
    std::vector<const Object*> chosen;
    for (const Object& object : objects) {
        if (object.id.value() > request.after) {
            chosen.push_back(&object);
        }
    }
    std::ranges::sort(chosen, {},
                      [](const Object* object) { return object->id.value(); });
    const bool has_more = chosen.size() > request.limit;
    chosen.resize(std::min(chosen.size(), request.limit));

    nlohmann::json page;
    page["version"] = version;
    page["items"] = nlohmann::json::array();
    for (const Object* object : chosen) {
        nlohmann::json item = base::write_value(*object);
        leave_out_digests(item);
        page["items"].push_back(std::move(item));
    }
    if (has_more) {
        page["next_after"] = chosen.back()->id.value();
    }
    return page;
}

}  // namespace

absl::StatusOr<nlohmann::json> list_page(
    const configuration::fleet_configuration& configuration, listed_kind kind,
    std::string_view query) {
    const auto request = parse_query(query);
    if (!request.ok()) {
        return request.status();
    }
    switch (kind) {
        case listed_kind::organisations:
            return make_page(configuration.organisations, *request,
                             configuration.version);
        case listed_kind::services:
            return make_page(configuration.services, *request,
                             configuration.version);
        case listed_kind::backend_servers:
            return make_page(configuration.backend_servers, *request,
                             configuration.version);
    }
    return absl::InternalError("unknown kind of object");
}

}  // namespace bronzehub::daemon
