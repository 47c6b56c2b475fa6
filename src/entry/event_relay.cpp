#include "entry/event_relay.hpp"

#include <charconv>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

constexpr std::string_view separator = "\n\n";
constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data:";

// A block without data, such as a comment, is no event.
bool has_data(std::string_view event) {
    return event.starts_with(data_field) ||
           event.find("\ndata:") != std::string_view::npos;
}

}  // namespace

std::optional<std::uint64_t> event_id(std::string_view event) {
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            while (line.starts_with(' ')) {
                line.remove_prefix(1);
            }
            std::uint64_t id = 0;
            const auto parsed =
                std::from_chars(line.data(), line.data() + line.size(), id);
            if (parsed.ec == std::errc()) {
                return id;
            }
            return std::nullopt;
        }
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
    }
    return std::nullopt;
}

bool event_relay::accept(std::string_view event) {
    const auto id = event_id(event);
    if (!id) {
        last_event_has_id_ = last_event_has_id_ && !has_data(event);
        ++events_;
        return true;
    }
    if (restarted_ && last_id_) {
        if (*id <= *last_id_) {
            // A server that restarts from the first event repeats each once, in
            // order.
            if (run_last_id_ && *id <= *run_last_id_) {
                fail("events repeated out of order");
            }
            run_last_id_ = id;
            return false;
        }
        if (*id != *last_id_ + 1) {
            fail("event missing behind a resumption");
            return false;
        }
    }
    last_id_ = id;
    run_last_id_ = id;
    last_event_has_id_ = true;
    ++events_;
    return true;
}

std::string_view event_relay::feed(std::string_view bytes) {
    whole_.clear();
    if (failed()) {
        return whole_;
    }
    const std::size_t search_from = partial_.empty() ? 0 : partial_.size() - 1;
    partial_.append(bytes);
    std::size_t begin = 0;
    std::size_t end = partial_.find(separator, search_from);
    while (end != std::string::npos && !failed()) {
        end += separator.size();
        const auto event =
            std::string_view(partial_).substr(begin, end - begin);
        if (accept(event)) {
            whole_.append(event);
        }
        begin = end;
        end = partial_.find(separator, begin);
    }
    partial_.erase(0, begin);
    if (partial_.size() > max_event_bytes) {
        fail(absl::StrCat("event over ", max_event_bytes, " bytes"));
    }
    if (failed()) {
        partial_ = {};  // The next server's stream may be a while away.
    }
    return whole_;
}

void event_relay::fail(std::string_view why) {
    failure_ = why;
}

void event_relay::restart() {
    partial_.clear();
    failure_.clear();
    run_last_id_.reset();
    restarted_ = last_id_.has_value();
}

}  // namespace bronzehub::entry
