#include "configuration/change_log.hpp"

#include <algorithm>

namespace bronzehub::configuration {

void change_log::record(snapshot_pointer current,
                        std::span<const std::string> changes) {
    const bool continues =
        current_ != nullptr && !changes.empty() &&
        current_->version() + changes.size() == current->version();
    if (!continues) {
        restart();
    }
    for (const std::string& change : changes) {
        bytes_ += change.size();
        changes_.push_back(change);
    }
    current_ = std::move(current);
    snapshot_text_.clear();
    trim();
}

void change_log::restart() {
    changes_.clear();
    bytes_ = 0;
}

std::optional<configuration_update> change_log::update_for(
    std::uint64_t have_version) const {
    if (current_ == nullptr || have_version >= current_->version()) {
        return std::nullopt;
    }
    return have_version + 1 >= first_version() ? changes_after(have_version)
                                               : snapshot_update(have_version);
}

std::uint64_t change_log::first_version() const {
    return current_->version() + 1 - changes_.size();
}

configuration_update change_log::changes_after(
    std::uint64_t have_version) const {
    const std::size_t skipped =
        static_cast<std::size_t>(have_version + 1 - first_version());
    const std::size_t count =
        std::min(changes_.size() - skipped, limits_.changes_per_update);
    configuration_update update;
    update.from_version = have_version;
    update.to_version = have_version + count;
    update.newest_version = current_->version();
    const auto begin = changes_.begin() + static_cast<std::ptrdiff_t>(skipped);
    update.changes.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    return update;
}

configuration_update change_log::snapshot_update(
    std::uint64_t have_version) const {
    if (snapshot_text_.empty()) {
        snapshot_text_ = write_configuration(current_->value());
    }
    configuration_update update;
    update.from_version = have_version;
    update.to_version = current_->version();
    update.newest_version = current_->version();
    update.snapshot = snapshot_text_;
    return update;
}

void change_log::trim() {
    while (changes_.size() > limits_.changes || bytes_ > limits_.bytes) {
        bytes_ -= changes_.front().size();
        changes_.pop_front();
    }
}

}  // namespace bronzehub::configuration
