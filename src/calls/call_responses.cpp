#include "calls/call_responses.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_fields.hpp"
#include "calls/routing.hpp"

namespace bronzehub::calls {

std::string refusal_body(const base::refusal& why,
                         std::string_view request_id) {
    nlohmann::json error;
    error["code"] = base::to_string(why.code);
    error["message"] = why.message;
    error["outcome"] = base::to_string(why.outcome);
    error["request_id"] = request_id;
    nlohmann::json body;
    body["error"] = std::move(error);
    return base::dump_json(body);
}

base::http_headers refusal_headers(const base::refusal& why,
                                   std::string_view request_id) {
    base::http_headers headers{
        {"Content-Type", "application/json"},
        {std::string(outcome_header),
         std::string(base::to_string(why.outcome))},
    };
    if (!request_id.empty()) {
        headers.push_back(
            {std::string(request_id_header), std::string(request_id)});
    }
    if (why.retry_after) {
        headers.push_back(
            {"Retry-After", std::to_string(why.retry_after->count())});
    }
    return headers;
}

void respond_refusal(http_server::response_writer& writer,
                     const base::refusal& why, std::string_view request_id) {
    writer.respond(base::http_status(why.code),
                   refusal_headers(why, request_id),
                   refusal_body(why, request_id));
}

void abort_stream(http_server::response_writer& writer,
                  const base::refusal& why, std::string_view request_id) {
    writer.write("event: error\ndata: " + refusal_body(why, request_id) +
                 "\n\n");
    writer.abort();
}

base::http_headers response_headers(const base::http_headers& from_backend,
                                    std::string_view request_id) {
    base::http_headers result;
    std::ranges::copy_if(
        from_backend, std::back_inserter(result),
        [](const base::http_header& field) {
            return !base::is_hop_by_hop_header(field.name) &&
                   !base::equal_header_names(field.name, request_id_header) &&
                   !base::equal_header_names(field.name, outcome_header);
        });
    result.push_back({std::string(request_id_header), std::string(request_id)});
    result.push_back({std::string(outcome_header),
                      std::string(base::to_string(base::call_outcome::run))});
    return result;
}

}  // namespace bronzehub::calls
