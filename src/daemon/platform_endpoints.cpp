#include "daemon/platform_endpoints.hpp"

namespace bronzehub::daemon {

platform_endpoints::platform_endpoints(
    const settings::platform_settings& settings, const base::clock& clock,
    const platform::http_platform::post_hook& post)
    : tables(client_for(settings.table, settings, clock, post).tables()),
      objects(
          client_for(settings.object_store, settings, clock, post).objects()),
      hosts(client_for(settings.host_list, settings, clock, post).hosts()) {}

platform::http_platform& platform_endpoints::client_for(
    const std::string& base_url, const settings::platform_settings& settings,
    const base::clock& clock, const platform::http_platform::post_hook& post) {
    auto& client = clients_[base_url];
    if (!client) {
        platform::transfer_options options;
        options.base_url = base_url;
        options.connect_timeout = settings.connect_timeout;
        options.timeout = settings.request_timeout;
        client =
            std::make_unique<platform::http_platform>(options, clock, post);
    }
    return *client;
}

}  // namespace bronzehub::daemon
