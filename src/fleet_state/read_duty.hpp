// Selects the host of a failure domain that reads the store for the others, and
// decides when the others read the store themselves.
//
// Store calls are the scarcest resource of a large fleet; if every host read
// the store, their number would grow with the fleet. Therefore one host reads
// and forwards what it read. The other hosts are its backups, each with a rank:
// the older the newest store data that a host has, the more ranks read the
// store themselves. The next rank thus takes over from a reader that fails, and
// every host reads when no host forwards data.
//
// The functions here only decide; the caller reads the store.
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
    // Age of the store data above which the host of rank 1 reads.
    base::duration first_backup_age = std::chrono::milliseconds(1000);
    // How much older the data must be for each further rank.
    base::duration backup_age_step = std::chrono::milliseconds(120);
    // Age of the store data above which every host reads.
    base::duration max_backup_age = std::chrono::milliseconds(1600);
};

// Rank of `self` among the hosts of its failure domain by a hash of their
// names, which all hosts compute alike. `others` may contain `self`. The host
// of rank 0 always reads.
std::size_t reader_rank(std::string_view self,
                        std::span<const std::string> others);

// Whether a host of this rank should read the store, given the age of the
// newest store data that it has.
bool should_read(const reader_selection_options& options, std::size_t rank,
                 base::duration age);

}  // namespace bronzehub::fleet_state

#endif
