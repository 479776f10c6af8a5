#pragma once

#include <string>

namespace hickorypost::net {

/// An address could not be listened on.
struct listen_error {
    std::string address;
    std::string detail;
    bool transient = false; ///< listening may succeed later without any change of the settings
};

/// Whether listening failed for a reason that passes by itself; `error` is an errno value.
[[nodiscard]] bool is_transient_listen_error(int error) noexcept;

/// Describes an errno value of a failed attempt to listen on `address`.
[[nodiscard]] listen_error make_listen_error(std::string address, int error);

} // namespace hickorypost::net
