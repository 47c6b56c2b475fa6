// Fault tables that are complete by construction: every fault of section 1.5
// of the design page at every step of a state machine.
#ifndef BRONZEHUB_TESTS_SUPPORT_FAULT_TABLE_HPP
#define BRONZEHUB_TESTS_SUPPORT_FAULT_TABLE_HPP

#include <array>
#include <cstddef>

namespace bronzehub::testing {

enum class fault {
    platform_unavailable,
    platform_slow,
    answer_lost,  // After the write took effect.
    reader_stale,
    restarted_empty,  // The process lost its state at this step.
    holder_paused,    // Beyond its lease.
    two_contenders,
    two_operators,
    count,
};

// One row: the fault at the step, and what must come of it.
template <class Step, class Expected>
struct fault_row {
    fault injected;
    Step step;
    Expected expected;
};

// Whether every pair of fault and step has exactly one row. `Step` ends with
// an enumerator `count`.
template <class Step, class Expected, std::size_t Size>
constexpr bool covers_every_pair(
    const std::array<fault_row<Step, Expected>, Size>& rows) {
    constexpr std::size_t steps = static_cast<std::size_t>(Step::count);
    constexpr std::size_t faults = static_cast<std::size_t>(fault::count);
    std::array<bool, steps * faults> seen{};
    for (const auto& row : rows) {
        const std::size_t place =
            static_cast<std::size_t>(row.injected) * steps +
            static_cast<std::size_t>(row.step);
        if (seen[place]) {
            return false;
        }
        seen[place] = true;
    }
    return Size == steps * faults;
}

}  // namespace bronzehub::testing

#endif
