#include "backend_client/client.hpp"

#include <curl/curl.h>

#include <utility>

#include "backend_client/loop.hpp"

namespace bronzehub::backend_client {

absl::StatusOr<std::unique_ptr<client>> client::start(const options& settings) {
    // Counted and thread-safe; the cleanup is in the destructor.
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto state = std::make_unique<loop>(settings);
    absl::Status started = state->start();
    std::unique_ptr<client> result(new client(std::move(state)));
    if (!started.ok()) {
        return started;
    }
    return result;
}

client::client(std::unique_ptr<loop> state) : loop_(std::move(state)) {}

client::~client() {
    loop_.reset();
    curl_global_cleanup();
}

handle client::send(backend_request request, backend_events events) {
    return loop_->send(std::move(request), std::move(events));
}

void client::cancel(handle id) {
    loop_->cancel(id);
}

void client::pause(handle id) {
    loop_->pause(id);
}

void client::resume(handle id) {
    loop_->resume(id);
}

}  // namespace bronzehub::backend_client
