#include "platform_http/wire.hpp"

#include <curl/curl.h>

#include <memory>
#include <utility>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace bronzehub::platform {
namespace {

using json = nlohmann::json;

enum http_status : long {
    ok = 200,
    multiple_choices = 300,
    bad_request = 400,
    not_found = 404,
    request_timeout = 408,
    conflict = 409,
    precondition_failed = 412,
    too_many_requests = 429,
    internal_error = 500,
    service_unavailable = 503,
};

enum class direction { read, write };

std::string escape(const std::string& text) {
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
        &curl_free);
    return escaped.get();
}

// Nothing is known about the effect: a read can be repeated, a write not.
absl::Status lost(direction kind, const std::string& why) {
    const std::string text = absl::StrCat("platform: ", why);
    return kind == direction::write ? absl::UnknownError(text)
                                    : absl::UnavailableError(text);
}

// The status of a reply that is not a success and has no meaning particular
// to its operation.
absl::Status failure_of(const http_reply& reply, direction kind) {
    switch (reply.result) {
        case transfer_result::not_sent:
            return absl::UnavailableError(
                absl::StrCat("platform: ", reply.error));
        case transfer_result::rejected:
            return absl::ResourceExhaustedError(
                absl::StrCat("platform: ", reply.error));
        case transfer_result::broken:
            return lost(kind, reply.error);
        case transfer_result::completed:
            break;
    }
    const std::string text =
        absl::StrCat("platform: found status ", reply.status);
    switch (reply.status) {
        case too_many_requests:
            return absl::ResourceExhaustedError(text);
        case service_unavailable:
            return absl::UnavailableError(text);
        case request_timeout:
            return lost(kind, text);
        default:
            return reply.status >= bad_request && reply.status < internal_error
                       ? absl::InvalidArgumentError(text)
                       : lost(kind, text);
    }
}

bool has_status(const http_reply& reply, long status) {
    return reply.result == transfer_result::completed && reply.status == status;
}

bool succeeded(const http_reply& reply) {
    return reply.result == transfer_result::completed && reply.status >= ok &&
           reply.status < multiple_choices;
}

// Reads the body by `read`. The library reports malformed JSON and missing
// fields by exceptions; they end here.
template <class T, class Read>
absl::StatusOr<T> read_body(const http_reply& reply, direction kind,
                            Read read) {
    try {
        return read(json::parse(reply.body));
    } catch (const json::exception& error) {
        return lost(kind, absl::StrCat("malformed response: ", error.what()));
    }
}

row read_row(const json& in) {
    return {in.at("value").get<std::string>(),
            in.at("version").get<std::uint64_t>()};
}

json to_json(const conditional_write& write) {
    json result{{"table", write.table}, {"key", write.key}};
    if (write.expected_version) {
        result["expected_version"] = *write.expected_version;
    }
    if (write.value) {
        result["value"] = *write.value;
    }
    return result;
}

listed_host read_host(const json& in) {
    const bool leaving = in.value("state", "live") == "leaving";
    return {in.at("name").get<std::string>(), in.value("address", ""),
            in.value("failure_domain", ""),
            leaving ? listed_state::leaving : listed_state::live};
}

http_call get_call(std::string target) {
    return {"GET", std::move(target), {}, {}, false};
}

}  // namespace

http_call read_row_call(const std::string& table, const std::string& key) {
    return get_call(absl::StrCat("/table/", escape(table), "/", escape(key)));
}

http_call list_call(const list_query& query) {
    return get_call(absl::StrCat(
        "/table/", escape(query.table), "?prefix=", escape(query.prefix),
        "&after=", escape(query.after), "&limit=", query.limit));
}

http_call read_object_call(const std::string& key) {
    return get_call(absl::StrCat("/object/", escape(key)));
}

http_call create_object_call(const std::string& key, std::string value) {
    return {"PUT",
            absl::StrCat("/object/", escape(key)),
            {"If-None-Match: *", "Content-Type: application/octet-stream"},
            std::move(value),
            true};
}

http_call hosts_call() {
    return get_call("/hosts");
}

absl::StatusOr<http_call> transact_call(
    std::span<const conditional_write> writes) {
    json list = json::array();
    for (const conditional_write& each : writes) {
        list.push_back(to_json(each));
    }
    try {
        return http_call{"POST",
                         "/transact",
                         {"Content-Type: application/json"},
                         json{{"writes", std::move(list)}}.dump(),
                         true};
    } catch (const json::exception& error) {
        return absl::InvalidArgumentError(
            absl::StrCat("platform: ", error.what()));
    }
}

absl::StatusOr<std::optional<row>> parse_row(const http_reply& reply) {
    if (has_status(reply, not_found)) {
        return std::optional<row>();
    }
    if (!succeeded(reply)) {
        return failure_of(reply, direction::read);
    }
    return read_body<std::optional<row>>(reply, direction::read, read_row);
}

absl::StatusOr<std::vector<keyed_row>> parse_list(const http_reply& reply) {
    if (!succeeded(reply)) {
        return failure_of(reply, direction::read);
    }
    const auto read = [](const json& body) {
        std::vector<keyed_row> rows;
        for (const json& each : body.at("rows")) {
            rows.push_back({each.at("key"), read_row(each)});
        }
        return rows;
    };
    return read_body<std::vector<keyed_row>>(reply, direction::read, read);
}

absl::StatusOr<transaction_result> parse_transaction(const http_reply& reply) {
    const bool conflicting = has_status(reply, conflict);
    if (!succeeded(reply) && !conflicting) {
        return failure_of(reply, direction::write);
    }
    const auto read = [conflicting](const json& body) {
        transaction_result result;
        result.applied = !conflicting;
        if (conflicting) {
            body.at("conflicts").get_to(result.conflicts);
        } else {
            body.at("versions").get_to(result.versions);
        }
        return result;
    };
    return read_body<transaction_result>(reply, direction::write, read);
}

absl::StatusOr<std::optional<std::string>> parse_object(http_reply reply) {
    if (has_status(reply, not_found)) {
        return std::optional<std::string>();
    }
    if (!succeeded(reply)) {
        return failure_of(reply, direction::read);
    }
    return std::optional(std::move(reply.body));
}

absl::StatusOr<bool> parse_created(const http_reply& reply) {
    if (has_status(reply, precondition_failed) || has_status(reply, conflict)) {
        return absl::AbortedError("platform: the object exists");
    }
    if (!succeeded(reply)) {
        return failure_of(reply, direction::write);
    }
    return true;
}

absl::StatusOr<std::vector<listed_host>> parse_hosts(const http_reply& reply) {
    if (!succeeded(reply)) {
        return failure_of(reply, direction::read);
    }
    const auto read = [](const json& body) {
        std::vector<listed_host> hosts;
        for (const json& each : body.at("hosts")) {
            hosts.push_back(read_host(each));
        }
        return hosts;
    };
    return read_body<std::vector<listed_host>>(reply, direction::read, read);
}

}  // namespace bronzehub::platform
