// Relays a server-sent event stream by whole events and remembers the last id,
// so that the stream can go on elsewhere without a gap or a repeat.
#ifndef BRONZEHUB_ENTRY_EVENT_RELAY_HPP
#define BRONZEHUB_ENTRY_EVENT_RELAY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzehub::entry {

// Not thread-safe.
class event_relay {
public:
    // Events larger than this are an error of the backend server.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    // Adds bytes; returns the whole events to pass on. The view is valid until
    // the next call.
    std::string_view feed(std::string_view bytes);

    // The stream goes on at another server: a partial event is dropped, and
    // events that were passed on already are left out when they come again.
    void restart();

    std::optional<std::uint64_t> last_id() const { return last_id_; }
    // Whether another server can be told where the stream is to go on: only
    // when the last event that was passed on has an id.
    bool can_resume() const { return last_id_ && last_event_has_id_; }
    // A server that restarted from the first event has not reached the last one
    // passed on.
    bool is_behind() const {
        return run_last_id_ && last_id_ && *run_last_id_ < *last_id_;
    }
    std::uint64_t events() const { return events_; }
    // An event has begun and not ended.
    bool has_partial() const { return !partial_.empty(); }
    // Why the stream can't go on from this server; empty if it can. What
    // follows is dropped until `restart`.
    std::string_view failure() const { return failure_; }
    bool failed() const { return !failure_.empty(); }

private:
    bool accept(std::string_view event);
    void fail(std::string_view why);

    std::string partial_;
    std::string whole_;
    std::optional<std::uint64_t> last_id_;
    std::uint64_t events_ = 0;
    bool restarted_ = false;
    bool last_event_has_id_ = false;
    // Last id since the restart, of events that were left out too.
    std::optional<std::uint64_t> run_last_id_;
    std::string failure_;
};

// The id of an event, if it has a numeric one.
std::optional<std::uint64_t> event_id(std::string_view event);

}  // namespace bronzehub::entry

#endif
