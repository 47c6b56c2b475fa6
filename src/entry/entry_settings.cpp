#include "entry/entry_settings.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "base/json_fields.hpp"

namespace bronzehub::base {

using entry::entry_settings;

namespace {

bool is_address(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    const std::string_view port =
        colon == std::string_view::npos ? "" : text.substr(colon + 1);
    return colon != std::string_view::npos && colon > 0 && !port.empty() &&
           port.size() <= 5 && std::ranges::all_of(port, [](char c) {
               return c >= '0' && c <= '9';
           });
}

bool is_not_empty(std::string_view text) {
    return !text.empty();
}

bool is_log_level(std::string_view text) {
    constexpr std::array<std::string_view, 4> levels{"debug", "info", "warning",
                                                     "error"};
    return std::ranges::find(levels, text) != levels.end();
}

constexpr string_rule address_rule{"IP:port", is_address};
constexpr string_rule name_rule{"a name", is_not_empty};
constexpr string_rule log_level_rule{"debug, info, warning or error",
                                     is_log_level};
// From 1 ms, the shortest useful round trip time, to one hour.
constexpr number_range time_ms_range{1, 3'600'000};
constexpr number_range ratio_range{0, 10};
constexpr number_range percent_range{0, 100};
constexpr number_range count_range{0, 1'000'000};
// With fewer than 30, the listeners, the store and the log leave no descriptors
// for the connections of callers.
constexpr number_range descriptor_range{30, 10'000'000};
// 0 stands for no limit.
constexpr number_range memory_mb_range{0, 1'000'000};

}  // namespace

template <>
struct json_schema<entry::entry_host_settings> {
    static void fields(auto& form, auto& value) {
        form.required("name", value.name, name_rule);
        form.required("failure_domain", value.failure_domain, name_rule);
    }
};

template <>
struct json_schema<entry::entry_listener_settings> {
    static void fields(auto& form, auto& value) {
        form.required("callers", value.callers, address_rule);
        form.required("readiness", value.readiness, address_rule);
        form.required("operators", value.operators, address_rule);
        form.required("peers", value.peers, address_rule);
    }
};

template <>
struct json_schema<entry::entry_store_settings> {
    static void fields(auto& form, auto& value) {
        form.required("address", value.address, address_rule);
    }
};

template <>
struct json_schema<entry::entry_bound_settings> {
    static void fields(auto& form, auto& value) {
        form.optional("revocation_ms", value.revocation_ms, time_ms_range);
        form.optional("drain_ms", value.drain_ms, time_ms_range);
        form.optional("configuration_ms", value.configuration_ms,
                      time_ms_range);
        form.optional("evacuation_ms", value.evacuation_ms, time_ms_range);
        form.optional("grace_period_ms", value.grace_period_ms, time_ms_range);
        form.optional("delivery_ms", value.delivery_ms, time_ms_range);
        form.optional("retry_ratio", value.retry_ratio, ratio_range);
        form.optional("retry_extra", value.retry_extra, count_range);
        form.optional("retry_window_ms", value.retry_window_ms, time_ms_range);
        form.optional("cold_overrun", value.cold_overrun, ratio_range);
        form.optional("cold_allowance", value.cold_allowance, count_range);
    }
};

template <>
struct json_schema<entry::entry_limit_settings> {
    static void fields(auto& form, auto& value) {
        form.optional("descriptors", value.descriptors, descriptor_range);
        form.optional("memory_mb", value.memory_mb, memory_mb_range);
    }
};

template <>
struct json_schema<entry::entry_hedging_settings> {
    static void fields(auto& form, auto& value) {
        form.optional("extra_work_percent", value.extra_work_percent,
                      percent_range);
    }
};

template <>
struct json_schema<entry::entry_log_settings> {
    static void fields(auto& form, auto& value) {
        form.optional("level", value.level, log_level_rule);
    }
};

template <>
struct json_schema<entry_settings> {
    static void fields(auto& form, auto& value) {
        form.required("host", value.host);
        form.required("listeners", value.listeners);
        form.required("store", value.store);
        form.optional("bounds", value.bounds);
        form.optional("limits", value.limits);
        form.optional("hedging", value.hedging);
        form.optional("log", value.log);
    }
};

}  // namespace bronzehub::base

namespace bronzehub::entry {

absl::StatusOr<entry_settings> parse_entry_settings(std::string_view text) {
    base::json_errors errors;
    const auto document =
        base::parse_json(text, errors, base::json_comments::ignored);
    entry_settings result;
    if (!document.is_discarded()) {
        const std::string root;
        base::read_value(base::detail::value_context{document, root, errors},
                         result, base::any_value{});
    }
    if (!errors.empty()) {
        return base::to_status(errors);
    }
    return result;
}

absl::StatusOr<entry_settings> load_entry_settings(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return absl::NotFoundError(
            absl::StrCat("settings file ", path, " cannot be read"));
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_entry_settings(text.str());
}

}  // namespace bronzehub::entry
