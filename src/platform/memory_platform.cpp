#include "platform/memory_platform.hpp"

#include <algorithm>
#include <utility>

#include "absl/status/status.h"

namespace bronzehub::platform {
namespace {

bool matches(operation_kind planned, operation_kind actual) {
    return planned == operation_kind::any || planned == actual;
}

absl::Status lost_status(operation_kind kind) {
    if (kind == operation_kind::write) {
        return absl::UnknownError("memory platform: response lost");
    }
    return absl::UnavailableError("memory platform: response lost");
}

}  // namespace

template <class T>
void memory_platform::perform(operation_kind kind,
                              const std::function<absl::StatusOr<T>()>& apply,
                              const callback<T>& done) {
    ++(kind == operation_kind::write ? counts_.writes : counts_.reads);
    const auto answer = [this, done](absl::StatusOr<T> result) {
        queue([done, result = std::move(result)] { done(result); });
    };
    switch (take_fault(kind)) {
        case fault::none:
            answer(apply());
            break;
        case fault::unavailable:
            answer(absl::UnavailableError("memory platform: unavailable"));
            break;
        case fault::resource_exhausted:
            answer(absl::ResourceExhaustedError("memory platform: slow down"));
            break;
        case fault::answer_lost:
            (void)apply();
            answer(lost_status(kind));
            break;
        case fault::request_lost:
            answer(lost_status(kind));
            break;
        case fault::hold_request:
            held_.push_back([answer, apply] { answer(apply()); });
            break;
        case fault::hold_answer:
            held_.push_back([answer, result = apply()] { answer(result); });
            break;
    }
}

table_service memory_platform::tables() {
    table_service service;
    service.read = [this](std::string table, std::string key,
                          const callback<std::optional<row>>& done) {
        perform<std::optional<row>>(
            operation_kind::read,
            [this, table = std::move(table), key = std::move(key)] {
                return store_.read(table, key);
            },
            done);
    };
    service.transact = [this](std::vector<conditional_write> writes,
                              const callback<transaction_result>& done) {
        perform<transaction_result>(
            operation_kind::write,
            [this, writes = std::move(writes)] {
                return store_.transact(writes);
            },
            done);
    };
    service.list = [this](list_query query,
                          const callback<std::vector<keyed_row>>& done) {
        perform<std::vector<keyed_row>>(
            operation_kind::read,
            [this, query = std::move(query)] { return store_.list(query); },
            done);
    };
    return service;
}

object_store memory_platform::objects() {
    object_store service;
    service.read = [this](std::string key,
                          const callback<std::optional<std::string>>& done) {
        perform<std::optional<std::string>>(
            operation_kind::read,
            [this, key = std::move(key)] { return store_.read_object(key); },
            done);
    };
    service.create = [this](std::string key, std::string value,
                            const callback<bool>& done) {
        perform<bool>(
            operation_kind::write,
            [this, key = std::move(key),
             value = std::move(value)]() -> absl::StatusOr<bool> {
                if (!store_.create_object(key, value)) {
                    return absl::AbortedError("object exists: " + key);
                }
                return true;
            },
            done);
    };
    return service;
}

host_list memory_platform::hosts() {
    return {[this](const callback<std::vector<listed_host>>& done) {
        perform<std::vector<listed_host>>(
            operation_kind::read,
            [this] { return frozen_hosts_.value_or(hosts_); }, done);
    }};
}

std::size_t memory_platform::run() {
    std::size_t count = 0;
    while (run_one()) {
        ++count;
    }
    return count;
}

bool memory_platform::run_one() {
    if (ready_.empty()) {
        return false;
    }
    const std::function<void()> next = std::move(ready_.front());
    ready_.pop_front();
    next();
    return true;
}

void memory_platform::set_fault(fault mode, operation_kind kind) {
    lasting_ = {mode, kind};
}

void memory_platform::fail_next(fault mode, operation_kind kind,
                                std::size_t count) {
    planned_.insert(planned_.end(), count, {mode, kind});
}

fault memory_platform::take_fault(operation_kind kind) {
    const auto next = std::ranges::find_if(
        planned_,
        [kind](const planned_fault& each) { return matches(each.kind, kind); });
    if (next != planned_.end()) {
        const fault mode = next->mode;
        planned_.erase(next);
        return mode;
    }
    return matches(lasting_.kind, kind) ? lasting_.mode : fault::none;
}

void memory_platform::release(std::size_t index) {
    const auto position = held_.begin() + static_cast<std::ptrdiff_t>(index);
    const std::function<void()> next = std::move(*position);
    held_.erase(position);
    next();
}

void memory_platform::release_all() {
    while (!held_.empty()) {
        release();
    }
}

void memory_platform::set_hosts(std::vector<listed_host> hosts) {
    hosts_ = std::move(hosts);
}

void memory_platform::freeze_hosts() {
    frozen_hosts_ = hosts_;
}

void memory_platform::thaw_hosts() {
    frozen_hosts_.reset();
}

}  // namespace bronzehub::platform
