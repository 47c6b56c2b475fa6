// The stand-in for a plain service: every call executes once more, and the
// response says which execution of the same call it is.
#ifndef BRONZEHUB_TESTS_STANDIN_PLAIN_HPP
#define BRONZEHUB_TESTS_STANDIN_PLAIN_HPP

#include <cstdint>
#include <map>
#include <string>

#include "exchange.hpp"

namespace bronzehub::standin {

struct plain_options {
    std::string name = "plain";
    std::chrono::milliseconds work{0};
};

class plain : public role {
public:
    plain(plain_options options, after_hook after);

    void handle(const request& call, const response_ptr& out) override;
    bool is_journaled(const request& call) const override;

private:
    plain_options options_;
    after_hook after_;
    std::uint32_t running_ = 0;
    std::uint64_t executions_ = 0;
    // Executions by idempotency key, or by method, path and body digest.
    std::map<std::string, std::uint64_t> by_call_;
};

}  // namespace bronzehub::standin

#endif
