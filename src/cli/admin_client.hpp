// HTTP towards the operators' listener of one daemon.
#ifndef BRONZEHUB_CLI_ADMIN_CLIENT_HPP
#define BRONZEHUB_CLI_ADMIN_CLIENT_HPP

#include <chrono>
#include <functional>
#include <string>

#include "absl/status/statusor.h"

namespace bronzehub::cli {

struct admin_request {
    std::string method;
    std::string url;
    std::string body;  // JSON, or empty.
    std::string key;   // Operator's key, or empty.
    std::chrono::seconds timeout{10};
};

struct admin_response {
    int status = 0;
    std::string body;
};

// Sends a request and waits for the response.
//
// Errors: kUnavailable with the cause when no response came.
using admin_sender =
    std::function<absl::StatusOr<admin_response>(const admin_request&)>;

// Sends through libcurl, without proxies and redirects.
admin_sender curl_sender();

// The base URL of "IP:port" or of an http or https URL, without a slash at the
// end.
std::string base_url(const std::string& address);

}  // namespace bronzehub::cli

#endif
