// Where the fleet configuration lives in the platform's services, and how a
// daemon reads it.
//
// The head row names the newest version; each version has a row with its
// change; snapshots are objects.
#ifndef BRONZEHUB_PLANNING_CONFIGURATION_STORE_HPP
#define BRONZEHUB_PLANNING_CONFIGURATION_STORE_HPP

#include <string>

#include "configuration/change_log.hpp"
#include "platform/platform.hpp"

namespace bronzehub::planning {

inline constexpr const char* configuration_table = "configuration";
inline constexpr const char* head_key = "head";

struct configuration_head {
    std::uint64_t version = 0;
    std::uint64_t snapshot_version = 0;  // 0: no snapshot object yet.
};

// "change/<version>", with leading zeros so that keys sort by version.
std::string change_key(std::uint64_t version);
std::string snapshot_key(std::uint64_t version);
// A version with leading zeros.
std::string padded(std::uint64_t version);

std::string write_head(const configuration_head& head);
absl::StatusOr<configuration_head> read_head(std::string_view text);

// Reads the configuration from the platform. Not thread-safe.
class configuration_store {
public:
    using update_callback = std::function<void(
        absl::StatusOr<configuration::configuration_update>)>;

    configuration_store(platform::table_service tables,
                        platform::object_store objects);

    // What leads from `have_version` towards the newest version: changes, or a
    // snapshot when there are too many. An update without content when the
    // platform shows nothing newer. One read, or two when there is news.
    void fetch(std::uint64_t have_version, update_callback done) const;

private:
    static bool prefers_snapshot(std::uint64_t have_version,
                                 const configuration_head& head);
    void fetch_changes(std::uint64_t have_version, configuration_head head,
                       const update_callback& done) const;
    void fetch_snapshot(std::uint64_t have_version, configuration_head head,
                        const update_callback& done) const;

    platform::table_service tables_;
    platform::object_store objects_;
};

}  // namespace bronzehub::planning

namespace bronzehub::base {

template <>
struct json_schema<planning::configuration_head> {
    static void fields(auto& form, auto& value) {
        form.required("version", value.version);
        form.optional("snapshot_version", value.snapshot_version);
    }
};

}  // namespace bronzehub::base

#endif
