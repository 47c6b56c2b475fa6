// Which host of a failure domain reads the store for the others, and when the
// others read for themselves.
//
// Calls of the store are the dearest resource of a large fleet: if every host
// read for itself, they would grow with the fleet. One host reads and hands on
// what it read. The others have a rank each; the older the knowledge, the more
// ranks read for themselves, so that the next rank takes over from a reader
// that fails and all do when nobody hands anything on. Decides only.
#ifndef BRONZEHUB_FLEET_STATE_READ_DUTY_HPP
#define BRONZEHUB_FLEET_STATE_READ_DUTY_HPP

#include <chrono>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace bronzehub::fleet_state {

struct reader_selection_options {
    // Age of the knowledge at which the host of rank 1 reads, and how much
    // later each further rank does, up to a longest age.
    base::duration first_backup_age = std::chrono::milliseconds(1000);
    base::duration backup_age_step = std::chrono::milliseconds(120);
    base::duration max_backup_age = std::chrono::milliseconds(1600);
};

// Rank of `self` among the hosts of its failure domain, itself included or
// not; 0 reads always.
std::size_t reader_rank(std::string_view self,
                        std::span<const std::string> others);

// Whether a host of this rank should read, given the age of what it knows.
bool should_read(const reader_selection_options& options, std::size_t rank,
                 base::duration age);

}  // namespace bronzehub::fleet_state

#endif
