#include "peer/counters.hpp"

namespace bronzehub::peer {

std::string_view message_type_name(std::size_t type) {
    static constexpr std::array<std::string_view, message_types> names = {
        "probe",
        "probe_ack",
        "probe_request",
        "usage_report",
        "work_announcement",
        "slot_grant",
        "grant_release",
        "inventory",
        "leaving_notice",
        "configuration_notice",
        "configuration_request",
        "configuration_delta",
    };
    return type < names.size() ? names[type] : "unknown";
}

}  // namespace bronzehub::peer
