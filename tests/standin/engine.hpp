// The stand-in for a model engine.
//
// Tokens are a function of the prompt and the position only, so a test can
// compare a resumed response with an uninterrupted one. Runs that exceed the
// slots wait in arrival order, as a batching engine's do.
#ifndef BRONZEHUB_TESTS_STANDIN_ENGINE_HPP
#define BRONZEHUB_TESTS_STANDIN_ENGINE_HPP

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "exchange.hpp"
#include "nlohmann/json.hpp"

namespace bronzehub::standin {

struct engine_options {
    std::string name = "engine";
    std::uint32_t slots = 16;
    bool ignore_fencing = false;
    // Used when the request does not give `token_interval_ms`.
    std::chrono::milliseconds token_interval{0};
    // /load reports the state of this long ago.
    std::chrono::milliseconds load_lag{0};
};

// The token at `position` of the completion of `prompt`.
std::string token_at(const std::string& prompt, std::uint32_t position);

class engine : public role {
public:
    engine(engine_options options, after_hook after);
    ~engine() override;

    void handle(const request& call, const response_ptr& out) override;
    bool is_journaled(const request& call) const override;

private:
    struct run;
    using run_ptr = std::shared_ptr<run>;

    void complete(const request& call, const response_ptr& out);
    void start_next();
    void start(const run_ptr& current);
    void step(const run_ptr& current);
    void emit(const run_ptr& current);
    void finish(const run_ptr& current);
    void cancel(const run_ptr& current);
    void leave(const run_ptr& current);
    // Reports the present load after the lag.
    void load_changed();
    void load(const request& call, const response_ptr& out);
    void order(const request& call, const response_ptr& out);

    engine_options options_;
    after_hook after_;
    std::deque<run_ptr> waiting_;
    std::uint32_t running_ = 0;
    std::uint64_t next_run_ = 1;
    bool draining_ = false;
    nlohmann::json reported_load_;
    std::uint64_t highest_token_ = 0;
    std::uint64_t applied_token_ = 0;
    nlohmann::json applied_order_ = nlohmann::json::object();
    std::uint64_t applied_count_ = 0;
};

}  // namespace bronzehub::standin

#endif
