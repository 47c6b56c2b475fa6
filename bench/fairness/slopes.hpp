// Costs of dispatch against the size of the fleet, for the capacity page.
#ifndef BRONZEHUB_BENCH_FAIRNESS_SLOPES_HPP
#define BRONZEHUB_BENCH_FAIRNESS_SLOPES_HPP

namespace bronzehub::bench {

// Prints one JSON line for each measured relation: its points, the fitted
// line and the squared correlation. Times are wall times.
void print_slopes();

}  // namespace bronzehub::bench

#endif
