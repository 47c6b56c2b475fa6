#include "entry/event_relay.hpp"

#include <charconv>

#include "absl/strings/str_cat.h"

namespace bronzehub::entry {
namespace {

// A buffer that held more than this is freed when it is not needed.
constexpr std::size_t max_kept_bytes = std::size_t{16} * 1024;
constexpr std::string_view event_separator = "\n\n";
constexpr std::string_view id_field = "id:";
constexpr std::string_view data_field = "data:";

// A block without a data field, such as a comment, is not an event.
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

bool event_relay::process_event(std::string_view event) {
    const auto id = event_id(event);
    if (!id) {
        last_event_has_id_ = last_event_has_id_ && !has_data(event);
        ++event_count_;
        return true;
    }
    if (resumed_ && last_event_id_) {
        if (*id <= *last_event_id_) {
            // A server that replays the stream sends each delivered event once
            // and in order.
            if (server_last_id_ && *id <= *server_last_id_) {
                fail("events repeated out of order");
            }
            server_last_id_ = id;
            return false;
        }
        if (*id != *last_event_id_ + 1) {
            fail("event missing behind a resumption");
            return false;
        }
    }
    last_event_id_ = id;
    server_last_id_ = id;
    last_event_has_id_ = true;
    ++event_count_;
    return true;
}

std::string_view event_relay::feed(std::string_view bytes) {
    if (complete_events_.capacity() > max_kept_bytes) {
        std::string().swap(complete_events_);
    }
    complete_events_.clear();
    if (failed()) {
        return complete_events_;
    }
    const std::size_t search_from =
        partial_event_.empty() ? 0 : partial_event_.size() - 1;
    partial_event_.append(bytes);
    std::size_t begin = 0;
    std::size_t end = partial_event_.find(event_separator, search_from);
    while (end != std::string::npos && !failed()) {
        end += event_separator.size();
        const auto event =
            std::string_view(partial_event_).substr(begin, end - begin);
        if (process_event(event)) {
            complete_events_.append(event);
        }
        begin = end;
        end = partial_event_.find(event_separator, begin);
    }
    partial_event_.erase(0, begin);
    if (partial_event_.empty() && partial_event_.capacity() > max_kept_bytes) {
        std::string().swap(partial_event_);
    }
    if (partial_event_.size() > max_event_bytes) {
        fail(absl::StrCat("event over ", max_event_bytes, " bytes"));
    }
    if (failed()) {
        // Frees the buffer, as the next server may start sending much later.
        std::string().swap(partial_event_);
    }
    return complete_events_;
}

void event_relay::fail(std::string_view error) {
    error_ = error;
}

void event_relay::switch_server() {
    partial_event_.clear();
    error_.clear();
    server_last_id_.reset();
    resumed_ = last_event_id_.has_value();
}

}  // namespace bronzehub::entry
