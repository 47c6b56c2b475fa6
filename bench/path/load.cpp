#include "load.hpp"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace bronzehub::bench {
namespace {

using time_point = std::chrono::steady_clock::time_point;

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

// What the head of a response says about its body.
struct head_facts {
    bool succeeded = false;
    bool chunked = false;
    bool keep_alive = true;
    std::size_t length = 0;
};

head_facts parse_head(absl::string_view head) {
    head_facts facts;
    facts.succeeded = absl::StartsWith(head, "HTTP/1.1 2");
    for (absl::string_view line : absl::StrSplit(head, "\r\n")) {
        if (absl::StartsWithIgnoreCase(line, "content-length:")) {
            line.remove_prefix(line.find(':') + 1);
            facts.succeeded =
                absl::SimpleAtoi(line, &facts.length) && facts.succeeded;
        } else if (absl::EqualsIgnoreCase(line, "transfer-encoding: chunked")) {
            facts.chunked = true;
        } else if (absl::EqualsIgnoreCase(line, "connection: close")) {
            facts.keep_alive = false;
        }
    }
    return facts;
}

// One connection that carries one request at a time.
class caller {
public:
    using finished = std::function<void(caller&, bool succeeded)>;

    caller(asio::io_context& context, const load_target& target,
           finished on_finished)
        : target_(target),
          on_finished_(std::move(on_finished)),
          socket_(context) {
        connect();
    }

    time_point due() const { return due_; }

    void call(time_point due) {
        due_ = due;
        asio::async_write(socket_, asio::buffer(target_.request),
                          [this](const asio::error_code& error, std::size_t) {
                              if (error) {
                                  fail();
                              } else {
                                  read_head();
                              }
                          });
    }

private:
    void connect() {
        socket_.close();
        socket_.connect(target_.endpoint);
        socket_.set_option(asio::ip::tcp::no_delay(true));
        received_.clear();
    }

    void read_head() {
        asio::async_read_until(
            socket_, asio::dynamic_buffer(received_), std::string(head_end),
            [this](const asio::error_code& error, std::size_t size) {
                if (error) {
                    fail();
                    return;
                }
                facts_ =
                    parse_head(absl::string_view(received_).substr(0, size));
                // The blank line's first half ends an empty chunked body.
                received_.erase(0, facts_.chunked ? size - 2 : size);
                read_body();
            });
    }

    void read_body() {
        const auto done = [this](const asio::error_code& error, std::size_t) {
            if (error) {
                fail();
            } else {
                finish();
            }
        };
        if (facts_.chunked) {
            asio::async_read_until(socket_, asio::dynamic_buffer(received_),
                                   std::string(last_chunk), done);
        } else if (received_.size() < facts_.length) {
            asio::async_read(
                socket_, asio::dynamic_buffer(received_),
                asio::transfer_exactly(facts_.length - received_.size()), done);
        } else {
            finish();
        }
    }

    void finish() {
        received_.clear();
        if (!facts_.keep_alive) {
            connect();
        }
        on_finished_(*this, facts_.succeeded);
    }

    void fail() {
        connect();
        on_finished_(*this, false);
    }

    const load_target& target_;
    finished on_finished_;
    asio::ip::tcp::socket socket_;
    std::string received_;
    head_facts facts_;
    time_point due_;
};

// Hands due requests to idle connections until the time is over.
class load_runner {
public:
    load_runner(const load_target& target, const load_plan& plan)
        : plan_(plan), timer_(context_) {
        for (std::size_t i = 0; i < plan.connections; ++i) {
            callers_.push_back(std::make_unique<caller>(
                context_, target, [this](caller& which, bool succeeded) {
                    finished(which, succeeded);
                }));
            idle_.push_back(callers_.back().get());
        }
    }

    load_result run() {
        start_ = std::chrono::steady_clock::now();
        end_ = start_ + plan_.time;
        if (plan_.rate > 0) {
            schedule();
        } else {
            const auto ready = std::exchange(idle_, {});
            std::ranges::for_each(
                ready, [this](caller* which) { which->call(start_); });
        }
        context_.run_for(plan_.time + grace);
        const std::chrono::duration<double> taken = last_finished_ - start_;
        result_.seconds = taken.count();
        std::ranges::sort(result_.latencies);
        return std::move(result_);
    }

private:
    // For the requests under way at the end.
    static constexpr auto grace = std::chrono::seconds(2);

    void schedule() {
        const auto offset = std::chrono::duration<double>(
            static_cast<double>(scheduled_++) / plan_.rate);
        const time_point due =
            start_ +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                offset);
        if (due >= end_) {
            return;
        }
        timer_.expires_at(due);
        timer_.async_wait([this, due](const asio::error_code&) {
            due_.push_back(due);
            dispatch();
            schedule();
        });
    }

    void dispatch() {
        while (!due_.empty() && !idle_.empty()) {
            idle_.front()->call(due_.front());
            idle_.pop_front();
            due_.pop_front();
        }
    }

    void finished(caller& which, bool succeeded) {
        last_finished_ = std::chrono::steady_clock::now();
        if (succeeded) {
            const std::chrono::duration<double, std::milli> taken =
                last_finished_ - which.due();
            result_.latencies.push_back(taken.count());
        } else {
            ++result_.failures;
        }
        if (plan_.rate > 0) {
            idle_.push_back(&which);
            dispatch();
        } else if (last_finished_ < end_) {
            which.call(last_finished_);
        }
    }

    load_plan plan_;
    asio::io_context context_{1};
    asio::steady_timer timer_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::deque<caller*> idle_;
    std::deque<time_point> due_;
    std::size_t scheduled_ = 0;
    time_point start_;
    time_point end_;
    time_point last_finished_;
    load_result result_;
};

}  // namespace

double load_result::completed_per_second() const {
    return seconds > 0 ? static_cast<double>(latencies.size()) / seconds : 0;
}

double load_result::quantile(double fraction) const {
    if (latencies.empty()) {
        return 0;
    }
    const double rank =
        std::ceil(fraction * static_cast<double>(latencies.size()));
    return latencies[std::max<std::size_t>(static_cast<std::size_t>(rank), 1) -
                     1];
}

load_result run_load(const load_target& target, const load_plan& plan) {
    return load_runner(target, plan).run();
}

}  // namespace bronzehub::bench
