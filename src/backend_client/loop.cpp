#include "backend_client/loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace bronzehub::backend_client {
namespace {

constexpr std::size_t max_spare_handles = 64;
constexpr std::size_t events_per_wait = 64;

std::uint32_t to_epoll_events(int what) {
    std::uint32_t events = 0;
    if ((what & CURL_POLL_IN) != 0) {
        events |= EPOLLIN;
    }
    if ((what & CURL_POLL_OUT) != 0) {
        events |= EPOLLOUT;
    }
    return events;
}

int to_curl_events(std::uint32_t events) {
    int what = 0;
    if ((events & EPOLLIN) != 0) {
        what |= CURL_CSELECT_IN;
    }
    if ((events & EPOLLOUT) != 0) {
        what |= CURL_CSELECT_OUT;
    }
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        what |= CURL_CSELECT_ERR;
    }
    return what;
}

}  // namespace

unique_descriptor::unique_descriptor(unique_descriptor&& other) noexcept
    : value_(std::exchange(other.value_, -1)) {}

unique_descriptor::~unique_descriptor() {
    if (value_ >= 0) {
        close(value_);
    }
}

client::loop::loop(const options& settings)
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      wakeup_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      multi_(curl_multi_init()),
      max_idle_age_(settings.max_idle_age) {
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &loop::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &loop::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(settings.max_idle_connections));
}

client::loop::~loop() {
    if (thread_.joinable()) {
        stopping_ = true;
        post([] {});
        thread_.join();
    }
    spare_.clear();
    curl_multi_cleanup(multi_);
}

absl::Status client::loop::start() {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = wakeup_.get();
    if (multi_ == nullptr ||
        epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, wakeup_.get(), &event) != 0) {
        return absl::ResourceExhaustedError(
            "the system refused a descriptor for the backend client");
    }
    thread_ = std::thread([this] { run(); });
    return absl::OkStatus();
}

handle client::loop::send(backend_request request, backend_events events) {
    const auto id = static_cast<handle>(next_id_.fetch_add(1));
    post([this, id, call = std::move(request),
          hooks = std::move(events)]() mutable {
        begin(id, std::move(call), std::move(hooks));
    });
    return id;
}

void client::loop::cancel(handle id) {
    if (transfer* call = find_in_place(id)) {
        call->cancel();
    }
    // Removing a handle inside one of its own callbacks is not allowed, so
    // the removal always waits for the loop.
    post([this, id] { finish_cancelled(id); });
}

void client::loop::pause(handle id) {
    if (transfer* call = find_in_place(id)) {
        call->pause();
        return;
    }
    post([this, id] {
        if (transfer* call = find(id)) {
            call->pause();
        }
    });
}

void client::loop::resume(handle id) {
    post([this, id] {
        transfer* call = find(id);
        if (call != nullptr && call->resume()) {
            curl_easy_pause(call->easy(), CURLPAUSE_CONT);
        }
    });
}

void client::loop::run() {
    while (!stopping_) {
        run_commands();
        wait_and_dispatch();
        timers_.run_due(clock_.now());
        collect_finished();
    }
    run_commands();
    cancel_all();
}

void client::loop::post(command task) {
    {
        const std::scoped_lock lock(mutex_);
        commands_.push_back(std::move(task));
    }
    eventfd_write(wakeup_.get(), 1);
}

void client::loop::run_commands() {
    std::vector<command> ready;
    {
        const std::scoped_lock lock(mutex_);
        ready.swap(commands_);
    }
    std::ranges::for_each(ready, [](command& task) { task(); });
}

void client::loop::wait_and_dispatch() {
    std::array<epoll_event, events_per_wait> events{};
    const int count = epoll_wait(epoll_.get(), events.data(), events.size(),
                                 wait_milliseconds());
    for (int i = 0; i < count; ++i) {
        const epoll_event& event = events[static_cast<std::size_t>(i)];
        if (event.data.fd == wakeup_.get()) {
            eventfd_t value = 0;
            eventfd_read(wakeup_.get(), &value);
        } else {
            int running = 0;
            curl_multi_socket_action(multi_, event.data.fd,
                                     to_curl_events(event.events), &running);
        }
    }
    run_curl_timer();
}

int client::loop::wait_milliseconds() const {
    std::optional<base::time_point> due = timers_.next_due();
    if (curl_due_ && (!due || *curl_due_ < *due)) {
        due = curl_due_;
    }
    if (!due) {
        return -1;
    }
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(*due - clock_.now());
    return static_cast<int>(
        std::clamp<std::chrono::milliseconds::rep>(left.count(), 0, 60'000));
}

void client::loop::run_curl_timer() {
    if (curl_due_ && *curl_due_ <= clock_.now()) {
        curl_due_.reset();
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
    }
}

void client::loop::collect_finished() {
    int queued = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &queued)) {
        transfer* call = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        finish(call->id(), message->data.result, {});
    }
}

void client::loop::begin(handle id, backend_request request,
                         backend_events events) {
    if (!is_sendable(request)) {
        if (events.on_end) {
            events.on_end({.kind = outcome::not_sent,
                           .error = "malformed method, path or header"});
        }
        return;
    }
    auto call = std::make_unique<transfer>(
        id, std::move(request), std::move(events), take_easy(), clock_);
    curl_easy_setopt(call->easy(), CURLOPT_MAXAGE_CONN,
                     static_cast<long>(max_idle_age_.count()));
    curl_multi_add_handle(multi_, call->easy());
    transfers_.emplace(id, std::move(call));
    watch_idle(id);
}

void client::loop::watch_idle(handle id) {
    transfer* call = find(id);
    if (call->has_idle_timeout()) {
        timers_.schedule(call->idle_deadline(), [this, id] { check_idle(id); });
    }
}

void client::loop::check_idle(handle id) {
    transfer* call = find(id);
    if (call == nullptr) {
        return;
    }
    if (call->idle_deadline() > clock_.now()) {
        watch_idle(id);
    } else {
        finish(id, CURLE_OPERATION_TIMEDOUT, "no byte within the idle timeout");
    }
}

void client::loop::finish(handle id, CURLcode code, std::string_view error) {
    auto node = transfers_.extract(id);
    transfer& call = *node.mapped();
    curl_multi_remove_handle(multi_, call.easy());
    call.end(code, error);
    recycle(call.take_easy());
}

void client::loop::finish_cancelled(handle id) {
    if (transfer* call = find(id)) {
        call->cancel();
        finish(id, CURLE_ABORTED_BY_CALLBACK, "cancelled");
    }
}

void client::loop::cancel_all() {
    while (!transfers_.empty()) {
        finish_cancelled(transfers_.begin()->first);
    }
}

// Finds nothing on other threads, and before the call has begun.
transfer* client::loop::find_in_place(handle id) {
    return std::this_thread::get_id() == thread_.get_id() ? find(id) : nullptr;
}

transfer* client::loop::find(handle id) {
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? nullptr : found->second.get();
}

easy_ptr client::loop::take_easy() {
    if (spare_.empty()) {
        return easy_ptr(curl_easy_init());
    }
    easy_ptr easy = std::move(spare_.back());
    spare_.pop_back();
    return easy;
}

void client::loop::recycle(easy_ptr easy) {
    if (spare_.size() < max_spare_handles) {
        curl_easy_reset(easy.get());
        spare_.push_back(std::move(easy));
    }
}

int client::loop::on_socket(CURL* easy, curl_socket_t descriptor, int what,
                            void* self, void* /*unused*/) {
    // Null for a handle of curl's own, which closes idle connections.
    transfer* call = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
    if (call != nullptr) {
        what == CURL_POLL_REMOVE ? call->forget_socket(descriptor)
                                 : call->use_socket(descriptor);
    }
    const int epoll = static_cast<loop*>(self)->epoll_.get();
    if (what == CURL_POLL_REMOVE) {
        epoll_ctl(epoll, EPOLL_CTL_DEL, descriptor, nullptr);
        return 0;
    }
    epoll_event event{};
    event.events = to_epoll_events(what);
    event.data.fd = descriptor;
    if (epoll_ctl(epoll, EPOLL_CTL_MOD, descriptor, &event) != 0) {
        epoll_ctl(epoll, EPOLL_CTL_ADD, descriptor, &event);
    }
    return 0;
}

int client::loop::on_timer(CURLM* /*multi*/, long timeout_ms, void* self) {
    auto& owner = *static_cast<loop*>(self);
    if (timeout_ms < 0) {
        owner.curl_due_.reset();
    } else {
        owner.curl_due_ =
            owner.clock_.now() + std::chrono::milliseconds(timeout_ms);
    }
    return 0;
}

}  // namespace bronzehub::backend_client
