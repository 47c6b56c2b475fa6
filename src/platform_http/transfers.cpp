#include "platform_http/transfers.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::platform {
namespace {

using easy_ptr = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using list_ptr = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

// Upper bound on how late a queued call notices that its time is over. An
// idle thread is only woken by `submit` and the destructor.
constexpr int busy_poll_milliseconds = 100;
constexpr int idle_poll_milliseconds = 60'000;

// Bytes of heads and trailers of a reply; libcurl's own limit depends on its
// version and leaves out trailers.
constexpr std::size_t max_field_bytes = 256UL * 1024;

// Bytes of the body of an error status. The largest that is read is the list
// of conflicts of a transaction, a number for each write.
constexpr std::size_t max_error_bytes = 1024UL * 1024;
constexpr long first_error_status = 400;

http_reply failed(transfer_result result, std::string error) {
    return {result, 0, {}, std::move(error)};
}

// libcurl's own initialisation is not thread-safe, that of a static is.
void initialise_curl() {
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)result;
}

}  // namespace

// Owns the transfer thread and everything that only this thread touches.
class transfers::worker {
public:
    worker(transfer_options options, base::clock time)
        : options_(std::move(options)), time_(std::move(time)) {
        initialise_curl();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                          static_cast<long>(options_.max_in_flight));
        thread_ = std::thread([this] { run(); });
    }

    ~worker() {
        {
            const std::scoped_lock lock(mutex_);
            stopping_ = true;
        }
        curl_multi_wakeup(multi_);
        thread_.join();
        curl_multi_cleanup(multi_);
    }

    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void submit(http_call call, finish_hook finish) {
        std::unique_lock lock(mutex_);
        if (outstanding_ >= options_.max_in_flight + options_.max_queued) {
            lock.unlock();
            finish(failed(transfer_result::rejected,
                          "too many operations are waiting"));
            return;
        }
        ++outstanding_;
        submitted_.push_back({std::move(call), std::move(finish),
                              time_.now() + options_.timeout});
        lock.unlock();
        curl_multi_wakeup(multi_);
    }

private:
    struct queued_call {
        http_call call;
        finish_hook finish;
        base::time_point due;
    };

    struct transfer {
        easy_ptr handle{nullptr, &curl_easy_cleanup};
        list_ptr headers{nullptr, &curl_slist_free_all};
        queued_call queued;
        http_reply reply;
        std::size_t max_bytes = 0;
        std::size_t field_bytes = 0;
        std::string rejection = {};  // Why the reply was given up, or empty.
    };

    void run() {
        while (take_submitted()) {
            start_queued();
            int running = 0;
            curl_multi_perform(multi_, &running);
            collect();
            if (!can_start()) {
                curl_multi_poll(multi_, nullptr, 0,
                                active_.empty() ? idle_poll_milliseconds
                                                : busy_poll_milliseconds,
                                nullptr);
            }
        }
        abandon();
    }

    // Moves submitted calls to the queue; false when the thread must end.
    bool take_submitted() {
        const std::scoped_lock lock(mutex_);
        std::ranges::move(submitted_, std::back_inserter(queue_));
        submitted_.clear();
        return !stopping_;
    }

    bool can_start() const {
        return !queue_.empty() && active_.size() < options_.max_in_flight;
    }

    void start_queued() {
        const base::time_point now = time_.now();
        while (!queue_.empty() && (can_start() || queue_.front().due <= now)) {
            queued_call next = std::move(queue_.front());
            queue_.pop_front();
            if (next.due <= now) {
                finish(next, failed(transfer_result::not_sent,
                                    "timed out before it was sent"));
            } else {
                start(std::move(next), now);
            }
        }
    }

    void start(queued_call next, base::time_point now) {
        auto current = std::make_unique<transfer>();
        current->handle.reset(curl_easy_init());
        current->max_bytes = options_.max_response_bytes;
        current->queued = std::move(next);
        configure(*current, std::chrono::ceil<std::chrono::milliseconds>(
                                current->queued.due - now));
        CURL* handle = current->handle.get();
        active_.emplace(handle, std::move(current));
        curl_multi_add_handle(multi_, handle);
    }

    void configure(transfer& current, std::chrono::milliseconds timeout) const {
        const http_call& call = current.queued.call;
        CURL* handle = current.handle.get();
        const std::string url = options_.base_url + call.target;
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(options_.connect_timeout.count()));
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(timeout.count()));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &worker::receive);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &current);
        curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION,
                         &worker::receive_field);
        curl_easy_setopt(handle, CURLOPT_HEADERDATA, &current);
        // Without the empty Expect header, libcurl waits for 100-continue
        // before it sends a larger body.
        curl_slist* headers = curl_slist_append(nullptr, "Expect:");
        for (const std::string& line : call.headers) {
            headers = curl_slist_append(headers, line.c_str());
        }
        current.headers.reset(headers);
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
        if (call.is_write) {
            curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(call.body.size()));
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.c_str());
        }
    }

    static std::size_t receive(char* data, std::size_t unit, std::size_t count,
                               void* user) {
        auto& current = *static_cast<transfer*>(user);
        const std::size_t size = unit * count;
        long status = 0;
        curl_easy_getinfo(current.handle.get(), CURLINFO_RESPONSE_CODE,
                          &status);
        const std::size_t limit =
            status < first_error_status
                ? current.max_bytes
                : std::min(current.max_bytes, max_error_bytes);
        if (current.reply.body.size() + size > limit) {
            return reject(current,
                          absl::StrCat("the body exceeds ", limit, " bytes"));
        }
        current.reply.body.append(data, size);
        return size;
    }

    static std::size_t receive_field(char* /*data*/, std::size_t unit,
                                     std::size_t count, void* user) {
        auto& current = *static_cast<transfer*>(user);
        current.field_bytes += unit * count;
        if (current.field_bytes > max_field_bytes) {
            return reject(current, absl::StrCat("the header fields exceed ",
                                                max_field_bytes, " bytes"));
        }
        return unit * count;
    }

    // curl ends the transfer and closes its connection when a hook returns the
    // result.
    static std::size_t reject(transfer& current, std::string reason) {
        current.rejection = std::move(reason);
        return CURL_WRITEFUNC_ERROR;
    }

    void collect() {
        int left = 0;
        while (CURLMsg* done = curl_multi_info_read(multi_, &left)) {
            if (done->msg != CURLMSG_DONE) {
                continue;
            }
            // The message is invalid once the handle is removed.
            CURL* handle = done->easy_handle;
            const CURLcode code = done->data.result;
            const auto found = active_.find(handle);
            const std::unique_ptr<transfer> current = std::move(found->second);
            active_.erase(found);
            curl_multi_remove_handle(multi_, handle);
            finish(current->queued, reply_of(*current, code));
        }
    }

    static http_reply reply_of(transfer& current, CURLcode code) {
        CURL* handle = current.handle.get();
        if (code == CURLE_OK) {
            http_reply reply = std::move(current.reply);
            reply.result = transfer_result::completed;
            curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &reply.status);
            return reply;
        }
        // Counts the bytes handed to the socket, so it is zero exactly when
        // the platform cannot have seen the request.
        long sent_bytes = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent_bytes);
        return failed(sent_bytes == 0 ? transfer_result::not_sent
                                      : transfer_result::broken,
                      current.rejection.empty() ? curl_easy_strerror(code)
                                                : current.rejection);
    }

    // Ends every call that is still open when the thread stops.
    void abandon() {
        for (auto& [handle, current] : active_) {
            curl_multi_remove_handle(multi_, handle);
            finish(current->queued,
                   failed(transfer_result::broken, "the client was stopped"));
        }
        active_.clear();
        for (queued_call& each : queue_) {
            finish(each,
                   failed(transfer_result::not_sent, "the client was stopped"));
        }
    }

    void finish(queued_call& done, http_reply reply) {
        {
            const std::scoped_lock lock(mutex_);
            --outstanding_;
        }
        done.finish(std::move(reply));
    }

    const transfer_options options_;
    const base::clock time_;
    CURLM* multi_ = nullptr;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active_;
    std::deque<queued_call> queue_;
    std::thread thread_;

    std::mutex mutex_;
    std::deque<queued_call> submitted_;  // Guarded by mutex_.
    std::size_t outstanding_ = 0;        // Guarded by mutex_.
    bool stopping_ = false;              // Guarded by mutex_.
};

transfers::transfers(transfer_options options, base::clock time)
    : worker_(std::make_unique<worker>(std::move(options), std::move(time))) {}

transfers::~transfers() = default;

void transfers::submit(http_call call, finish_hook finish) {
    worker_->submit(std::move(call), std::move(finish));
}

}  // namespace bronzehub::platform
