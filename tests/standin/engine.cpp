#include "engine.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "base/hash.hpp"

namespace bronzehub::standin {
namespace {

using json = nlohmann::json;

constexpr std::uint32_t default_max_tokens = 16;

// Text of the prompt of either completion interface.
std::string prompt_of(const json& body) {
    if (!body.contains("messages")) {
        return body.value("prompt", "");
    }
    std::string text;
    for (const json& message : body["messages"]) {
        text += message.value("content", "") + "\n";
    }
    return text;
}

std::uint32_t count_words(const std::string& text) {
    std::istringstream words(text);
    std::uint32_t count = 0;
    for (std::string word; words >> word;) {
        ++count;
    }
    return count;
}

std::uint32_t parse_count(const std::string& text) {
    return text.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(text));
}

std::string event(const json& data) {
    return "data: " + data.dump() + "\n\n";
}

}  // namespace

std::string token_at(const std::string& prompt, std::uint32_t position) {
    return " t" + std::to_string(base::stable_hash(prompt, position) % 10000);
}

// One completion, from its arrival to its end.
struct engine::run {
    std::string id;
    std::string model;
    std::string prompt;
    bool chat = false;
    bool streamed = false;
    std::uint32_t next = 0;  // Position of the next token.
    std::uint32_t max_tokens = 0;
    std::chrono::milliseconds interval{0};
    std::chrono::steady_clock::time_point due;  // Of the next token.
    std::string text;
    response_ptr out;
    bool started = false;
    bool ended = false;

    json choice(const std::string& content) const {
        json result{{"index", 0}, {"finish_reason", nullptr}};
        if (!chat) {
            result["text"] = content;
        } else {
            result[streamed ? "delta" : "message"] = {{"role", "assistant"},
                                                      {"content", content}};
        }
        return result;
    }

    json envelope(json choice_value) const {
        const std::string kind = chat ? "chat.completion" : "text_completion";
        return {{"id", id},
                {"object", chat && streamed ? kind + ".chunk" : kind},
                {"model", model},
                {"choices", json::array({std::move(choice_value)})}};
    }

    // The last event of a stream, or the whole response.
    json last() const {
        json final_choice = choice(streamed ? std::string() : text);
        final_choice["finish_reason"] = "length";
        json result = envelope(std::move(final_choice));
        const std::uint32_t prompt_tokens = count_words(prompt);
        result["usage"] = {{"prompt_tokens", prompt_tokens},
                           {"completion_tokens", max_tokens},
                           {"total_tokens", prompt_tokens + max_tokens}};
        return result;
    }
};

engine::engine(engine_options options, after_hook after)
    : options_(std::move(options)), after_(std::move(after)) {
    load_changed();
}

engine::~engine() = default;

bool engine::is_journaled(const request& call) const {
    return call.method == "POST";
}

void engine::handle(const request& call, const response_ptr& out) {
    if (call.path.ends_with("/completions") && call.method == "POST") {
        complete(call, out);
    } else if (call.path == "/load") {
        load(call, out);
    } else if (call.path == "/orders") {
        order(call, out);
    } else {
        out->send(404, R"({"error":"no such path"})");
    }
}

void engine::complete(const request& call, const response_ptr& out) {
    const json body = json::parse(call.body);
    auto current = std::make_shared<run>();
    current->id = options_.name + "-" + std::to_string(next_run_++);
    current->model = body.value("model", options_.name);
    current->prompt = prompt_of(body);
    current->chat = call.path.ends_with("/chat/completions");
    current->streamed = body.value("stream", false);
    current->max_tokens = body.value("max_tokens", default_max_tokens);
    current->next =
        std::min(parse_count(call.header("resume-from")), current->max_tokens);
    current->interval = std::chrono::milliseconds(
        body.value("token_interval_ms", options_.token_interval.count()));
    current->out = out;
    // The run owns the response; a weak reference back avoids a cycle.
    out->on_closed([this, weak = std::weak_ptr(current)] {
        if (const run_ptr open = weak.lock()) {
            cancel(open);
        }
    });
    waiting_.push_back(current);
    start_next();
    load_changed();
}

void engine::start_next() {
    while (running_ < options_.slots && !waiting_.empty()) {
        const run_ptr current = waiting_.front();
        waiting_.pop_front();
        ++running_;
        start(current);
    }
}

void engine::start(const run_ptr& current) {
    current->started = true;
    current->due = std::chrono::steady_clock::now();
    if (current->streamed) {
        current->out->start_stream();
    }
    step(current);
}

void engine::step(const run_ptr& current) {
    const bool paced = current->interval.count() > 0;
    while (!current->ended && current->next < current->max_tokens && !paced) {
        emit(current);
    }
    if (current->ended) {
        return;
    }
    if (current->next == current->max_tokens) {
        finish(current);
        return;
    }
    // Steps are timed from the first one, so that a late timer does not delay
    // the later tokens.
    current->due += current->interval;
    const auto delay = std::chrono::ceil<std::chrono::milliseconds>(
        current->due - std::chrono::steady_clock::now());
    after_(std::max(delay, std::chrono::milliseconds(0)), [this, current] {
        if (!current->ended) {
            emit(current);
            step(current);
        }
    });
}

void engine::emit(const run_ptr& current) {
    const std::string token = token_at(current->prompt, current->next);
    ++current->next;
    if (current->streamed) {
        current->out->write(event(current->envelope(current->choice(token))));
    } else {
        current->text += token;
    }
}

void engine::finish(const run_ptr& current) {
    if (current->streamed) {
        current->out->write(event(current->last()) + "data: [DONE]\n\n");
        current->out->finish();
    } else {
        current->out->send(200, current->last().dump());
    }
    leave(current);
}

void engine::cancel(const run_ptr& current) {
    std::erase(waiting_, current);
    leave(current);
}

void engine::leave(const run_ptr& current) {
    if (std::exchange(current->ended, true)) {
        return;
    }
    if (current->started) {
        --running_;
    }
    start_next();
    load_changed();
}

void engine::load(const request& call, const response_ptr& out) {
    if (call.method == "PUT") {
        draining_ = json::parse(call.body).value("draining", draining_);
        load_changed();
    }
    out->send(200, reported_load_.dump());
}

void engine::load_changed() {
    json load{{"running", running_},
              {"waiting", waiting_.size()},
              {"slots", options_.slots},
              {"draining", draining_}};
    if (reported_load_.is_null() || options_.load_lag.count() == 0) {
        reported_load_ = std::move(load);
        return;
    }
    after_(options_.load_lag, [this, load] { reported_load_ = load; });
}

void engine::order(const request& call, const response_ptr& out) {
    int status = 200;
    if (call.method == "POST") {
        const json body = json::parse(call.body);
        const auto token = body.at("fencing_token").get<std::uint64_t>();
        if (token < highest_token_ && !options_.ignore_fencing) {
            status = 409;
        } else {
            highest_token_ = std::max(highest_token_, token);
            applied_token_ = token;
            applied_order_ = body.at("order");
            ++applied_count_;
        }
    }
    out->send(status, json({{"fencing_token", applied_token_},
                            {"highest_token", highest_token_},
                            {"applied", applied_count_},
                            {"order", applied_order_}})
                          .dump());
}

}  // namespace bronzehub::standin
