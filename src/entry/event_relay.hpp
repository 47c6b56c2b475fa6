// Relays a server-sent event stream in units of complete events and tracks the
// last event id, so that the stream can be resumed at another backend server
// without gaps or duplicates.
#ifndef BRONZEHUB_ENTRY_EVENT_RELAY_HPP
#define BRONZEHUB_ENTRY_EVENT_RELAY_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bronzehub::entry {

// Parses the streams that successive backend servers send for one response.
// Not thread-safe.
class event_relay {
public:
    // A stream with a larger event fails.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    // Appends bytes of the current server's stream. Returns the events that
    // became complete and have not been delivered yet; the view is valid until
    // the next call.
    std::string_view feed(std::string_view bytes);

    // Prepares for the stream of another server: discards a partial event and
    // the error. If an event with an id was delivered, later events up to that
    // id are dropped as duplicates.
    void switch_server();

    // Id of the last delivered event that has one.
    std::optional<std::uint64_t> last_event_id() const {
        return last_event_id_;
    }
    // Whether another server can continue the stream: only if the last
    // delivered event has an id, as that id marks the position.
    bool can_resume() const { return last_event_id_ && last_event_has_id_; }
    // Whether the current server has sent only events that were delivered
    // before and has not reached the last delivered one yet.
    bool is_replaying() const {
        return server_last_id_ && last_event_id_ &&
               *server_last_id_ < *last_event_id_;
    }
    // Number of delivered events, counting blocks without data as well.
    std::uint64_t event_count() const { return event_count_; }
    // Whether the last event is still incomplete.
    bool has_partial_event() const { return !partial_event_.empty(); }
    // Memory that the buffers take.
    std::size_t buffer_memory() const {
        return partial_event_.capacity() + complete_events_.capacity();
    }
    // Why the current server's stream is unusable; empty while it is usable.
    // After an error, `feed` ignores all bytes until `switch_server`.
    std::string_view error() const { return error_; }
    bool failed() const { return !error_.empty(); }

private:
    // Updates the state for a complete event. Returns whether to deliver it.
    bool process_event(std::string_view event);
    void fail(std::string_view error);

    std::string partial_event_;
    // Result of the last `feed`.
    std::string complete_events_;
    std::optional<std::uint64_t> last_event_id_;
    std::uint64_t event_count_ = 0;
    // The server was switched after an event with an id was delivered.
    bool resumed_ = false;
    bool last_event_has_id_ = false;
    // Last id that the current server sent, dropped duplicates included.
    std::optional<std::uint64_t> server_last_id_;
    std::string error_;
};

// Returns the numeric id of an event, if it has one.
std::optional<std::uint64_t> event_id(std::string_view event);

}  // namespace bronzehub::entry

#endif
