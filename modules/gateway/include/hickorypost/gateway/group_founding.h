#pragma once

#include "hickorypost/base/ids.h"
#include "hickorypost/base/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hickorypost::gateway {

struct founding_settings {
    node_id self;
    std::string failure_domain;
    /// Hosts with a disk that may be lost at once.
    std::size_t tolerated_losses = 1;
    /// Seeds of the system's first start as stored on this host's disk. Not set if the disk did not
    /// take part in it; then this host never founds a group.
    std::optional<std::vector<node_id>> first_start_seeds;
};

/// Decides whether a host founds the replication group of the control log, and with which hosts.
/// Performs no I/O itself.
///
/// An empty disk does not show whether a group exists: the host may have lost its disk while all
/// members of the group are down. Only a disk that took part in the system's first start may found
/// the group.
class group_founding {
public:
    group_founding(founding_settings settings, instant started);

    /// The hosts to found the group with, this host first; empty as long as this host must not
    /// found it. `core`: known hosts with a disk and their failure domains, this host included;
    /// `is_linked`: whether a link to a host is up.
    [[nodiscard]] std::vector<node_id>
    founders(const std::map<node_id, std::string>& core,
             const std::function<bool(const node_id&)>& is_linked, instant now) const;

private:
    /// Whether this host is the first seed that has a disk.
    [[nodiscard]] bool is_founder(const std::map<node_id, std::string>& core,
                                  const std::function<bool(const node_id&)>& is_linked) const;

    founding_settings settings_;
    instant started_;
};

} // namespace hickorypost::gateway
