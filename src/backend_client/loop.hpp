// The event loop of the backend client: libcurl's multi interface driven by
// epoll. Internal to the library.
#ifndef BRONZEHUB_BACKEND_CLIENT_LOOP_HPP
#define BRONZEHUB_BACKEND_CLIENT_LOOP_HPP

#include <curl/curl.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "backend_client/client.hpp"
#include "backend_client/transfer.hpp"
#include "base/clock.hpp"
#include "base/timer_queue.hpp"

namespace bronzehub::backend_client {

// A descriptor that is closed with its owner.
class unique_descriptor {
public:
    explicit unique_descriptor(int value = -1) : value_(value) {}
    unique_descriptor(unique_descriptor&& other) noexcept;
    unique_descriptor& operator=(unique_descriptor&&) = delete;
    ~unique_descriptor();

    int get() const { return value_; }

private:
    int value_;
};

class client::loop {
public:
    explicit loop(const options& settings);
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    ~loop();

    absl::Status start();

    handle send(backend_request request, backend_events events);
    void cancel(handle id);
    void pause(handle id);
    void resume(handle id);

private:
    using command = std::function<void()>;

    static int on_socket(CURL* easy, curl_socket_t descriptor, int what,
                         void* self, void* unused);
    static int on_timer(CURLM* multi, long timeout_ms, void* self);

    void run();
    void post(command task);
    void run_commands();
    void wait_and_dispatch();
    int wait_milliseconds() const;
    void run_curl_timer();
    void collect_finished();

    void begin(handle id, backend_request request, backend_events events);
    void watch_idle(handle id);
    void check_idle(handle id);
    void finish(handle id, CURLcode code, std::string_view error);
    void finish_cancelled(handle id);
    void cancel_all();
    transfer* find(handle id);
    transfer* find_in_place(handle id);

    easy_ptr take_easy();
    void recycle(easy_ptr easy);

    base::clock clock_ = base::monotonic_clock();
    unique_descriptor epoll_;
    unique_descriptor wakeup_;
    CURLM* multi_;
    std::chrono::seconds max_idle_age_;

    std::mutex mutex_;
    std::vector<command> commands_;
    std::atomic<std::uint64_t> next_id_ = 1;
    std::atomic<bool> stopping_ = false;

    // Below: only on the loop's thread.
    std::unordered_map<handle, std::unique_ptr<transfer>> transfers_;
    std::vector<easy_ptr> spare_;
    base::timer_queue timers_;
    std::optional<base::time_point> curl_due_;

    std::thread thread_;
};

}  // namespace bronzehub::backend_client

#endif
