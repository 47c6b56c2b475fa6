// One call of the backend client: the options of its curl handle, the hooks
// that curl calls, and the judgement of how it ended. Internal to the library.
#ifndef BRONZEHUB_BACKEND_CLIENT_TRANSFER_HPP
#define BRONZEHUB_BACKEND_CLIENT_TRANSFER_HPP

#include <curl/curl.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "backend_client/client.hpp"
#include "base/clock.hpp"

namespace bronzehub::backend_client {

struct easy_deleter {
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
using easy_ptr = std::unique_ptr<CURL, easy_deleter>;

// True when the request can be written to the wire as it is.
bool is_sendable(const backend_request& request);

// Belongs to the client's thread.
class transfer {
public:
    // `easy` must be new or reset.
    transfer(handle id, backend_request request, backend_events events,
             easy_ptr easy, base::clock time);

    handle id() const { return id_; }
    CURL* easy() const { return easy_.get(); }
    easy_ptr take_easy() { return std::move(easy_); }

    void pause() { paused_ = true; }
    // Returns false when the call was not paused.
    bool resume();

    // Tell which socket the call waits for. While several addresses are tried,
    // the one that connected is named last.
    void use_socket(curl_socket_t descriptor) { socket_ = descriptor; }
    void forget_socket(curl_socket_t descriptor);

    // Lets no event through but `end`.
    void cancel() { cancelled_ = true; }

    // Ends the call as broken, because what arrives is no response that can be
    // used; `reason` becomes its error. The present hook of curl must fail (a
    // header or body hook by returning the result): curl then closes the
    // connection. The first reason stays.
    std::size_t reject(std::string_view reason);

    // The time at which the call breaks unless bytes move before. Only valid
    // with an idle timeout.
    base::time_point idle_deadline();
    bool has_idle_timeout() const;

    // Calls `on_end`. `error` overrides curl's own description.
    void end(CURLcode code, std::string_view error = {});

private:
    static std::size_t on_header_line(char* data, std::size_t size,
                                      std::size_t count, void* self);
    static std::size_t on_body_bytes(char* data, std::size_t size,
                                     std::size_t count, void* self);
    static int on_progress(void* self, curl_off_t, curl_off_t, curl_off_t,
                           curl_off_t);

    void configure();
    void configure_connection();
    void configure_method();
    void configure_headers();
    void append_header(const std::string& line);
    void handle_header_line(std::string_view line);
    void finish_headers();
    void note_content();
    bool reads_only_framing();
    bool is_end_verified() const;
    call_result judge(CURLcode code, std::string_view error) const;

    struct list_deleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    handle id_;
    backend_request request_;
    backend_events events_;
    easy_ptr easy_;
    base::clock clock_;
    std::unique_ptr<curl_slist, list_deleter> header_list_;
    std::array<char, CURL_ERROR_SIZE> error_text_{};

    base::http_headers response_headers_;
    std::size_t field_bytes_ = 0;
    int progress_calls_ = 0;  // Since the last content or field.
    // What the socket had yielded when `on_progress` first found it without a
    // byte of content or fields since the last one.
    std::optional<std::uint64_t> framing_start_;
    int status_ = 0;
    bool headers_delivered_ = false;

    curl_socket_t socket_ = CURL_SOCKET_BAD;
    bool paused_ = false;
    bool cancelled_ = false;
    std::string rejection_;  // Empty unless `reject` was called.
    base::time_point last_activity_;
    curl_off_t uploaded_ = 0;
};

}  // namespace bronzehub::backend_client

#endif
