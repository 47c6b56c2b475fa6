#include "overload/host_admission.hpp"

namespace bronzehub::overload {

bool host_admission::passes(std::string_view organisation) {
    if (!fleet_.is_below_level(organisation) ||
        admitted_.granted(organisation) >=
            pass_part * admitted_.most_granted()) {
        return false;
    }
    load_.defer_refusal();
    return true;
}

}  // namespace bronzehub::overload
