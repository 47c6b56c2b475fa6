// The platform's services at the addresses that the settings give.
#ifndef BRONZEHUB_DAEMON_PLATFORM_ENDPOINTS_HPP
#define BRONZEHUB_DAEMON_PLATFORM_ENDPOINTS_HPP

#include <map>
#include <memory>
#include <string>

#include "platform/platform.hpp"
#include "platform_http/http_platform.hpp"
#include "settings/settings.hpp"

namespace bronzehub::daemon {

// Services at the same address share one client and its thread.
class platform_endpoints {
public:
    platform_endpoints(const settings::platform_settings& settings,
                       const base::clock& clock,
                       const platform::http_platform::post_hook& post);

private:
    platform::http_platform& client_for(
        const std::string& base_url,
        const settings::platform_settings& settings, const base::clock& clock,
        const platform::http_platform::post_hook& post);

    std::map<std::string, std::unique_ptr<platform::http_platform>> clients_;

public:
    platform::table_service tables;
    platform::object_store objects;
    platform::host_list hosts;
};

}  // namespace bronzehub::daemon

#endif
