#include "cli/admin_client.hpp"

#include <curl/curl.h>

#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"

namespace bronzehub::cli {
namespace {

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

constexpr long connect_timeout_ms = 2000;

// The limit of the platform client for a snapshot of the configuration.
constexpr std::size_t max_body_bytes = 64UL * 1024 * 1024;

// Bytes of heads and trailers of a response; libcurl's own limit depends on
// its version and leaves out trailers.
constexpr std::size_t max_field_bytes = 256UL * 1024;

struct transfer {
    admin_response response = {};
    std::size_t field_bytes = 0;
    std::string rejection = {};  // Why the response was given up, or empty.
};

// curl ends the transfer when a hook returns the result.
std::size_t reject(transfer& current, std::string reason) {
    current.rejection = std::move(reason);
    return CURL_WRITEFUNC_ERROR;
}

std::size_t append_body(char* data, std::size_t size, std::size_t count,
                        void* user) {
    auto& current = *static_cast<transfer*>(user);
    const std::size_t bytes = size * count;
    if (current.response.body.size() + bytes > max_body_bytes) {
        return reject(current, absl::StrCat("the body exceeds ", max_body_bytes,
                                            " bytes"));
    }
    current.response.body.append(data, bytes);
    return bytes;
}

std::size_t count_field(char* /*data*/, std::size_t size, std::size_t count,
                        void* user) {
    auto& current = *static_cast<transfer*>(user);
    current.field_bytes += size * count;
    if (current.field_bytes > max_field_bytes) {
        return reject(current, absl::StrCat("the header fields exceed ",
                                            max_field_bytes, " bytes"));
    }
    return size * count;
}

header_list make_headers(const admin_request& request) {
    curl_slist* list = nullptr;
    if (!request.key.empty()) {
        list = curl_slist_append(
            list, absl::StrCat("Authorization: Bearer ", request.key).c_str());
    }
    list = curl_slist_append(list, "Content-Type: application/json");
    // Without it libcurl waits for "100 Continue" before a larger body.
    list = curl_slist_append(list, "Expect:");
    return {list, curl_slist_free_all};
}

void set_options(CURL* curl, const admin_request& request,
                 const header_list& headers, transfer& current) {
    curl_easy_setopt(curl, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.c_str());
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &current);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, count_field);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &current);
}

absl::StatusOr<admin_response> send_with_curl(const admin_request& request) {
    const curl_handle curl(curl_easy_init(), curl_easy_cleanup);
    if (curl == nullptr) {
        return absl::UnavailableError("libcurl could not be initialised");
    }
    const header_list headers = make_headers(request);
    transfer current;
    set_options(curl.get(), request, headers, current);
    const CURLcode result = curl_easy_perform(curl.get());
    if (!current.rejection.empty()) {
        return absl::UnavailableError(current.rejection);
    }
    if (result != CURLE_OK) {
        return absl::UnavailableError(curl_easy_strerror(result));
    }
    long status = 0;
    curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
    current.response.status = static_cast<int>(status);
    return std::move(current.response);
}

}  // namespace

admin_sender curl_sender() {
    // Initialised once in the process; released when the last copy goes.
    const auto library =
        std::shared_ptr<void>((curl_global_init(CURL_GLOBAL_DEFAULT), nullptr),
                              [](void*) { curl_global_cleanup(); });
    return [library](const admin_request& request) {
        return send_with_curl(request);
    };
}

std::string base_url(const std::string& address) {
    std::string url = address.find("://") == std::string::npos
                          ? "http://" + address
                          : address;
    while (url.ends_with('/')) {
        url.pop_back();
    }
    return url;
}

}  // namespace bronzehub::cli
