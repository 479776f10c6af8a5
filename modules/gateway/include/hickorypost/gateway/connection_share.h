#pragma once

#include <cstddef>

namespace hickorypost::gateway {

/// What a host knows of the connections to one backend server.
struct connection_use {
    std::size_t own = 0;   ///< open connections of this host
    double others = 0;     ///< open connections that the other hosts have reported
    bool reported = false; ///< all other hosts report
    std::size_t hosts = 1; ///< including this one
};

struct connection_share_settings {
    /// Fraction of a backend server's connection limit that all hosts together may use. The rest is
    /// a reserve for hosts that have not discovered each other, and for reports that are on the
    /// way: a connection above the limit is reset, and a request on it may have run.
    double used_fraction = 0.8;
    /// Fraction of an equal share that a host may use whatever the other hosts use. They leave it
    /// free for it.
    double reserved_fraction = 0.5;
};

/// Divides the connections that a backend server accepts among the hosts: a part of them equally,
/// the rest to the hosts that need them.
class connection_share {
public:
    explicit connection_share(connection_share_settings settings) : settings_{settings} {}

    /// Connections to a backend server that this host may have open, at least 1.
    [[nodiscard]] double allowed(double limit, const connection_use& use) const;
    /// Whether so few are left for all hosts that a host should close idle ones above `reserved`.
    [[nodiscard]] bool is_scarce(double limit, const connection_use& use) const;
    /// Connections that a host may have open whatever the other hosts use, at least 1.
    [[nodiscard]] double reserved(double limit, const connection_use& use) const;

private:
    connection_share_settings settings_;
};

} // namespace hickorypost::gateway
