#include "standin.hpp"

#include <stdexcept>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::standin {

// Outside the unnamed namespace, where the JSON library looks for it.
NLOHMANN_JSON_SERIALIZE_ENUM(fault_mode,
                             {{fault_mode::none, "none"},
                              {fault_mode::refuse, "refuse"},
                              {fault_mode::slow, "slow"},
                              {fault_mode::hang, "hang"},
                              {fault_mode::answer_lost, "answer_lost"},
                              {fault_mode::stale_hosts, "stale_hosts"},
                              {fault_mode::cut_stream, "cut_stream"}})

namespace {

using json = nlohmann::json;

// Keeps a long load test within a few tens of megabytes.
constexpr std::size_t journal_limit = 200'000;

// Closes the connection after a number of writes.
class cut_response : public response {
public:
    cut_response(response_ptr inner, std::uint32_t writes)
        : inner_(std::move(inner)), writes_(writes) {}

    // A whole response is cut before its first byte.
    void send(int, std::string) override { inner_->cut(); }

    void start_stream() override {
        if (writes_ > 0) {
            inner_->start_stream();
        }
    }

    void write(std::string bytes) override {
        if (writes_ > 0) {
            inner_->write(std::move(bytes));
            --writes_;
        }
        if (writes_ == 0) {
            inner_->cut();
        }
    }

    void finish() override { inner_->cut(); }
    void cut() override { inner_->cut(); }
    void on_closed(std::function<void()> hook) override {
        inner_->on_closed(std::move(hook));
    }

private:
    response_ptr inner_;
    std::uint32_t writes_;
};

}  // namespace

standin::standin(std::unique_ptr<role> behaviour, after_hook after)
    : role_(std::move(behaviour)), after_(std::move(after)) {}

void standin::handle(const request& call, const response_ptr& out) {
    try {
        if (call.path == "/faults" && call.method == "POST") {
            set_fault(call, out);
        } else if (call.path == "/journal") {
            send_journal(call, out);
        } else {
            execute(call, out);
        }
    } catch (const std::exception& error) {
        out->send(400, json({{"error", error.what()}}).dump());
    }
}

void standin::set_fault(const request& call, const response_ptr& out) {
    const json body = json::parse(call.body);
    fault next;
    next.mode = body.at("mode").get<fault_mode>();
    if (json(next.mode) != body["mode"]) {
        throw std::invalid_argument("mode: not a fault mode");
    }
    if (body.contains("count")) {
        next.remaining = body["count"].get<std::uint32_t>();
    }
    next.delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    next.after_events = body.value("after_events", 1U);
    next.path_prefix = body.value("path_prefix", "");
    fault_ = std::move(next);
    role_->set_stale_hosts(fault_.mode == fault_mode::stale_hosts);
    out->send(200, "{}");
}

void standin::send_journal(const request& call, const response_ptr& out) const {
    const std::string after = call.parameter("after");
    const std::uint64_t first = after.empty() ? 0 : std::stoull(after);
    json calls = json::array();
    for (const json& entry : journal_) {
        if (entry.at("execution").get<std::uint64_t>() > first) {
            calls.push_back(entry);
        }
    }
    out->send(200, json({{"executed", executed_}, {"calls", calls}}).dump());
}

fault_mode standin::take_fault(const request& call) {
    if (fault_.mode == fault_mode::none || fault_.remaining == 0U ||
        !call.path.starts_with(fault_.path_prefix)) {
        return fault_mode::none;
    }
    if (fault_.remaining) {
        --*fault_.remaining;
    }
    return fault_.mode;
}

void standin::execute(const request& call, const response_ptr& out) {
    const auto run = [this](const request& each, const response_ptr& to) {
        if (role_->is_journaled(each)) {
            journal_.push_back(
                {{"execution", ++executed_},
                 {"request_id", each.header("x-request-id")},
                 {"idempotency_key", each.header("idempotency-key")},
                 {"method", each.method},
                 {"path", each.path},
                 {"body_digest", base::sha256_hex(each.body)}});
            if (journal_.size() > journal_limit) {
                journal_.pop_front();
            }
        }
        role_->handle(each, to);
    };
    switch (take_fault(call)) {
        case fault_mode::refuse:
            out->send(503, R"({"error":"refused by an injected fault"})");
            break;
        case fault_mode::slow:
            after_(fault_.delay, [run, call, out] { run(call, out); });
            break;
        case fault_mode::hang:
            // The connection stays open until the client gives up.
            hung_.insert(out);
            out->on_closed([this, key = out.get()] {
                std::erase_if(hung_, [key](const response_ptr& each) {
                    return each.get() == key;
                });
            });
            break;
        case fault_mode::answer_lost:
            run(call, std::make_shared<cut_response>(out, 0));
            break;
        case fault_mode::cut_stream:
            run(call, std::make_shared<cut_response>(out, fault_.after_events));
            break;
        case fault_mode::stale_hosts:
        case fault_mode::none:
            run(call, out);
            break;
    }
}

}  // namespace bronzehub::standin
