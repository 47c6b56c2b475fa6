#include "backend_client/transfer.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace bronzehub::backend_client {
namespace {

// Bytes of all heads and trailers of a response, interim (1xx) ones included.
// Below libcurl's own limit of 300 KiB, which depends on its version and
// leaves out trailers; a server that reports progress by a short interim
// response each second stays below it for two hours.
constexpr std::size_t max_field_bytes = 256UL * 1024;

// Bytes of a chunked body that carry no content: the size lines, extensions
// included, and what else curl reads between two pieces of content. Size lines
// without extensions stay below 20 bytes.
constexpr std::uint64_t max_framing_bytes = 64UL * 1024;

// Calls of `on_progress` without content before the socket is asked. curl calls
// it twice after each read, so that most calls need no system call for it.
constexpr int quiet_progress_calls = 4;

bool is_token(std::string_view text) {
    return base::is_valid_header({std::string(text), ""});
}

bool is_target(std::string_view path) {
    return path.starts_with('/') && std::ranges::none_of(path, [](char c) {
               const auto byte = static_cast<unsigned char>(c);
               return absl::ascii_iscntrl(byte) || byte == ' ';
           });
}

bool is_address(std::string_view address) {
    return !address.empty() && std::ranges::all_of(address, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return absl::ascii_isalnum(byte) || c == '.' || c == ':' || c == '[' ||
               c == ']' || c == '-';
    });
}

bool is_framing_header(std::string_view name) {
    return base::is_hop_by_hop_header(name) ||
           base::equal_header_names(name, "Content-Length") ||
           base::equal_header_names(name, "Expect");
}

template <class Value>
void set(CURL* easy, CURLoption option, Value value) {
    curl_easy_setopt(easy, option, value);
}

// "HTTP/1.1 200 OK" gives 200; anything else 0.
int parse_status(std::string_view line) {
    const std::size_t space = line.find(' ');
    if (!line.starts_with("HTTP/") || space == line.npos) {
        return 0;
    }
    const std::string_view digits = line.substr(space + 1, 3);
    int status = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), status);
    return status;
}

// With any other last coding, the closing of the connection marks the end.
bool is_chunked(const base::http_headers& headers) {
    return std::ranges::any_of(headers, [](const base::http_header& field) {
        return base::equal_header_names(field.name, "Transfer-Encoding") &&
               absl::EndsWithIgnoreCase(
                   {field.value.data(), field.value.size()}, "chunked");
    });
}

// True when curl gave up before it had a connection to write to.
bool is_connect_failure(CURLcode code) {
    return code == CURLE_COULDNT_CONNECT || code == CURLE_OPERATION_TIMEDOUT ||
           code == CURLE_COULDNT_RESOLVE_HOST ||
           code == CURLE_ABORTED_BY_CALLBACK;
}

// How many bytes were read from a connected TCP socket since it was opened.
// Bounds, because more may arrive between the system calls.
struct read_bounds {
    std::uint64_t least = 0;
    std::uint64_t most = 0;
};

std::optional<std::uint64_t> bytes_received_by(curl_socket_t descriptor) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

std::optional<read_bounds> bytes_read_from(curl_socket_t descriptor) {
    const auto before = bytes_received_by(descriptor);
    int unread = 0;
    const bool known = ioctl(descriptor, FIONREAD, &unread) == 0;
    const auto after = bytes_received_by(descriptor);
    if (!before || !known || !after) {
        return std::nullopt;
    }
    const auto waiting = static_cast<std::uint64_t>(unread);
    return read_bounds{*before - std::min(*before, waiting),
                       *after - std::min(*after, waiting)};
}

}  // namespace

bool is_sendable(const backend_request& request) {
    return is_address(request.address) && is_token(request.method) &&
           is_target(request.path) &&
           std::ranges::all_of(request.headers, base::is_valid_header);
}

transfer::transfer(handle id, backend_request request, backend_events events,
                   easy_ptr easy, base::clock time)
    : id_(id),
      request_(std::move(request)),
      events_(std::move(events)),
      easy_(std::move(easy)),
      clock_(std::move(time)),
      last_activity_(clock_.now()) {
    configure();
}

void transfer::configure() {
    CURL* easy = easy_.get();
    set(easy, CURLOPT_PRIVATE, this);
    set(easy, CURLOPT_ERRORBUFFER, error_text_.data());
    set(easy, CURLOPT_HEADERFUNCTION, &transfer::on_header_line);
    set(easy, CURLOPT_HEADERDATA, this);
    set(easy, CURLOPT_WRITEFUNCTION, &transfer::on_body_bytes);
    set(easy, CURLOPT_WRITEDATA, this);
    set(easy, CURLOPT_XFERINFOFUNCTION, &transfer::on_progress);
    set(easy, CURLOPT_XFERINFODATA, this);
    set(easy, CURLOPT_NOPROGRESS, 0L);
    configure_connection();
    configure_method();
    configure_headers();
}

void transfer::configure_connection() {
    CURL* easy = easy_.get();
    const std::string url = absl::StrCat("http://", request_.address, "/");
    set(easy, CURLOPT_URL, url.c_str());
    set(easy, CURLOPT_REQUEST_TARGET, request_.path.c_str());
    set(easy, CURLOPT_PROTOCOLS_STR, "http");
    set(easy, CURLOPT_HTTP_VERSION, long{CURL_HTTP_VERSION_1_1});
    set(easy, CURLOPT_HTTP09_ALLOWED, 0L);
    set(easy, CURLOPT_FOLLOWLOCATION, 0L);
    set(easy, CURLOPT_PROXY, "");
    set(easy, CURLOPT_NOSIGNAL, 1L);
    // Lets the kernel notice a backend server whose host is gone during a long
    // wait, after about two minutes.
    set(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    set(easy, CURLOPT_TCP_KEEPIDLE, 30L);
    set(easy, CURLOPT_TCP_KEEPINTVL, 10L);
    set(easy, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(request_.connect_timeout.count()));
    set(easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(request_.total_timeout.count()));
    if (request_.fresh_connection) {
        set(easy, CURLOPT_FRESH_CONNECT, 1L);
        set(easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

void transfer::configure_method() {
    CURL* easy = easy_.get();
    const std::string& method = request_.method;
    const bool sends_length =
        method == "POST" || method == "PUT" || method == "PATCH";
    if (method == "HEAD") {
        set(easy, CURLOPT_NOBODY, 1L);
    } else if (sends_length || !request_.body.empty()) {
        set(easy, CURLOPT_POSTFIELDS, request_.body.data());
        set(easy, CURLOPT_POSTFIELDSIZE_LARGE,
            static_cast<curl_off_t>(request_.body.size()));
    } else {
        set(easy, CURLOPT_HTTPGET, 1L);
    }
    set(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void transfer::configure_headers() {
    for (const base::http_header& field : request_.headers) {
        if (is_framing_header(field.name)) {
            continue;
        }
        // curl's syntax for a field with an empty value is "name;".
        append_header(field.value.empty()
                          ? absl::StrCat(field.name, ";")
                          : absl::StrCat(field.name, ": ", field.value));
    }
    // A name without a value removes the field that curl would add itself.
    append_header("Expect:");
    for (const char* name : {"Accept", "Content-Type", "User-Agent"}) {
        if (!base::find_header(request_.headers, name)) {
            append_header(absl::StrCat(name, ":"));
        }
    }
    set(easy_.get(), CURLOPT_HTTPHEADER, header_list_.get());
}

void transfer::append_header(const std::string& line) {
    curl_slist* extended = curl_slist_append(header_list_.get(), line.c_str());
    if (extended != nullptr) {
        // The list keeps its first node, so that the pointer owns it once.
        std::ignore = header_list_.release();
        header_list_.reset(extended);
    }
}

bool transfer::resume() {
    last_activity_ = clock_.now();
    return std::exchange(paused_, false);
}

void transfer::note_content() {
    last_activity_ = clock_.now();
    progress_calls_ = 0;
    framing_start_.reset();
}

void transfer::forget_socket(curl_socket_t descriptor) {
    if (socket_ == descriptor) {
        socket_ = CURL_SOCKET_BAD;
    }
}

bool transfer::has_idle_timeout() const {
    return request_.idle_timeout.count() > 0;
}

base::time_point transfer::idle_deadline() {
    curl_off_t uploaded = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &uploaded);
    if (paused_ || uploaded != std::exchange(uploaded_, uploaded)) {
        last_activity_ = clock_.now();
    }
    return last_activity_ + request_.idle_timeout;
}

std::size_t transfer::on_header_line(char* data, std::size_t size,
                                     std::size_t count, void* self) {
    auto& call = *static_cast<transfer*>(self);
    if (call.cancelled_) {
        return 0;
    }
    call.note_content();
    call.field_bytes_ += size * count;
    if (call.field_bytes_ > max_field_bytes) {
        return call.reject(absl::StrCat("the header fields exceed ",
                                        max_field_bytes, " bytes"));
    }
    call.handle_header_line({data, size * count});
    return size * count;
}

void transfer::handle_header_line(std::string_view line) {
    while (line.ends_with('\n') || line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (headers_delivered_) {
        return;  // A trailer.
    }
    const std::size_t colon = line.find(':');
    if (line.empty()) {
        finish_headers();
    } else if (response_headers_.empty() && line.starts_with("HTTP/")) {
        status_ = parse_status(line);
    } else if (colon != line.npos) {
        const absl::string_view value =
            absl::StripAsciiWhitespace(absl::string_view(
                line.data() + colon + 1, line.size() - colon - 1));
        response_headers_.push_back(
            {std::string(line.substr(0, colon)), std::string(value)});
    }
}

void transfer::finish_headers() {
    constexpr int first_final_status = 200;
    if (status_ < first_final_status) {
        response_headers_.clear();
        return;
    }
    headers_delivered_ = true;
    if (events_.on_headers) {
        events_.on_headers(status_, response_headers_);
    }
}

std::size_t transfer::on_body_bytes(char* data, std::size_t size,
                                    std::size_t count, void* self) {
    auto& call = *static_cast<transfer*>(self);
    if (call.cancelled_) {
        return 0;
    }
    if (!call.headers_delivered_) {
        // curl takes what follows a status of 101 for a body.
        return call.reject("the body came without a final head");
    }
    if (call.paused_) {
        return CURL_WRITEFUNC_PAUSE;
    }
    call.note_content();
    const absl::Status taken = call.events_.on_body
                                   ? call.events_.on_body({data, size * count})
                                   : absl::OkStatus();
    if (!taken.ok()) {
        const absl::string_view reason = taken.message();
        return call.reject({reason.data(), reason.size()});
    }
    return size * count;
}

// curl calls this after each read, whether or not another hook was called.
int transfer::on_progress(void* self, curl_off_t, curl_off_t, curl_off_t,
                          curl_off_t) {
    auto& call = *static_cast<transfer*>(self);
    if (call.headers_delivered_ && call.reads_only_framing()) {
        call.reject(absl::StrCat("the framing of the body exceeds ",
                                 max_framing_bytes, " bytes"));
        return 1;
    }
    return 0;
}

// curl shows chunk extensions to no hook and counts them nowhere, so that only
// the socket tells how much it read.
bool transfer::reads_only_framing() {
    if (paused_ || socket_ == CURL_SOCKET_BAD ||
        ++progress_calls_ < quiet_progress_calls) {
        return false;
    }
    const auto total = bytes_read_from(socket_);
    if (!total) {
        return false;
    }
    framing_start_ = framing_start_.value_or(total->most);
    return total->least > *framing_start_ + max_framing_bytes;
}

std::size_t transfer::reject(std::string_view reason) {
    if (rejection_.empty()) {
        rejection_ = reason;
    }
    return CURL_WRITEFUNC_ERROR;
}

void transfer::end(CURLcode code, std::string_view error) {
    const call_result result = judge(code, error);
    if (events_.on_end) {
        events_.on_end(result);
    }
}

bool transfer::is_end_verified() const {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    if (request_.method == "HEAD" || status_ == no_content ||
        status_ == not_modified) {
        return true;
    }
    curl_off_t length = -1;
    curl_easy_getinfo(easy_.get(), CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    return length >= 0 || is_chunked(response_headers_);
}

call_result transfer::judge(CURLcode code, std::string_view error) const {
    call_result result;
    result.cancelled = cancelled_;
    if (code == CURLE_OK && !cancelled_) {
        result.kind = outcome::completed;
        result.end_verified = is_end_verified();
        return result;
    }
    // Counts every byte of requests that the kernel took, resends included.
    long request_bytes = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_off_t body_bytes = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &body_bytes);
    if (request_bytes == 0 && body_bytes == 0 && is_connect_failure(code)) {
        result.kind = outcome::not_sent;
    }
    result.error = rejection_.empty() ? error : std::string_view(rejection_);
    if (result.error.empty()) {
        result.error = error_text_[0] != '\0' ? error_text_.data()
                                              : curl_easy_strerror(code);
    }
    return result;
}

}  // namespace bronzehub::backend_client
