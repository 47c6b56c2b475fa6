// The unit of fair sharing: one organisation's use of one service.
#ifndef BRONZEHUB_ACCOUNTING_WORK_KEY_HPP
#define BRONZEHUB_ACCOUNTING_WORK_KEY_HPP

#include <compare>

#include "base/strong_id.hpp"

namespace bronzehub::accounting {

struct work_key {
    base::service_id service;
    base::organisation_id organisation;

    friend constexpr auto operator<=>(const work_key&,
                                      const work_key&) = default;
};

}  // namespace bronzehub::accounting

#endif
