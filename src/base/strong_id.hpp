// Numeric identifiers with a type for each kind of object, so that the compiler
// rejects an identifier of another kind.
//
// Organisations, services and backend servers are assigned a number when they
// are added to the configuration. A number is never reused, so daemons can send
// it to each other instead of the name.
#ifndef BRONZEHUB_BASE_STRONG_ID_HPP
#define BRONZEHUB_BASE_STRONG_ID_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace bronzehub::base {

// A number that identifies an object of one kind. `Tag` is a different type for
// each kind.
template <class Tag>
class strong_id {
public:
    constexpr strong_id() = default;
    constexpr explicit strong_id(std::uint32_t value) : value_(value) {}

    constexpr std::uint32_t value() const { return value_; }

    friend constexpr auto operator<=>(strong_id, strong_id) = default;

    template <class H>
    friend H AbslHashValue(H state, strong_id id) {
        return H::combine(std::move(state), id.value_);
    }

private:
    std::uint32_t value_ = 0;
};

struct organisation_tag;
struct service_tag;
struct backend_server_tag;

using organisation_id = strong_id<organisation_tag>;
using service_id = strong_id<service_tag>;
using backend_server_id = strong_id<backend_server_tag>;

// The name of a host, as set in its settings.
using host_id = std::string;

// The name of a failure domain, as set in the settings of its hosts.
using failure_domain_id = std::string;

}  // namespace bronzehub::base

template <class Tag>
struct std::hash<bronzehub::base::strong_id<Tag>> {
    std::size_t operator()(bronzehub::base::strong_id<Tag> id) const noexcept {
        return std::hash<std::uint32_t>{}(id.value());
    }
};

#endif
