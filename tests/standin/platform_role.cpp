#include "platform_role.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace bronzehub::standin {
namespace {

using json = nlohmann::json;
using platform::conditional_write;
using platform::row;

constexpr std::string_view table_prefix = "/table/";
constexpr std::string_view object_prefix = "/object/";

json to_json(const std::string& key, const row& content) {
    return {
        {"key", key}, {"value", content.value}, {"version", content.version}};
}

// The version that If-Match names; If-None-Match: * means "must not exist".
// Returns false when the request carries neither.
bool read_condition(const request& call,
                    std::optional<std::uint64_t>& expected) {
    const std::string version = call.header("if-match");
    if (!version.empty()) {
        expected = std::stoull(version);
        return true;
    }
    return call.header("if-none-match") == "*";
}

conditional_write read_write(const json& in) {
    conditional_write result{in.at("table"), in.at("key"), {}, {}};
    if (in.contains("expected_version") && !in["expected_version"].is_null()) {
        result.expected_version = in["expected_version"].get<std::uint64_t>();
    }
    if (in.contains("value") && !in["value"].is_null()) {
        result.value = in["value"].get<std::string>();
    }
    return result;
}

void send_error(const response_ptr& out, int status, const std::string& text) {
    out->send(status, json({{"error", text}}).dump());
}

}  // namespace

bool platform_role::is_journaled(const request& call) const {
    return call.method != "GET";
}

void platform_role::set_stale_hosts(bool stale) {
    if (!stale) {
        stale_hosts_ = nullptr;
    } else if (stale_hosts_.is_null()) {
        stale_hosts_ = hosts_;
    }
}

void platform_role::handle(const request& call, const response_ptr& out) {
    const std::string& path = call.path;
    if (path == "/hosts") {
        hosts(call, out);
    } else if (path == "/transact" && call.method == "POST") {
        transact(call, out);
    } else if (path.starts_with(object_prefix)) {
        object(unescape(path.substr(object_prefix.size())), call, out);
    } else if (path.starts_with(table_prefix)) {
        const std::string rest = path.substr(table_prefix.size());
        const std::size_t slash = rest.find('/');
        if (slash == std::string::npos) {
            list(unescape(rest), call, out);
            return;
        }
        const std::string table = unescape(rest.substr(0, slash));
        const std::string key = unescape(rest.substr(slash + 1));
        if (call.method == "GET") {
            read_row(table, key, out);
        } else {
            write_row(table, key, call, out);
        }
    } else {
        send_error(out, 404, "no such path");
    }
}

void platform_role::read_row(const std::string& table, const std::string& key,
                             const response_ptr& out) const {
    const auto found = store_.read(table, key);
    if (found) {
        out->send(200, to_json(key, *found).dump());
    } else {
        send_error(out, 404, "no such row");
    }
}

void platform_role::write_row(const std::string& table, const std::string& key,
                              const request& call, const response_ptr& out) {
    conditional_write write{table, key, {}, {}};
    const bool conditional = read_condition(call, write.expected_version);
    if (!conditional) {
        const auto found = store_.read(table, key);
        write.expected_version =
            found ? std::optional(found->version) : std::nullopt;
    }
    if (call.method == "PUT") {
        write.value = call.body;
    } else if (!write.expected_version) {
        send_error(out, 404, "no such row");
        return;
    }
    const auto result = store_.transact(std::span(&write, 1));
    if (result.ok() && result->applied) {
        out->send(200, json({{"version", result->versions[0]}}).dump());
    } else {
        send_error(out, 412, "the condition does not hold");
    }
}

void platform_role::list(const std::string& table, const request& call,
                         const response_ptr& out) const {
    platform::list_query query{table, call.parameter("prefix"),
                               call.parameter("after")};
    const std::string limit = call.parameter("limit");
    if (!limit.empty()) {
        query.limit = static_cast<std::uint32_t>(std::stoul(limit));
    }
    json rows = json::array();
    for (const auto& each : store_.list(query)) {
        rows.push_back(to_json(each.key, each.content));
    }
    out->send(200, json({{"rows", rows}}).dump());
}

void platform_role::transact(const request& call, const response_ptr& out) {
    std::vector<conditional_write> writes;
    const json body = json::parse(call.body);
    for (const json& each : body.at("writes")) {
        writes.push_back(read_write(each));
    }
    const auto result = store_.transact(writes);
    if (!result.ok()) {
        send_error(out, 400, std::string(result.status().message()));
    } else if (result->applied) {
        out->send(200, json({{"versions", result->versions}}).dump());
    } else {
        out->send(409, json({{"conflicts", result->conflicts}}).dump());
    }
}

void platform_role::object(const std::string& key, const request& call,
                           const response_ptr& out) {
    if (call.method == "PUT") {
        if (store_.create_object(key, call.body)) {
            out->send(200, "{}");
        } else {
            send_error(out, 412, "the object exists");
        }
        return;
    }
    const auto found = store_.read_object(key);
    if (found) {
        out->send(200, *found);
    } else {
        send_error(out, 404, "no such object");
    }
}

void platform_role::hosts(const request& call, const response_ptr& out) {
    if (call.method == "PUT") {
        hosts_ = json::parse(call.body).at("hosts");
    }
    const bool stale = call.method == "GET" && !stale_hosts_.is_null();
    out->send(200, json({{"hosts", stale ? stale_hosts_ : hosts_}}).dump());
}

}  // namespace bronzehub::standin
