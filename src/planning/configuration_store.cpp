#include "planning/configuration_store.hpp"

namespace bronzehub::planning {
namespace {

using configuration::configuration_update;

constexpr std::size_t version_digits = 20;
constexpr std::string_view change_prefix = "change/";
// One read answers with at most this many rows.
constexpr std::uint32_t changes_per_read = 256;

// The rows that continue `have_version` without a gap.
configuration_update update_of(std::uint64_t have_version,
                               std::uint64_t newest_version,
                               std::vector<platform::keyed_row> rows) {
    configuration_update update;
    update.from_version = have_version;
    update.to_version = have_version;
    update.newest_version = newest_version;
    for (platform::keyed_row& row : rows) {
        if (row.key != change_key(update.to_version + 1)) {
            break;
        }
        ++update.to_version;
        update.changes.push_back(std::move(row.content.value));
    }
    return update;
}

}  // namespace

std::string padded(std::uint64_t version) {
    const std::string digits = std::to_string(version);
    return std::string(version_digits - digits.size(), '0') + digits;
}

std::string change_key(std::uint64_t version) {
    return std::string(change_prefix) + padded(version);
}

std::string snapshot_key(std::uint64_t version) {
    return "configuration/snapshot/" + padded(version);
}

std::string write_head(const configuration_head& head) {
    return base::write_document(head);
}

absl::StatusOr<configuration_head> read_head(std::string_view text) {
    return base::read_document<configuration_head>(text);
}

configuration_store::configuration_store(platform::table_service tables,
                                         platform::object_store objects)
    : tables_(std::move(tables)), objects_(std::move(objects)) {}

void configuration_store::fetch(std::uint64_t have_version,
                                update_callback done) const {
    tables_.read(configuration_table, head_key,
                 [this, have_version, done = std::move(done)](
                     const absl::StatusOr<std::optional<platform::row>>& row) {
                     if (!row.ok()) {
                         done(row.status());
                         return;
                     }
                     const absl::StatusOr<configuration_head> head =
                         row->has_value() ? read_head((*row)->value)
                                          : configuration_head{};
                     if (!head.ok()) {
                         done(head.status());
                     } else if (head->version <= have_version) {
                         done(update_of(have_version, head->version, {}));
                     } else if (prefers_snapshot(have_version, *head)) {
                         fetch_snapshot(have_version, *head, done);
                     } else {
                         fetch_changes(have_version, *head, done);
                     }
                 });
}

// A daemon without a configuration starts from the snapshot: version 1 of a
// fleet that began with an initial configuration has no change row.
bool configuration_store::prefers_snapshot(std::uint64_t have_version,
                                           const configuration_head& head) {
    return head.snapshot_version > have_version &&
           (have_version == 0 ||
            head.version - have_version > changes_per_read);
}

void configuration_store::fetch_changes(std::uint64_t have_version,
                                        configuration_head head,
                                        const update_callback& done) const {
    tables_.list(
        {configuration_table, std::string(change_prefix),
         change_key(have_version), changes_per_read},
        [have_version, head,
         done](absl::StatusOr<std::vector<platform::keyed_row>> rows) {
            if (!rows.ok()) {
                done(rows.status());
                return;
            }
            done(update_of(have_version, head.version, *std::move(rows)));
        });
}

void configuration_store::fetch_snapshot(std::uint64_t have_version,
                                         configuration_head head,
                                         const update_callback& done) const {
    objects_.read(snapshot_key(head.snapshot_version),
                  [this, have_version, head,
                   done](absl::StatusOr<std::optional<std::string>> object) {
                      if (!object.ok() || !object->has_value()) {
                          fetch_changes(have_version, head, done);
                          return;
                      }
                      configuration_update update;
                      update.from_version = have_version;
                      update.to_version = head.snapshot_version;
                      update.newest_version = head.version;
                      update.snapshot = **std::move(object);
                      done(std::move(update));
                  });
}

}  // namespace bronzehub::planning
