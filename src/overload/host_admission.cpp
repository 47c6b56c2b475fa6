#include "overload/host_admission.hpp"

namespace bronzehub::overload {

bool host_admission::try_exempt(std::string_view organisation) {
    if (!fleet_.is_below_fair_share(organisation) ||
        admitted_.granted(organisation) >=
            exempt_fraction * admitted_.max_granted()) {
        return false;
    }
    load_.defer_refusal();
    return true;
}

}  // namespace bronzehub::overload
