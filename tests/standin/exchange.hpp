// One HTTP request and its response as the roles of the stand-in see them.
//
// Roles implement `role::handle` against these types and know nothing about
// the HTTP server. Everything runs on one thread.
#ifndef BRONZEHUB_TESTS_STANDIN_EXCHANGE_HPP
#define BRONZEHUB_TESTS_STANDIN_EXCHANGE_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace bronzehub::standin {

// Decodes percent-encoded text. An incomplete escape stays as it is.
std::string unescape(std::string_view text);

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;  // Names in lower case.
    std::string body;

    // The value of a header or query field, or an empty text.
    std::string header(const std::string& name) const;
    std::string parameter(const std::string& name) const;
};

// Writes one response. Either `send`, or `start_stream` followed by `write`
// and `finish`. Calls after the connection closed are ignored.
class response {
public:
    response() = default;
    response(const response&) = delete;
    response& operator=(const response&) = delete;
    virtual ~response() = default;

    virtual void send(int status, std::string body) = 0;
    virtual void start_stream() = 0;
    virtual void write(std::string bytes) = 0;
    virtual void finish() = 0;
    // Closes the connection without completing the response.
    virtual void cut() = 0;
    // Calls `hook` when the client closes the connection first.
    virtual void on_closed(std::function<void()> hook) = 0;
};

using response_ptr = std::shared_ptr<response>;

// Runs a function after a delay.
using after_hook =
    std::function<void(std::chrono::milliseconds, std::function<void()>)>;

using handler = std::function<void(const request&, response_ptr)>;

// What a role does with the requests that no fault intercepts.
class role {
public:
    role() = default;
    role(const role&) = delete;
    role& operator=(const role&) = delete;
    virtual ~role() = default;

    virtual void handle(const request& call, const response_ptr& out) = 0;
    // Whether the request executes work that belongs in the journal.
    virtual bool is_journaled(const request& call) const = 0;
    // Begins or ends the fault `stale_hosts`; only the platform has hosts.
    virtual void set_stale_hosts(bool) {}
};

}  // namespace bronzehub::standin

#endif
